package places

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// EvacuationFollower keeps the set of evacuated availability zones from the records of the operators' topic. The key of a record alone
// decides: a value that can't be read evacuates the zone as well.
type EvacuationFollower struct {
	Gate   *Gate
	Logger log.Interface
	// Prefix is the part of a record's key before the name of the availability zone. Without one no record is an evacuation.
	Prefix string
	// Count increments a counter.
	Count func(name string)
	// OnEnd is called with the zones whose evacuation ends, before that takes effect; it may be nil.
	OnEnd func(zones []string)

	hasRead bool
}

// Apply applies the records of one read. Those of a snapshot are all that exist.
func (f *EvacuationFollower) Apply(records []platform.KeyedRecord, isSnapshot bool) {
	if f.Prefix == "" {
		return
	}
	before := site.Evacuations{}
	if current := f.Gate.Evacuations.Load(); current != nil {
		before = *current
	}
	after := site.Evacuations{}
	if !isSnapshot {
		maps.Copy(after, before)
	}
	for _, record := range records {
		zone, ok := strings.CutPrefix(record.Key, f.Prefix)
		switch {
		case !ok || zone == "":
		case len(record.Value) == 0:
			delete(after, zone)
		default:
			f.reportOdd(zone, record.Value, before)
			after[zone] = struct{}{}
		}
	}
	isFirst := !f.hasRead
	f.hasRead = true
	if maps.Equal(before, after) && !isFirst {
		return
	}
	if ended := without(before, after); len(ended) > 0 && f.OnEnd != nil {
		// What is to be known of the zones' endpoints must be known before the first request is sent there.
		f.OnEnd(ended)
	}
	f.Gate.Evacuations.Store(&after)
	f.logChange(before, after)
}

// reportOdd reports a record that begins an evacuation of a zone that the settings don't list, in which no endpoint is expected, or whose
// value isn't the empty object.
func (f *EvacuationFollower) reportOdd(zone string, value []byte, before site.Evacuations) {
	if before.Contains(zone) {
		return
	}
	if _, isKnown := f.Gate.RegionOfZone[zone]; !isKnown {
		f.Count(evacuationUnknown)
		f.Logger.WithField("AvailabilityZone", zone).Error("evacuation of an availability zone that the settings don't list")
	}
	if !bytes.Equal(bytes.TrimSpace(value), []byte("{}")) {
		f.Count(evacuationOdd)
		f.Logger.WithFields(log.Fields{"AvailabilityZone": zone, "Bytes": len(value)}).Warn("evacuation with an unexpected value; the key alone decides")
	}
}

func (f *EvacuationFollower) logChange(before, after site.Evacuations) {
	begun, ended := without(after, before), without(before, after)
	if len(begun) == 0 && len(ended) == 0 {
		return
	}
	f.Count(evacuationChanged)
	f.Logger.WithFields(log.Fields{"Begun": strings.Join(begun, ","), "Ended": strings.Join(ended, ","), "Evacuated": len(after)}).
		Warn("evacuated availability zones changed")
}

// without returns the zones of a set that another one lacks, sorted.
func without(set, other site.Evacuations) []string {
	var zones []string
	for zone := range set {
		if !other.Contains(zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
