package order

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
)

// target is what the tickets say of an endpoint.
type target struct {
	order.Target
	address   string
	region    string
	loadLimit uint64
}

// targetsByName returns the engines of a configuration by their names.
func targetsByName(c *operator.Configuration) map[string]target {
	byName := make(map[string]target)
	for _, name := range slices.Sorted(maps.Keys(c.InstanceSets)) {
		set := c.InstanceSets[name]
		for _, e := range set.Endpoints {
			if e.Kind == operator.EngineEndpoint {
				byName[e.Name] = newTarget(set, e)
			}
		}
	}
	return byName
}

func newTarget(set operator.InstanceSet, e operator.Endpoint) target {
	wanted, role, declared := set.WantedOf(e)
	t := target{address: e.Address, region: e.Region, loadLimit: cmp.Or(set.LoadLimit, operator.DefaultLoadLimit)}
	t.Target = order.Target{
		Endpoint: e.Name, Declared: declared, ChecksFencing: e.ChecksFencing, Role: role, Retired: set.Retired,
	}
	for _, a := range wanted {
		t.Wanted = append(t.Wanted, order.Artifact(a))
	}
	return t
}
