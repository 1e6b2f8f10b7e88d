package order

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// fakeEngine takes orders; it drops at once what an order doesn't want and loads the rest after loadTime.
type fakeEngine struct {
	target   Target
	alive    bool
	loaded   []Artifact
	role     string
	accepted platform.Offset
	running  []execution
	// effects are the fencing numbers in the order in which they changed the engine.
	effects []platform.Offset
}

type execution struct {
	number   platform.Offset
	order    Order
	finishAt time.Time
}

// take admits an order; it reports whether it was taken and whether another order was being carried out.
func (e *fakeEngine) take(number platform.Offset, o Order, finishAt time.Time) (taken, overlaps bool) {
	if e.target.ChecksFencing && number < e.accepted {
		return false, false
	}
	for _, x := range e.running {
		overlaps = overlaps || x.number != number
	}
	e.accepted = number
	e.effects = append(e.effects, number)
	e.loaded = common(e.loaded, o.Wanted)
	e.running = append(e.running, execution{number: number, order: o, finishAt: finishAt})
	return true, overlaps
}

// finish ends the orders whose time has come.
func (e *fakeEngine) finish(now time.Time) {
	e.running = slices.DeleteFunc(e.running, func(x execution) bool {
		if x.finishAt.After(now) {
			return false
		}
		if !e.target.ChecksFencing || x.number == e.accepted {
			e.effects = append(e.effects, x.number)
			e.loaded = sorted(x.order.Wanted)
			e.role = x.order.Role
		}
		return true
	})
}

// loading reports whether the engine loads from the weight store.
func (e *fakeEngine) loading() bool {
	return slices.ContainsFunc(e.running, func(x execution) bool {
		return loads(x.order.Loaded, x.order.Wanted) && x.number == e.accepted
	})
}
