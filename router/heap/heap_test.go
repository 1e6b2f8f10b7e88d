package heap

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestSchedule(t *testing.T) {
	const memory = 160
	now := time.Now()
	for _, c := range []struct {
		name string
		u    usage
		want bool
	}{
		{"little is held", usage{held: 40}, false}, {"all is in use", usage{held: 90, live: 85}, false}, {"much is unused", usage{held: 90, live: 20}, true},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, (&schedule{memory: memory}).isDue(now, c.u)) })
	}
	assert.Equal(t, false, (&schedule{}).isDue(now, usage{held: 90}))
}

// TestReturnsThatGainNothing guards against collections again and again where the memory is in use.
func TestReturnsThatGainNothing(t *testing.T) {
	s, now, much := &schedule{memory: 160}, time.Now(), usage{held: 90, live: 20}
	s.record(now, much, usage{held: 30, live: 20})
	assert.Equal(t, false, s.isDue(now.Add(minInterval-1), much))
	assert.Equal(t, true, s.isDue(now.Add(minInterval), much))
	for range 10 {
		s.record(now, much, much)
	}
	assert.Equal(t, false, s.isDue(now.Add(maxInterval-1), much))
	assert.Equal(t, true, s.isDue(now.Add(maxInterval), much))
	s.record(now, much, usage{held: 30, live: 20})
	assert.Equal(t, minInterval, s.interval)
}

// TestReturner guards against a loop that goes on without a bound to keep.
func TestReturner(t *testing.T) {
	assert.Must(t, (&Returner{}).Run(t.Context()))
	u := readUsage()
	assert.Equal(t, true, u.held > 0)
}
