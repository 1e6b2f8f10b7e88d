package order

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// fakeEngine simulates the engine of an endpoint. An accepted order drops the artifacts that it doesn't want at once
// and loads the others by its finishAt time.
type fakeEngine struct {
	target      Target
	isReachable bool
	loaded      []Artifact
	role        string
	accepted    platform.Offset
	running     []execution
	// appliedNumbers lists the fencing numbers of the orders that changed the engine, in the order of the changes.
	appliedNumbers []platform.Offset
}

type execution struct {
	fencingNumber platform.Offset
	order         Order
	finishAt      time.Time
}

// accept starts an order unless the engine rejects its fencing number. It reports whether the order was accepted and
// whether an order with another fencing number was running.
func (e *fakeEngine) accept(fencingNumber platform.Offset, o Order, finishAt time.Time) (accepted, overlaps bool) {
	if e.target.ChecksFencing && fencingNumber < e.accepted {
		return false, false
	}
	for _, x := range e.running {
		overlaps = overlaps || x.fencingNumber != fencingNumber
	}
	e.accepted = fencingNumber
	e.appliedNumbers = append(e.appliedNumbers, fencingNumber)
	e.loaded = commonArtifacts(e.loaded, o.Wanted)
	e.running = append(e.running, execution{fencingNumber: fencingNumber, order: o, finishAt: finishAt})
	return true, overlaps
}

// completeDue completes the running orders whose finish time is not after now.
func (e *fakeEngine) completeDue(now time.Time) {
	e.running = slices.DeleteFunc(e.running, func(x execution) bool {
		if x.finishAt.After(now) {
			return false
		}
		if !e.target.ChecksFencing || x.fencingNumber == e.accepted {
			e.appliedNumbers = append(e.appliedNumbers, x.fencingNumber)
			e.loaded = sortedUnique(x.order.Wanted)
			e.role = x.order.Role
		}
		return true
	})
}

// isLoading reports whether the newest accepted order is running and loads artifacts from the weight store.
func (e *fakeEngine) isLoading() bool {
	return slices.ContainsFunc(e.running, func(x execution) bool {
		return requiresLoad(x.order.Loaded, x.order.Wanted) && x.fencingNumber == e.accepted
	})
}
