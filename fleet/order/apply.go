package order

import (
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// applyReport stores the loaded artifacts and the role that the claim holder read from the endpoint.
func (s *State) applyReport(writer ledger.Incarnation, r *Report) Refusal {
	ep := s.endpointUnderClaim(r.Endpoint, writer, r.Claim)
	if ep == nil {
		return NotHolder
	}
	if ep.unfinished != nil {
		return Unfinished
	}
	ep.recordReport(r.Loaded, r.Role)
	return ""
}

// recordReport stores an endpoint's reported state. Only artifacts that the newest order wants count as served,
// because a duplicate of that order may still arrive and drop the others.
func (ep *endpoint) recordReport(loaded []Artifact, role string) {
	ep.reported, ep.loaded, ep.role = true, sortedUnique(loaded), role
	keptArtifacts := ep.loaded
	if ep.hasLatestWanted {
		keptArtifacts = commonArtifacts(keptArtifacts, ep.latestWanted)
	}
	ep.serves = baseModels(keptArtifacts)
}

// applyOrder makes the order the endpoint's unfinished order. It supersedes an unfinished order of an earlier claim
// and one that was closed as Unreachable. The superseded order may still take effect, so only the models that neither
// order drops count as served.
func (s *State) applyOrder(offset platform.Offset, writer ledger.Incarnation, o *Order) Refusal {
	ep := s.endpointUnderClaim(o.Endpoint, writer, o.Claim)
	if ep == nil {
		return NotHolder
	}
	if ep.unfinished != nil && ep.unfinished.order.Claim == o.Claim && !ep.unfinished.lost {
		return Unfinished
	}
	if refused := s.checkOrder(ep, o); refused != "" {
		return refused
	}
	keptModels := baseModels(commonArtifacts(o.Loaded, o.Wanted))
	if ep.unfinished != nil {
		keptModels = commonNames(keptModels, ep.serves)
	}
	ep.serves = keptModels
	ep.loading = ep.loading || requiresLoad(o.Loaded, o.Wanted)
	ep.latestWanted, ep.hasLatestWanted = o.Wanted, true
	ep.unfinished = &unfinishedOrder{offset: offset, order: *o}
	return ""
}

// checkOrder refuses an order that would leave a model, other than a retired one, without an endpoint that serves it,
// or that would exceed the order's load limit. The limit does not apply to an endpoint that already counts as loading.
func (s *State) checkOrder(ep *endpoint, o *Order) Refusal {
	for _, model := range droppedModels(ep.serves, o) {
		if len(s.ServingElsewhere(model, o.Endpoint)) == 0 {
			return LastLoaded
		}
	}
	if ep.loading || o.LoadLimit == 0 || !requiresLoad(o.Loaded, o.Wanted) {
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
	keptModels := baseModels(commonArtifacts(o.Loaded, o.Wanted))
	return slices.DeleteFunc(slices.Concat(baseModels(o.Loaded), serves), func(model string) bool {
		return slices.Contains(keptModels, model) || slices.Contains(o.Retired, model)
	})
}

// applyDone closes the unfinished order. If the outcome is Unreachable, the order is kept and marked as lost, and the
// endpoint's state counts as unknown.
func (s *State) applyDone(writer ledger.Incarnation, d *Done) Refusal {
	ep := s.endpointUnderClaim(d.Endpoint, writer, d.Claim)
	if ep == nil {
		return NotHolder
	}
	if ep.unfinished == nil || ep.unfinished.offset != d.Order {
		return NoOrder
	}
	ep.loading = false
	if d.Outcome == Unreachable {
		ep.unfinished.lost = true
		ep.reported, ep.loaded, ep.role, ep.serves = false, nil, "", nil
		return ""
	}
	ep.unfinished = nil
	ep.recordReport(d.Loaded, d.Role)
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
