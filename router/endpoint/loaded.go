package endpoint

import "github.com/dragonflyworks/dragonflyworks/fleet/endpoint"

// takeLoadedLocked sorts the endpoints of every service by what the orders stream shows of them, so that a choice
// only looks its model up.
func (d *Dispatcher) takeLoadedLocked() {
	offers := make(map[string][]string)
	if d.orders != nil {
		for _, o := range *d.orders {
			if o.Reported {
				offers[o.Endpoint] = o.Offers
			}
		}
	}
	for _, s := range d.services {
		s.takeLoaded(offers)
	}
}

// takeLoaded fills fit and unknown. An endpoint that gets no orders, or whose state the stream doesn't show, is unknown.
func (s *service) takeLoaded(offers map[string][]string) {
	s.fit, s.unknown = nil, nil
	for _, p := range s.peers {
		names, known := offers[p.name]
		if !known || !p.ordered {
			s.unknown = append(s.unknown, p)
			continue
		}
		if s.fit == nil {
			s.fit = make(map[string][]*peer)
		}
		for _, name := range names {
			s.fit[name] = append(s.fit[name], p)
		}
	}
	for name := range s.fit {
		s.fit[name] = append(s.fit[name], s.unknown...)
	}
}

// fitFor returns the endpoints of which it is not known that they don't serve a model. Plain calls name none.
func (s *service) fitFor(model string) []*peer {
	if s.fit == nil || model == "" {
		return s.peers
	}
	if fit, ok := s.fit[model]; ok {
		return fit
	}
	return s.unknown
}

// peersFor returns the endpoints among which a call of a model chooses. If all are known not to serve it, that is all of
// them, for calls that have no better resort.
func (s *service) peersFor(model string) []*peer {
	if fit := s.fitFor(model); len(fit) > 0 {
		return fit
	}
	return s.peers
}

// lacks reports whether the route tried has endpoints and all are known not to serve its model.
func (j *job) lacks(s *service) bool {
	if len(s.fitFor(j.route.Model)) > 0 {
		j.mayBeServed = true
		return false
	}
	if j.anyEndpoint || len(s.peers) == 0 {
		return false
	}
	if j.lacking == nil {
		route := j.route
		j.lacking, j.lackingBody = &route, j.body
	}
	return true
}

// lastResort goes back to the first route that lacks only the model, if no route tried has an endpoint that may serve its
// own: what is known may be out of date, and must not make a fleet refuse everything.
func (j *job) lastResort() bool {
	if j.lacking == nil || j.mayBeServed || j.anyEndpoint {
		return false
	}
	j.route, j.body, j.anyEndpoint = *j.lacking, j.lackingBody, true
	j.dispatcher.board.Count(noneLoaded)
	return true
}

// queueFor returns the queue of a model's calls. Where endpoints differ in what they serve, a model whose endpoints are
// full must not hold up the others.
func (s *service) queueFor(model string) *endpoint.Queue[*waiter] {
	if s.fit == nil {
		model = ""
	}
	q, ok := s.queues[model]
	if !ok {
		q = &endpoint.Queue[*waiter]{MaxLength: s.queueLength}
		s.queues[model] = q
	}
	return q
}
