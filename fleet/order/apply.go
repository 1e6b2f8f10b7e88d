package order

import (
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// applyReport stores the loaded artifacts and the role that the claim holder read from the endpoint.
func (s *State) applyReport(writer ledger.Incarnation, r *Report) Refusal {
	p := s.endpointUnderClaim(r.Endpoint, writer, r.Claim)
	if p == nil {
		return NotHolder
	}
	if p.unfinished != nil {
		return Unfinished
	}
	p.recordReport(r.Loaded, r.Role)
	return ""
}

// recordReport stores an endpoint's reported state. Only artifacts that the newest order wants count as served,
// because a duplicate of that order may still arrive and drop the others.
func (p *endpoint) recordReport(loaded []Artifact, role string) {
	p.reported, p.loaded, p.role = true, sortedUnique(loaded), role
	kept := p.loaded
	if p.hasLatestWanted {
		kept = commonArtifacts(kept, p.latestWanted)
	}
	p.serves = baseModels(kept)
}

// applyOrder makes the order the endpoint's unfinished order. It supersedes an unfinished order of an earlier claim
// and one that was closed as Unreachable.
func (s *State) applyOrder(offset platform.Offset, writer ledger.Incarnation, o *Order) Refusal {
	p := s.endpointUnderClaim(o.Endpoint, writer, o.Claim)
	if p == nil {
		return NotHolder
	}
	if p.unfinished != nil && p.unfinished.order.Claim == o.Claim && !p.unfinished.lost {
		return Unfinished
	}
	if refused := s.checkOrder(p, o); refused != "" {
		return refused
	}
	kept := baseModels(commonArtifacts(o.Loaded, o.Wanted))
	if p.unfinished != nil {
		kept = commonNames(kept, p.serves)
	}
	p.serves = kept
	p.loading = p.loading || requiresLoad(o.Loaded, o.Wanted)
	p.latestWanted, p.hasLatestWanted = o.Wanted, true
	p.unfinished = &unfinishedOrder{offset: offset, order: *o}
	return ""
}

// checkOrder refuses an order that would leave a model without an endpoint that serves it, or that would exceed the
// order's load limit.
func (s *State) checkOrder(p *endpoint, o *Order) Refusal {
	for _, model := range droppedModels(p.serves, o) {
		if len(s.ServingElsewhere(model, o.Endpoint)) == 0 {
			return LastLoaded
		}
	}
	if p.loading || o.LoadLimit == 0 || !requiresLoad(o.Loaded, o.Wanted) {
		return ""
	}
	if s.LoadsInProgress(o.Endpoint) >= int(o.LoadLimit) {
		return LoadLimit
	}
	return ""
}

// droppedModels returns the models that the order drops from the endpoint, apart from retired models. Models that the
// endpoint serves according to the log count as loaded.
func droppedModels(serves []string, o *Order) []string {
	kept := baseModels(commonArtifacts(o.Loaded, o.Wanted))
	return slices.DeleteFunc(slices.Concat(baseModels(o.Loaded), serves), func(model string) bool {
		return slices.Contains(kept, model) || slices.Contains(o.Retired, model)
	})
}

// applyDone closes the unfinished order. If its outcome is Unreachable, the order stays as lost and the endpoint's
// state is unknown.
func (s *State) applyDone(writer ledger.Incarnation, d *Done) Refusal {
	p := s.endpointUnderClaim(d.Endpoint, writer, d.Claim)
	if p == nil {
		return NotHolder
	}
	if p.unfinished == nil || p.unfinished.offset != d.Order {
		return NoOrder
	}
	p.loading = false
	if d.Outcome == Unreachable {
		p.unfinished.lost = true
		p.reported, p.loaded, p.role, p.serves = false, nil, "", nil
		return ""
	}
	p.unfinished = nil
	p.recordReport(d.Loaded, d.Role)
	return ""
}

// commonNames returns the names of a that are also in b, in the order of a.
func commonNames(a, b []string) []string {
	result := []string{}
	for _, name := range a {
		if slices.Contains(b, name) {
			result = append(result, name)
		}
	}
	return result
}
