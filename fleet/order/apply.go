package order

import (
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// applyReport takes over what the endpoint has loaded.
func (s *State) applyReport(writer ledger.Incarnation, r *Report) Refusal {
	p := s.claimed(r.Endpoint, writer, r.Claim)
	if p == nil {
		return NotHolder
	}
	if p.current != nil {
		return Unfinished
	}
	p.report(r.Loaded, r.Role)
	return ""
}

// report notes what was read from the endpoint. Only what the newest order wanted is sure to stay, because a
// copy of that order may still arrive.
func (p *endpoint) report(loaded []Artifact, role string) {
	p.reported, p.loaded, p.role = true, sorted(loaded), role
	kept := p.loaded
	if p.bounded {
		kept = common(kept, p.bound)
	}
	p.serves = models(kept)
}

// applyOrder starts an order. An unfinished one of an earlier claim, or one that was given up, is superseded.
func (s *State) applyOrder(offset platform.Offset, writer ledger.Incarnation, o *Order) Refusal {
	p := s.claimed(o.Endpoint, writer, o.Claim)
	if p == nil {
		return NotHolder
	}
	if p.current != nil && p.current.order.Claim == o.Claim && !p.current.lost {
		return Unfinished
	}
	if refused := s.checkOrder(p, o); refused != "" {
		return refused
	}
	kept := models(common(o.Loaded, o.Wanted))
	if p.current != nil {
		kept = intersect(kept, p.serves)
	}
	p.serves = kept
	p.loading = p.loading || loads(o.Loaded, o.Wanted)
	p.bound, p.bounded = o.Wanted, true
	p.current = &unfinished{offset: offset, order: *o}
	return ""
}

// checkOrder refuses an order that would leave a model unserved or exceed the limit of loads.
func (s *State) checkOrder(p *endpoint, o *Order) Refusal {
	for _, model := range dropped(p.serves, o) {
		if len(s.ServingElsewhere(model, o.Endpoint)) == 0 {
			return LastLoaded
		}
	}
	if p.loading || o.LoadLimit == 0 || !loads(o.Loaded, o.Wanted) {
		return ""
	}
	if s.LoadsInProgress(o.Endpoint) >= int(o.LoadLimit) {
		return LoadLimit
	}
	return ""
}

// dropped returns the models that an order takes from the endpoint and that are still to be served somewhere.
func dropped(serves []string, o *Order) []string {
	kept := models(common(o.Loaded, o.Wanted))
	return slices.DeleteFunc(slices.Concat(models(o.Loaded), serves), func(model string) bool {
		return slices.Contains(kept, model) || slices.Contains(o.Retired, model)
	})
}

// applyDone closes the unfinished order with what the endpoint reported.
func (s *State) applyDone(writer ledger.Incarnation, d *Done) Refusal {
	p := s.claimed(d.Endpoint, writer, d.Claim)
	if p == nil {
		return NotHolder
	}
	if p.current == nil || p.current.offset != d.Order {
		return NoOrder
	}
	p.loading = false
	if d.Outcome == Unreachable {
		p.current.lost = true
		p.reported, p.loaded, p.role, p.serves = false, nil, "", nil
		return ""
	}
	p.current = nil
	p.report(d.Loaded, d.Role)
	return ""
}

// intersect returns the names in both lists.
func intersect(a, b []string) []string {
	result := []string{}
	for _, name := range a {
		if slices.Contains(b, name) {
			result = append(result, name)
		}
	}
	return result
}
