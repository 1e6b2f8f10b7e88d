package order

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
)

// target is the wanted state of an endpoint according to the change tickets. loadLimit is the maximum number of endpoints
// that may load at the same time.
type target struct {
	order.Target
	address   string
	region    string
	loadLimit uint64
}

// targetsByName returns the targets of a configuration's inference engines, by endpoint name.
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
	wanted, role, declared := set.DesiredState(e)
	t := target{address: e.Address, region: e.Region, loadLimit: cmp.Or(set.LoadLimit, operator.DefaultLoadLimit)}
	t.Target = order.Target{
		Endpoint: e.Name, Declared: declared, ChecksFencing: e.ChecksFencing, Role: role, Retired: set.Retired,
	}
	for _, a := range wanted {
		t.Wanted = append(t.Wanted, order.Artifact(a))
	}
	return t
}
