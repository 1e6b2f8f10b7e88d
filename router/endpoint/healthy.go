package endpoint

import "slices"

// Healthy returns the sorted names of the endpoints that are declared, not leaving and not ejected.
func (d *Dispatcher) Healthy() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	names := []string{}
	for _, s := range d.services {
		for _, p := range s.peers {
			if !p.health.Ejected() {
				names = append(names, p.name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
