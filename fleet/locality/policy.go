package locality

import (
	"iter"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Policy decides for one request which endpoints and which other routers it may be sent to. The zero value allows all.
type Policy struct {
	Regions     Regions
	Evacuations site.Evacuations
	// RegionOfZone is the region of each availability zone. An endpoint whose zone isn't listed is outside every restricted set of regions.
	RegionOfZone map[string]string
}

// Place is where an endpoint runs.
type Place struct{ AvailabilityZone, Region string }

// Restricts reports whether the policy excludes any place at all.
func (p *Policy) Restricts() bool { return p.Regions.IsRestricted() || len(p.Evacuations) > 0 }

// AllowsEndpoint reports whether the request may be sent to the endpoints of an availability zone.
func (p *Policy) AllowsEndpoint(availabilityZone string) bool {
	return p.Allows(p.placeOf(availabilityZone))
}

func (p *Policy) placeOf(availabilityZone string) Place {
	return Place{AvailabilityZone: availabilityZone, Region: p.RegionOfZone[availabilityZone]}
}

// Allows reports whether the request may be sent to the endpoints at a place.
func (p *Policy) Allows(place Place) bool {
	return p.Regions.Contains(place.Region) && !p.Evacuations.Contains(place.AvailabilityZone)
}

// AllowsRouter reports whether the body of the request may be sent to a router in a region.
func (p *Policy) AllowsRouter(region string) bool { return p.Regions.Contains(region) }

// Refusal returns why the request can't be sent to any of a service's endpoints, and an empty reason if the policy allows at least one of
// them. Without any endpoint it is empty too, unless the regions are restricted.
func (p *Policy) Refusal(endpoints []site.Endpoint) verdict.Reason {
	return p.RefusalAt(func(yield func(Place) bool) {
		for i := range endpoints {
			if !yield(p.placeOf(endpoints[i].AvailabilityZone)) {
				return
			}
		}
	})
}

// RefusalAt is Refusal for endpoints at places.
func (p *Policy) RefusalAt(places iter.Seq[Place]) verdict.Reason {
	if !p.Restricts() {
		return ""
	}
	isEvacuated := false
	for place := range places {
		if p.Allows(place) {
			return ""
		}
		isEvacuated = isEvacuated || p.Regions.Contains(place.Region)
	}
	switch {
	case isEvacuated:
		return verdict.ZoneEvacuated
	case p.Regions.IsRestricted():
		return verdict.NoEndpointInRegion
	default:
		return ""
	}
}

// Exhausted returns the reason for refusing a request that the policy allows at some endpoints of its service, none of which is available.
func (p *Policy) Exhausted() verdict.Reason {
	if p.Regions.IsRestricted() {
		return verdict.NoEndpointInRegion
	}
	return verdict.NoEndpoint
}
