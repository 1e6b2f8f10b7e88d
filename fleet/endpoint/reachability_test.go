package endpoint

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestReachability(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("one endpoint that ends is no cut", func(t *testing.T) {
		var r Reachability
		for i := range 20 {
			assert.Equal(t, false, r.RecordFailure(start.Add(time.Duration(i)*100*time.Millisecond), "a"))
		}
		assert.Equal(t, 1.0, r.DirectShare(start))
	})
	t.Run("several endpoints call for a check", func(t *testing.T) {
		var r Reachability
		assert.Equal(t, false, r.RecordFailure(start, "a"))
		assert.Equal(t, true, r.RecordFailure(start, "b"))
		assert.Equal(t, false, r.RecordFailure(start, "c"))
		assert.Equal(t, true, r.RecordCheck(start, 3, false))
		assert.Equal(t, 0.0, r.DirectShare(start))
		assert.Equal(t, start, r.CutOffSince())
	})
	t.Run("a connection that works between two failures", func(t *testing.T) {
		var r Reachability
		r.RecordFailure(start, "a")
		assert.Equal(t, false, r.RecordSuccess(start))
		assert.Equal(t, false, r.RecordFailure(start, "b"))
	})
	t.Run("failures far apart", func(t *testing.T) {
		var r Reachability
		r.RecordFailure(start, "a")
		assert.Equal(t, false, r.RecordFailure(start.Add(4*time.Second), "b"))
	})
	t.Run("the only endpoint of a service", func(t *testing.T) {
		var r Reachability
		assert.Equal(t, false, r.RecordCheck(start, 1, false))
		assert.Equal(t, true, r.RecordCheck(start, 1, true))
	})
}

func TestReachabilityReturns(t *testing.T) {
	start := time.Unix(1000, 0)
	var r Reachability
	r.RecordCheck(start, 2, false)
	assert.Equal(t, true, r.RecordSuccess(start.Add(time.Second)))
	assert.Equal(t, 0.5, r.DirectShare(start.Add(2*time.Second)))
	// While it returns, the router takes a first failure for the cut's.
	assert.Equal(t, true, r.RecordFailure(start.Add(2*time.Second), "a"))
	assert.Equal(t, true, r.RecordCheck(start.Add(2*time.Second), 2, false))
	assert.Equal(t, true, r.RecordSuccess(start.Add(3*time.Second)))
	assert.Equal(t, 0.5, r.DirectShare(start.Add(5*time.Second)))
	assert.Equal(t, 1.0, r.DirectShare(start.Add(7*time.Second)))
}
