package site

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func assertListed(t *testing.T, r *Register, want ...string) {
	t.Helper()
	var names []string
	for _, e := range r.Directory().Endpoints("engine") {
		names = append(names, e.Name)
	}
	assert.Equal(t, want, names)
}

func TestRegister(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	one := Endpoint{Name: "one", Service: "engine", Address: "127.0.0.1:1"}
	two := Endpoint{Name: "two", Service: "engine", Address: "127.0.0.1:2"}
	t.Run("entries come and go", func(t *testing.T) {
		r := &Register{}
		assert.Equal(t, true, r.Put(two))
		assert.Equal(t, true, r.Put(one))
		assert.Equal(t, false, r.Put(one))
		assertListed(t, r, "one", "two")
		assert.Equal(t, true, r.Remove(begin, "one"))
		assert.Equal(t, false, r.Remove(begin, "one"))
		assertListed(t, r, "two")
	})
	t.Run("draining endpoints get nothing", func(t *testing.T) {
		r := &Register{}
		r.Put(one)
		draining := one
		draining.State = EndpointDraining
		assert.Equal(t, true, r.Put(draining))
		assertListed(t, r)
	})
	t.Run("entries that lapse in an outage stay for a while", func(t *testing.T) {
		r := &Register{}
		r.Replace(begin, []Endpoint{one, two})
		r.Away(begin, true)
		r.Away(begin.Add(8*time.Second), false)
		assert.Equal(t, true, r.Replace(begin.Add(8*time.Second), []Endpoint{two}))
		assertListed(t, r, "one", "two")
		assert.Equal(t, false, r.Expire(begin.Add(9*time.Second)))
		assert.Equal(t, true, r.Expire(begin.Add(8*time.Second+ReturnGrace)))
		assertListed(t, r, "two")
	})
	t.Run("an entry that is written again stays", func(t *testing.T) {
		r := &Register{}
		r.Put(one)
		r.Away(begin, true)
		r.Remove(begin, "one")
		r.Away(begin.Add(time.Second), false)
		r.Put(one)
		assert.Equal(t, false, r.Expire(begin.Add(time.Minute)))
		assertListed(t, r, "one")
	})
	t.Run("an endpoint that was draining does not come back by an outage", func(t *testing.T) {
		r := &Register{}
		draining := one
		draining.State = EndpointDraining
		r.Put(draining)
		r.Away(begin, true)
		r.Remove(begin, "one")
		assertListed(t, r)
	})
	t.Run("an entry that lapses after the platform's return stays no longer than the others", func(t *testing.T) {
		r := &Register{}
		r.Put(one)
		r.Away(begin, true)
		r.Away(begin.Add(8*time.Second), false)
		r.Remove(begin.Add(10*time.Second), "one")
		assertListed(t, r, "one")
		until, ok := r.NextExpiry()
		assert.Equal(t, true, ok)
		assert.Equal(t, begin.Add(8*time.Second+ReturnGrace), until)
		assert.Equal(t, true, r.Expire(until))
		assertListed(t, r)
		_, ok = r.NextExpiry()
		assert.Equal(t, false, ok)
	})
	t.Run("without an outage an entry that is gone is gone", func(t *testing.T) {
		r := &Register{}
		r.Replace(begin, []Endpoint{one, two})
		r.Replace(begin.Add(time.Minute), []Endpoint{one})
		assertListed(t, r, "one")
	})
}
