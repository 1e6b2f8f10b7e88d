package places

import "github.com/dragonflyworks/dragonflyworks/fleet/locality"

// Prefixes and names of counters.
const (
	regionProblemPrefix = "regions."
	evacuationUnknown   = "evacuation.unknown_zone"
	evacuationOdd       = "evacuation.odd_value"
	evacuationChanged   = "evacuation.changed"
)

// Description is the name of a counter and what it measures.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of the package's counters.
func Counters() []Description {
	return []Description{
		{regionProblemPrefix + string(locality.DisjointRegions), "Pairs of a route and a list of teams' regions without a region in common, once for each version of the configuration; such requests are refused."},
		{regionProblemPrefix + string(locality.UnknownRegion), "Allowed regions in which no availability zone of the site is, once for each version of the configuration."},
		{regionProblemPrefix + string(locality.RegionWithoutEndpoint), "Allowed regions in which no endpoint of the services concerned runs, once for each version of the configuration."},
		{evacuationChanged, "Changes of the set of evacuated availability zones."},
		{evacuationUnknown, "Evacuations of availability zones that the settings don't list."},
		{evacuationOdd, "Evacuations whose record has an unexpected value; the key alone decides."},
	}
}
