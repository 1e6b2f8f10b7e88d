package operator

import (
	"fmt"
	"maps"
	"slices"
)

// fleetPlaces are the places of the endpoints that would result from accepting a ticket.
type fleetPlaces struct {
	regions, zones map[string]bool
	zonesByService map[string]map[string]bool
}

func newFleetPlaces(sets map[string]InstanceSet) fleetPlaces {
	p := fleetPlaces{regions: make(map[string]bool), zones: make(map[string]bool), zonesByService: make(map[string]map[string]bool)}
	for _, set := range sets {
		for _, e := range set.Endpoints {
			p.regions[e.Region], p.zones[e.AvailabilityZone] = true, true
			if p.zonesByService[e.Service] == nil {
				p.zonesByService[e.Service] = make(map[string]bool)
			}
			p.zonesByService[e.Service][e.AvailabilityZone] = true
		}
	}
	return p
}

// checkPlaces checks the regions and evacuated zones that a ticket names, and that each service keeps a zone that isn't evacuated.
func (c *Configuration) checkPlaces(t *Ticket) (RefusalReason, string) {
	namesRegions := slices.ContainsFunc(t.Teams, func(team Team) bool { return len(team.Regions) > 0 }) ||
		slices.ContainsFunc(t.Routes, func(route Route) bool { return len(route.Regions) > 0 })
	evacuated := c.EvacuatedZones
	if t.EvacuatedZones != nil {
		evacuated = t.EvacuatedZones
	}
	if !namesRegions && len(evacuated) == 0 {
		return "", ""
	}
	places := newFleetPlaces(c.instanceSetsAfter(t))
	if reason, detail := places.checkRegions(t); reason != "" {
		return reason, detail
	}
	for i, zone := range t.EvacuatedZones {
		if !places.zones[zone] {
			return UnknownZone, fmt.Sprintf("EvacuatedZones[%d]: availability zone %q has no endpoint", i, zone)
		}
	}
	if t.EvacuatedZones == nil && len(t.InstanceSets) == 0 {
		return "", ""
	}
	return places.checkLastZones(evacuated)
}

func (p *fleetPlaces) checkRegions(t *Ticket) (RefusalReason, string) {
	check := func(field string, o object, regions []string) (RefusalReason, string) {
		for i, region := range regions {
			if !p.regions[region] {
				return UnknownRegion, fmt.Sprintf("%s.Regions[%d], %s: region %q has no endpoint", field, i, o, region)
			}
		}
		return "", ""
	}
	for i, team := range t.Teams {
		if reason, detail := check(fmt.Sprintf("Teams[%d]", i), object{teamObject, team.Name}, team.Regions); reason != "" {
			return reason, detail
		}
	}
	for i, route := range t.Routes {
		if reason, detail := check(fmt.Sprintf("Routes[%d]", i), object{routeObject, route.Name}, route.Regions); reason != "" {
			return reason, detail
		}
	}
	return "", ""
}

// checkLastZones checks that each service has an endpoint in a zone that isn't evacuated.
func (p *fleetPlaces) checkLastZones(evacuated []string) (RefusalReason, string) {
	for _, service := range slices.Sorted(maps.Keys(p.zonesByService)) {
		zones := slices.Sorted(maps.Keys(p.zonesByService[service]))
		isEvacuated := func(zone string) bool { return slices.Contains(evacuated, zone) }
		if !slices.ContainsFunc(zones, func(zone string) bool { return !isEvacuated(zone) }) {
			return LastZone, fmt.Sprintf("EvacuatedZones: service %q has endpoints in %q only", service, zones)
		}
	}
	return "", ""
}
