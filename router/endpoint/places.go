package endpoint

import (
	"errors"
	"strings"

	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// errPlaceWithdrawn is the cause of a failed attempt that was not sent because the regions or an evacuation no longer allow the endpoint.
var errPlaceWithdrawn = errors.New("call must not be sent to the endpoint any more")

// policy returns what decides to which endpoints the call may be sent now. The newest configuration that has the call's routes and team
// decides. It fails with a refusal if these allow no region in common.
func (j *job) policy() (locality.Policy, error) {
	configuration := j.dispatcher.board.Configuration.Load()
	if configuration == nil {
		configuration = &operator.Configuration{}
	}
	own := newestRoute(configuration, j.call.Route)
	regions, err := locality.Allowed(own, &site.Team{Regions: configuration.Teams[j.call.Team].Regions})
	if err == nil && j.route.Name != j.call.Route.Name {
		regions, err = regions.ForFallback(newestRoute(configuration, j.route))
	}
	p := locality.Policy{Regions: regions}
	for _, zone := range configuration.EvacuatedZones {
		if p.Evacuations == nil {
			p.Evacuations = make(site.Evacuations)
		}
		p.Evacuations[zone] = struct{}{}
	}
	if err != nil {
		return p, &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.RegionsDisjoint, Cause: err}
	}
	return p, nil
}

// newestRoute returns the regions of a route in a configuration, or those that it had if the configuration lacks it.
func newestRoute(c *operator.Configuration, route operator.Route) *site.Route {
	if newest, ok := c.Routes[route.Name]; ok {
		route = newest
	}
	return &site.Route{Regions: route.Regions}
}

// allows reports whether the call may be sent to an endpoint now.
func (j *job) allows(p *peer) bool {
	policy, err := j.policy()
	return err == nil && policy.Allows(*p.place.Load())
}

// refusePlaces returns the reason if the policy allows none of the endpoints, else an empty one.
func refusePlaces(policy *locality.Policy, peers []*peer) verdict.Reason {
	return policy.RefusalAt(func(yield func(locality.Place) bool) {
		for _, p := range peers {
			if !yield(*p.place.Load()) {
				return
			}
		}
	})
}

// allowed returns the endpoints that a policy allows.
func allowed(policy *locality.Policy, peers []*peer) []*peer {
	if !policy.Restricts() {
		return peers
	}
	var found []*peer
	for _, p := range peers {
		if policy.Allows(*p.place.Load()) {
			found = append(found, p)
		}
	}
	return found
}

// queueKey identifies a wait queue: calls of different models or with different allowed regions wait in queues of their own where endpoints
// differ in these, so that none waits for endpoints of others.
type queueKey struct {
	model string
	// regions are the names of the allowed regions; empty if all are allowed.
	regions string
}

func regionsKey(r locality.Regions) string { return strings.Join(r.Names(), "\n") }

// mayFallBack reports whether a call was refused because the route in use has no endpoint left, so that a further route may serve it.
func (j *job) mayFallBack(reason verdict.Reason) bool {
	switch reason {
	case verdict.NoEndpoint, verdict.NoEndpointInRegion, verdict.ZoneEvacuated:
		return true
	case verdict.RegionsDisjoint:
		return j.route.Name != j.call.Route.Name
	default:
		return false
	}
}
