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

// maxListings is the maximum number of listings that an InstanceList stores, so that it can return past ones with a lag.
const maxListings = 4096

// InstanceList is an in-memory platform.InstanceList, which can return listings with a lag. The zero value is empty and has
// no lag.
type InstanceList struct {
	Faults

	mutex   sync.Mutex
	lag     time.Duration
	history []timedListing
}

// timedListing is a listing with the time at which it came into effect.
type timedListing struct {
	since   time.Time
	listing platform.Listing
}

// SetLag makes Instances return the listing that was in effect the given duration ago.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lag = lag
}

// Register adds an instance to the list, or replaces the instance with the same name.
func (l *InstanceList) Register(instance platform.Instance) {
	l.update(func(instances []platform.Instance) []platform.Instance {
		instances = removeByName(instances, instance.Name)
		instances = append(instances, instance)
		slices.SortFunc(instances, func(a, b platform.Instance) int { return cmp.Compare(a.Name, b.Name) })
		return instances
	})
}

// MarkLeaving sets the state of an instance to platform.Leaving.
func (l *InstanceList) MarkLeaving(name string) {
	l.update(func(instances []platform.Instance) []platform.Instance {
		for i := range instances {
			if instances[i].Name == name {
				instances[i].State = platform.Leaving
			}
		}
		return instances
	})
}

// Remove deletes an instance from the list.
func (l *InstanceList) Remove(name string) {
	l.update(func(instances []platform.Instance) []platform.Instance { return removeByName(instances, name) })
}

// Instances implements platform.InstanceList.
func (l *InstanceList) Instances(ctx context.Context) (platform.Listing, error) {
	if err := l.Apply(ctx); err != nil {
		return platform.Listing{}, fmt.Errorf("read instance list: %w", err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	listing := platform.Listing{}
	visibleUntil := time.Now().Add(-l.lag)
	for _, entry := range l.history {
		if entry.since.After(visibleUntil) {
			break
		}
		listing = entry.listing
	}
	listing.Instances = slices.Clone(listing.Instances)
	return listing, nil
}

// update calls edit with a copy of the newest listing's instances and appends the result to the history as a new version of
// the list. It drops the oldest listings beyond maxListings.
func (l *InstanceList) update(edit func([]platform.Instance) []platform.Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	newest := platform.Listing{}
	if len(l.history) > 0 {
		newest = l.history[len(l.history)-1].listing
	}
	newest.Version++
	newest.Instances = edit(slices.Clone(newest.Instances))
	l.history = append(l.history, timedListing{since: time.Now(), listing: newest})
	l.history = l.history[max(0, len(l.history)-maxListings):]
}

// removeByName deletes the instances with a name from a slice in place.
func removeByName(instances []platform.Instance, name string) []platform.Instance {
	return slices.DeleteFunc(instances, func(i platform.Instance) bool { return i.Name == name })
}
