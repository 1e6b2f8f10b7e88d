package site

import (
	"slices"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// assertListed checks the names of the endpoints that the registry's directory lists for the service "engine".
func assertListed(t *testing.T, r *EndpointRegistry, want ...string) {
	t.Helper()
	var names []string
	for _, e := range r.Directory().Endpoints("engine") {
		names = append(names, e.Name)
	}
	assert.Equal(t, want, names)
}

func TestEndpointRegistry(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	one := Endpoint{Name: "one", Service: "engine", Address: "127.0.0.1:1"}
	two := Endpoint{Name: "two", Service: "engine", Address: "127.0.0.1:2"}
	t.Run("put and remove", func(t *testing.T) {
		r := &EndpointRegistry{}
		assert.Equal(t, true, r.Put(two))
		assert.Equal(t, true, r.Put(one))
		assert.Equal(t, false, r.Put(one))
		assertListed(t, r, "one", "two")
		assert.Equal(t, Removal{IsListed: true}, r.Remove(start, "one"))
		assert.Equal(t, Removal{}, r.Remove(start, "one"))
		assertListed(t, r, "two")
	})
	t.Run("draining endpoints are not listed", func(t *testing.T) {
		r := &EndpointRegistry{}
		r.Put(one)
		draining := one
		draining.State = EndpointDraining
		assert.Equal(t, true, r.Put(draining))
		assertListed(t, r)
	})
	t.Run("entries that expire in an outage are retained until the grace period ends", func(t *testing.T) {
		r := &EndpointRegistry{}
		r.Replace(start, Snapshot{Endpoints: []Endpoint{one, two}})
		r.SetUnreachable(start, true)
		r.SetUnreachable(start.Add(8*time.Second), false)
		removals, changed := r.Replace(start.Add(8*time.Second), Snapshot{Endpoints: []Endpoint{two}})
		assert.Equal(t, true, changed)
		assert.Equal(t, map[string]Removal{"one": {IsListed: true, IsRetained: true}}, removals)
		assertListed(t, r, "one", "two")
		assert.Equal(t, false, r.DropExpired(start.Add(9*time.Second)))
		assert.Equal(t, true, r.DropExpired(start.Add(8*time.Second+RetentionGrace)))
		assertListed(t, r, "two")
	})
	t.Run("an endpoint that writes its entry again is no longer dropped", func(t *testing.T) {
		r := &EndpointRegistry{}
		r.Put(one)
		r.SetUnreachable(start, true)
		r.Remove(start, "one")
		r.SetUnreachable(start.Add(time.Second), false)
		r.Put(one)
		assert.Equal(t, false, r.DropExpired(start.Add(time.Minute)))
		assertListed(t, r, "one")
	})
	t.Run("a draining endpoint is not retained in an outage", func(t *testing.T) {
		r := &EndpointRegistry{}
		draining := one
		draining.State = EndpointDraining
		r.Put(draining)
		r.SetUnreachable(start, true)
		r.Remove(start, "one")
		assertListed(t, r)
	})
	t.Run("an entry that expires after the outage is retained up to the same time", func(t *testing.T) {
		r := &EndpointRegistry{}
		r.Put(one)
		r.SetUnreachable(start, true)
		r.SetUnreachable(start.Add(8*time.Second), false)
		r.Remove(start.Add(10*time.Second), "one")
		assertListed(t, r, "one")
		expiry, ok := r.NextExpiry()
		assert.Equal(t, true, ok)
		assert.Equal(t, start.Add(8*time.Second+RetentionGrace), expiry)
		assert.Equal(t, true, r.DropExpired(expiry))
		assertListed(t, r)
		_, ok = r.NextExpiry()
		assert.Equal(t, false, ok)
	})
	t.Run("without an outage a removed entry is not retained", func(t *testing.T) {
		r := &EndpointRegistry{}
		r.Replace(start, Snapshot{Endpoints: []Endpoint{one, two}})
		r.Replace(start.Add(time.Minute), Snapshot{Endpoints: []Endpoint{one}})
		assertListed(t, r, "one")
	})
}

// TestRemovalsAroundAnOutage guards against an endpoint that has left and stays in use as if its entry had expired in an outage, and against
// the loss of endpoints whose entries did expire.
func TestRemovalsAroundAnOutage(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	start := time.Unix(1_800_000_000, 0)
	one, two := Endpoint{Name: "one", Service: "engine"}, Endpoint{Name: "two", Service: "engine"}
	// others are endpoints whose entries stay.
	var others []Endpoint
	for i := range 6 {
		others = append(others, Endpoint{Name: "other-" + string(rune('a'+i)), Service: "other"})
	}
	for _, c := range []struct {
		name string
		// heartbeat is the interval that the registry knows. writtenAt is when the entry of one was read as new, before the outage from the start
		// on, and outage how long that takes.
		heartbeat, writtenAt, outage time.Duration
		// written is the number of records that were written in the outage, missing says which entries are missing after it.
		written int64
		missing []string
		want    []string
	}{
		{"an entry written less than three intervals before", heartbeat, -1 * time.Second, 2 * time.Second, 0, []string{"one"}, []string{"two"}},
		{"an entry written three intervals before", heartbeat, -600 * time.Millisecond, 3 * time.Second, 0, []string{"one"}, []string{"one", "two"}},
		{"an interval that isn't known", 0, -1 * time.Second, 2 * time.Second, 60, []string{"one"}, []string{"one", "two"}},
		{"nothing was written in the outage", heartbeat, 0, 9 * time.Second, 0, []string{"one", "two"}, []string{"one", "two"}},
		{"an outage for all, with the removals and first renewals", heartbeat, 0, 9 * time.Second, 16, []string{"one", "two"}, []string{"one", "two"}},
		{"an outage for all that ends one for this router only", heartbeat, 0, 9 * time.Second, 40, []string{"one", "two", "other-a", "other-b"}, []string{"one", "two"}},
		{"endpoints went on writing", heartbeat, 0, 9 * time.Second, 57, []string{"one"}, []string{"two"}},
		{"too few records to tell", heartbeat, 0, 4 * time.Second, 23, []string{"one"}, []string{"one", "two"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &EndpointRegistry{HeartbeatInterval: c.heartbeat}
			r.SetUnreachable(start, false)
			r.Replace(start, Snapshot{Endpoints: append([]Endpoint{one, two}, others...)})
			r.RecordWrite("one", start.Add(c.writtenAt))
			r.SetUnreachable(start.Add(time.Second), true)
			end := start.Add(c.outage)
			r.SetUnreachable(end, false)
			var left []Endpoint
			for _, e := range append([]Endpoint{one, two}, others...) {
				if !slices.Contains(c.missing, e.Name) {
					left = append(left, e)
				}
			}
			r.Replace(end, Snapshot{Endpoints: left, Written: c.written})
			assertListed(t, r, c.want...)
			r.DropExpired(end.Add(RetentionGrace))
			var want []string
			for _, e := range left {
				if e.Service == "engine" {
					want = append(want, e.Name)
				}
			}
			assertListed(t, r, want...)
		})
	}
	t.Run("an entry that was renewed after the outage", func(t *testing.T) {
		r := &EndpointRegistry{HeartbeatInterval: heartbeat}
		r.Put(one)
		r.SetUnreachable(start, true)
		r.SetUnreachable(start.Add(8*time.Second), false)
		r.Put(one)
		r.RecordWrite("one", start.Add(8*time.Second))
		assert.Equal(t, Removal{IsListed: true, Age: time.Second}, r.Remove(start.Add(9*time.Second), "one"))
		assertListed(t, r)
	})
	t.Run("an outage in which no entry can expire", func(t *testing.T) {
		r := &EndpointRegistry{HeartbeatInterval: heartbeat}
		r.SetUnreachable(start, false)
		r.Replace(start, Snapshot{Endpoints: []Endpoint{one, two}})
		r.SetUnreachable(start.Add(time.Second), true)
		r.SetUnreachable(start.Add(2300*time.Millisecond), false)
		removals, _ := r.Replace(start.Add(2300*time.Millisecond), Snapshot{Endpoints: []Endpoint{two}})
		assert.Equal(t, map[string]Removal{"one": {IsListed: true}}, removals)
	})
	t.Run("an outage for a moment after a long one", func(t *testing.T) {
		r := &EndpointRegistry{HeartbeatInterval: heartbeat}
		r.SetUnreachable(start, false)
		r.Replace(start, Snapshot{Endpoints: []Endpoint{one, two}})
		r.SetUnreachable(start.Add(time.Second), true)
		end := start.Add(8 * time.Second)
		r.SetUnreachable(end, false)
		r.Replace(end, Snapshot{Endpoints: []Endpoint{two}})
		r.SetUnreachable(end.Add(1700*time.Millisecond), true)
		assert.Equal(t, false, r.DropExpired(end.Add(RetentionGrace)))
		r.SetUnreachable(end.Add(RetentionGrace), false)
		assert.Equal(t, true, r.DropExpired(end.Add(RetentionGrace)))
		assertListed(t, r, "two")
	})
	t.Run("a second long outage", func(t *testing.T) {
		r := &EndpointRegistry{HeartbeatInterval: heartbeat}
		r.SetUnreachable(start, false)
		r.Replace(start, Snapshot{Endpoints: []Endpoint{one}})
		r.SetUnreachable(start.Add(time.Second), true)
		r.SetUnreachable(start.Add(8*time.Second), false)
		r.Replace(start.Add(8*time.Second), Snapshot{})
		r.SetUnreachable(start.Add(9*time.Second), true)
		r.SetUnreachable(start.Add(12*time.Second), false)
		assert.Equal(t, false, r.DropExpired(start.Add(14*time.Second)))
		assertListed(t, r, "one")
	})
	t.Run("an endpoint that comes back under its name", func(t *testing.T) {
		r := &EndpointRegistry{HeartbeatInterval: heartbeat}
		r.Put(one)
		r.RecordWrite("one", start)
		r.Remove(start, "one")
		r.Put(one)
		r.SetUnreachable(start, true)
		r.SetUnreachable(start.Add(4*time.Second), false)
		assert.Equal(t, Removal{IsListed: true, IsRetained: true}, r.Remove(start.Add(4*time.Second), "one"))
	})
}

func TestLists(t *testing.T) {
	d := NewDirectory([]Endpoint{{Name: "c", Service: "engine"}, {Name: "a", Service: "engine"}, {Name: "b", Service: "plain"}})
	for _, c := range []struct {
		service, name string
		want          bool
	}{{"engine", "a", true}, {"engine", "c", true}, {"plain", "b", true}, {"engine", "b", false}, {"plain", "a", false}, {"none", "a", false}} {
		assert.Equal(t, c.want, d.Lists(c.service, c.name))
	}
}
