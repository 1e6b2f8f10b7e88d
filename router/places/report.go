package places

import (
	"sync"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// maxLoggedProblems bounds the log lines about one version of the configuration. The counters count all problems.
const maxLoggedProblems = 20

// Reporter reports mistakes in the allowed regions of each version of the configuration, once.
type Reporter struct {
	Gate   *Gate
	Logger log.Interface
	// Count increments a counter.
	Count func(name string)

	mu            sync.Mutex
	configuration *site.Configuration
	directory     *site.Directory
	// isReported reports whether the endpoints have been checked for the configuration.
	isReported bool
}

// Configure checks a new version of the configuration.
func (r *Reporter) Configure(c *site.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configuration, r.isReported = c, false
	r.report(locality.CheckConfiguration(c, r.Gate.RegionOfZone))
	r.checkEndpointsLocked()
}

// UpdateDirectory takes note of a new directory. Only the first one after each change of the configuration is checked, since endpoints come
// and go all the time.
func (r *Reporter) UpdateDirectory(d *site.Directory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory = d
	r.checkEndpointsLocked()
}

func (r *Reporter) checkEndpointsLocked() {
	if r.isReported || r.configuration == nil || r.directory == nil {
		return
	}
	r.isReported = true
	r.report(locality.CheckEndpoints(r.configuration, r.directory, r.Gate.RegionOfZone))
}

func (r *Reporter) report(problems []locality.Problem) {
	for i, p := range problems {
		r.Count(regionProblemPrefix + string(p.Kind))
		if i < maxLoggedProblems {
			r.Logger.WithFields(log.Fields{"Version": r.configuration.Version, "Route": p.Route, "Team": p.Team, "Region": p.Region}).
				Errorf("allowed regions: %s", p)
		}
	}
	if more := len(problems) - maxLoggedProblems; more > 0 {
		r.Logger.WithFields(log.Fields{"Version": r.configuration.Version, "Problems": more}).Error("allowed regions: more problems")
	}
}
