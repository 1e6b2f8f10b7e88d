package site

import (
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
		assert.Equal(t, true, r.Remove(start, "one"))
		assert.Equal(t, false, r.Remove(start, "one"))
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
		r.Replace(start, []Endpoint{one, two})
		r.SetUnreachable(start, true)
		r.SetUnreachable(start.Add(8*time.Second), false)
		assert.Equal(t, true, r.Replace(start.Add(8*time.Second), []Endpoint{two}))
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
		r.Replace(start, []Endpoint{one, two})
		r.Replace(start.Add(time.Minute), []Endpoint{one})
		assertListed(t, r, "one")
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
