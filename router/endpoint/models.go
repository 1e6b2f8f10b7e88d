package endpoint

import "github.com/dragonflyworks/dragonflyworks/fleet/endpoint"

// indexByModelLocked sorts the endpoints of every service by what the orders stream shows of them, so that a choice
// only looks its model up.
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

// indexByModel fills fit and unknown. An endpoint that gets no orders, or whose state the stream doesn't show, is unknown.
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

// eligiblePeers returns the endpoints of which it is not known that they don't serve a model. Plain calls name none.
func (s *service) eligiblePeers(model string) []*peer {
	if s.peersByModel == nil || model == "" {
		return s.peers
	}
	if eligible, ok := s.peersByModel[model]; ok {
		return eligible
	}
	return s.peersWithUnknownModels
}

// eligibleOrAllPeers returns the endpoints among which a call of a model chooses. If all are known not to serve it, that is all of
// them, for calls that have no better resort.
func (s *service) eligibleOrAllPeers(model string) []*peer {
	if eligible := s.eligiblePeers(model); len(eligible) > 0 {
		return eligible
	}
	return s.peers
}

// markUnserved reports whether the route tried has endpoints and all are known not to serve its model.
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

// useAnyEndpoint goes back to the first route that lacks only the model, if no route tried has an endpoint that may serve its
// own: what is known may be out of date, and must not make a fleet refuse everything.
func (j *job) useAnyEndpoint() bool {
	if j.unservedRoute == nil || j.hadEligiblePeer || j.ignoresModels {
		return false
	}
	j.route, j.body, j.ignoresModels = *j.unservedRoute, j.unservedBody, true
	j.dispatcher.board.Count(modelNotLoaded)
	return true
}

// queueFor returns the queue of a model's calls. Where endpoints differ in what they serve, a model whose endpoints are
// full must not hold up the others.
func (s *service) queueFor(model string) *endpoint.Queue[*waiter] {
	if s.peersByModel == nil {
		model = ""
	}
	q, ok := s.queues[model]
	if !ok {
		q = &endpoint.Queue[*waiter]{MaxLength: s.queueLength}
		s.queues[model] = q
	}
	return q
}
