package ledgerstream

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Sizes of the reports of crashes.
const (
	// fleetCrashesPerSecond is what all routers together may report, so that the end of an availability
	// zone doesn't flood the log.
	fleetCrashesPerSecond = 12.0
	// fingerprintBytes is the size with which a fingerprint is counted when a group is cut.
	fingerprintBytes = 9
)

// WatchCrashes sets the function that gets the crashes that other incarnations report. It is called under the
// client's lock, so it may not call the client. It is set before Run.
func (c *Client) WatchCrashes(watch func(reporter ledger.Incarnation, crash *ledger.Crash)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onRemoteCrash = watch
}

// ReportCrash queues a report for the other routers. It returns false, and queues nothing, beyond this
// router's part of the fleet's reports and while the router is no part of the ledger.
func (c *Client) ReportCrash(crash ledger.Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.current
	if o == nil || !o.joined || o.leaving || o.length() >= c.settings.OutboxLimit || !c.allowCrash(time.Now()) {
		return false
	}
	c.count(crashSent, 1)
	c.enqueue(&crash)
	return true
}

// allowCrash takes one report from this router's part of the fleet's.
func (c *Client) allowCrash(now time.Time) bool {
	part := fleetCrashesPerSecond / float64(c.routers)
	c.crashLimiter.SetLimitAt(now, rate.Limit(part))
	c.crashLimiter.SetBurstAt(now, max(1, int(part)))
	return c.crashLimiter.AllowN(now, 1)
}

// onCrashed passes on what other incarnations saw; this process has counted its own crashes already.
func (c *Client) onCrashed(e *ledger.Crashed) {
	if c.ownOutbox(e.Incarnation) != nil || c.onRemoteCrash == nil {
		return
	}
	c.count(crashSeen, 1)
	c.onRemoteCrash(e.Incarnation, e.Crash)
}
