package gateway

import (
	"errors"
	"strings"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/cold"
	"github.com/dragonflyworks/dragonflyworks/router/places"
)

// errWithdrawn is the cause of a failed attempt whose request was not sent because the endpoint must not get it any more.
var errWithdrawn = errors.New("request must not be sent to the endpoint any more")

func newGate(board *Board, location Location) *places.Gate {
	return &places.Gate{Configuration: &board.Configuration, Evacuations: &board.Evacuations, RegionOfZone: location.Regions}
}

// checkPlaces refuses a request that may be sent to none of its service's endpoints.
func (j *job) checkPlaces(configuration *site.Configuration) error {
	j.place = places.Request{
		Configuration: configuration, Route: j.route, Team: j.team, Host: j.r.Host, Path: escapedPath(j.r), TeamName: j.teamName(),
	}
	policy, err := j.server.targets.gate.Policy(&j.place)
	if err != nil {
		return err
	}
	directory := j.server.state.Directory.Load()
	reason := policy.Refusal(directory.Endpoints(j.service))
	if reason != verdict.NoEndpointInRegion {
		return refusePlaces(&policy, directory.Endpoints(j.service))
	}
	for _, other := range j.route.Services {
		if other.Weight > 0 && policy.Refusal(directory.Endpoints(other.Service)) == "" {
			// The route may send the request to this service as well, which has endpoints in the regions.
			j.setService(configuration, other.Service)
			return nil
		}
	}
	return verdict.Refuse(reason, "")
}

func refusePlaces(policy *locality.Policy, endpoints []site.Endpoint) error {
	if reason := policy.Refusal(endpoints); reason != "" {
		return verdict.Refuse(reason, "")
	}
	return nil
}

// permit returns the permit for a request to an endpoint.
func (t *targets) permit(request *places.Request, e *target, pass *cold.Pass) sendPermit {
	return func(openedAt time.Time) error {
		if t.onPermit != nil {
			t.onPermit()
		}
		if !t.allowsPlace(request, e) || !pass.Send(time.Now(), openedAt) {
			return errWithdrawn
		}
		return nil
	}
}

// allowsPlace reports whether a request may be sent to the place of an endpoint now.
func (t *targets) allowsPlace(request *places.Request, e *target) bool {
	t.mu.Lock()
	zone := e.AvailabilityZone
	t.mu.Unlock()
	return t.gate.AllowsEndpoint(request, zone)
}

// permitRouter returns the permit for handing the request to another router. That one's own share counts if the endpoint is cold.
func (j *job) permitRouter(e *target, region string) func() error {
	return func() error {
		if j.checkCaller() != nil {
			return errCallerLeft
		}
		if t := &j.server.targets; !t.gate.AllowsRouter(&j.place, region) || !t.allowsPlace(&j.place, e) {
			return errWithdrawn
		}
		return nil
	}
}

// placeOf returns what identifies the route and the team of another router's exchange.
func (s *Server) placeOf(x *peer.Exchange) places.Request {
	path, _, _ := strings.Cut(x.Target, "?")
	return places.Request{Host: x.Host, Path: path, TeamName: fieldsHeader(x.Header).Get(s.protocol.Team)}
}

// checkCarried returns why this router must not send another router's request to an endpoint. It is empty if it may.
func (t *targets) checkCarried(request *places.Request, e *target) declineReason {
	policy, err := t.gate.Policy(request)
	switch {
	case err != nil || !policy.AllowsRouter(t.location.Region):
		return declineRegion
	case policy.Evacuations.Contains(e.AvailabilityZone):
		return declineEvacuated
	case !policy.AllowsEndpoint(e.AvailabilityZone):
		return declineRegion
	default:
		return ""
	}
}
