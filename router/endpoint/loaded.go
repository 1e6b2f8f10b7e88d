package endpoint

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
)

// indexByModelLocked groups the endpoints of every service by the models that they serve according to the orders
// stream, so that each selection of an endpoint needs a single lookup.
func (d *Dispatcher) indexByModelLocked() {
	offers := make(map[string][]string)
	if d.orders != nil {
		for _, o := range *d.orders {
			if o.Reported {
				offers[o.Endpoint] = o.Offers
			}
		}
	}
	for _, s := range d.services {
		s.indexByModel(offers)
	}
}

// indexByModel fills peersByModel and peersWithUnknownModels. An endpoint's models are unknown if no change ticket
// wants models of it or if the orders stream does not show its state.
func (s *service) indexByModel(offers map[string][]string) {
	s.peersByModel, s.peersWithUnknownModels = nil, nil
	for _, p := range s.peers {
		names, known := offers[p.name]
		if !known || !p.hasWantedModels {
			s.peersWithUnknownModels = append(s.peersWithUnknownModels, p)
			continue
		}
		if s.peersByModel == nil {
			s.peersByModel = make(map[string][]*peer)
		}
		for _, name := range names {
			s.peersByModel[name] = append(s.peersByModel[name], p)
		}
	}
	for name := range s.peersByModel {
		s.peersByModel[name] = append(s.peersByModel[name], s.peersWithUnknownModels...)
	}
}

// eligiblePeers returns the endpoints that may serve a model, which excludes those known not to serve it. Plain calls
// have an empty model name and may use every endpoint.
func (s *service) eligiblePeers(model string) []*peer {
	if s.peersByModel == nil || model == "" {
		return s.peers
	}
	if eligible, ok := s.peersByModel[model]; ok {
		return eligible
	}
	return s.peersWithUnknownModels
}

// eligibleOrAllPeers returns the endpoints from which a call of a model selects. If every endpoint is known not to
// serve the model, it returns all of them, for calls that ignore the loaded models.
func (s *service) eligibleOrAllPeers(model string) []*peer {
	if eligible := s.eligiblePeers(model); len(eligible) > 0 {
		return eligible
	}
	return s.peers
}

// markUnserved reports whether the job's current route has endpoints and all are known not to serve its model. The
// first such route is recorded for useAnyEndpoint.
func (j *job) markUnserved(s *service) bool {
	if len(s.eligiblePeers(j.route.Model)) > 0 {
		j.hadEligiblePeer = true
		return false
	}
	if j.ignoresModels || len(s.peers) == 0 {
		return false
	}
	if j.unservedRoute == nil {
		route := j.route
		j.unservedRoute, j.unservedBody = &route, j.body
	}
	return true
}

// useAnyEndpoint switches the job back to the first route whose endpoints are all known not to serve its model, and
// reports whether it did. The job is switched only if no route had an endpoint that may serve its model: the known
// state may be stale, and stale state must not make the whole fleet refuse calls.
func (j *job) useAnyEndpoint() bool {
	if j.unservedRoute == nil || j.hadEligiblePeer || j.ignoresModels {
		return false
	}
	j.route, j.body, j.ignoresModels = *j.unservedRoute, j.unservedBody, true
	j.dispatcher.board.Count(modelNotLoaded)
	return true
}

// queueFor returns the wait queue for calls of a model with allowed regions. Where endpoints are known to serve different models, each
// model has its own queue, so that a model whose endpoints are full does not block calls of the others.
func (s *service) queueFor(model string, regions locality.Regions) *endpoint.Queue[*waiter] {
	if s.peersByModel == nil {
		model = ""
	}
	key := queueKey{model: model, regions: regionsKey(regions)}
	q, ok := s.queues[key]
	if !ok {
		q = &endpoint.Queue[*waiter]{MaxLength: s.queueLength}
		s.queues[key] = q
	}
	return q
}
