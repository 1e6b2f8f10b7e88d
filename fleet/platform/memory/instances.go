package memory

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// maxListings bounds the changes that a lagging list remembers.
const maxListings = 4096

// InstanceList is an in-memory platform.InstanceList. Its zero value is empty and does not lag.
type InstanceList struct {
	Faults

	mutex   sync.Mutex
	lag     time.Duration
	history []change
}

// change is the listing from a time on.
type change struct {
	at      time.Time
	listing platform.Listing
}

// SetLag makes the list answer with what it was a duration ago.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lag = lag
}

// Register adds an instance or replaces the one of the same name.
func (l *InstanceList) Register(instance platform.Instance) {
	l.change(func(instances []platform.Instance) []platform.Instance {
		instances = without(instances, instance.Name)
		instances = append(instances, instance)
		slices.SortFunc(instances, func(a, b platform.Instance) int { return cmp.Compare(a.Name, b.Name) })
		return instances
	})
}

// Leave marks an instance as leaving.
func (l *InstanceList) Leave(name string) {
	l.change(func(instances []platform.Instance) []platform.Instance {
		for i := range instances {
			if instances[i].Name == name {
				instances[i].State = platform.Leaving
			}
		}
		return instances
	})
}

// Remove takes an instance off the list.
func (l *InstanceList) Remove(name string) {
	l.change(func(instances []platform.Instance) []platform.Instance { return without(instances, name) })
}

// Instances implements platform.InstanceList.
func (l *InstanceList) Instances(ctx context.Context) (platform.Listing, error) {
	if err := l.Enter(ctx); err != nil {
		return platform.Listing{}, fmt.Errorf("read instance list: %w", err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	listing := platform.Listing{}
	horizon := time.Now().Add(-l.lag)
	for _, c := range l.history {
		if c.at.After(horizon) {
			break
		}
		listing = c.listing
	}
	listing.Instances = slices.Clone(listing.Instances)
	return listing, nil
}

func (l *InstanceList) change(edit func([]platform.Instance) []platform.Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	newest := platform.Listing{}
	if len(l.history) > 0 {
		newest = l.history[len(l.history)-1].listing
	}
	newest.Version++
	newest.Instances = edit(slices.Clone(newest.Instances))
	l.history = append(l.history, change{at: time.Now(), listing: newest})
	l.history = l.history[max(0, len(l.history)-maxListings):]
}

func without(instances []platform.Instance, name string) []platform.Instance {
	return slices.DeleteFunc(instances, func(i platform.Instance) bool { return i.Name == name })
}
