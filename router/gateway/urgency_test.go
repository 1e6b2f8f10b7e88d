package gateway

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

func TestUrgency(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name               string
		timeLeft, readTime time.Duration
		priority           int
		want               int
	}{
		{"a short prompt with a tight objective", 300 * ms, 20 * ms, 0, 3},
		{"a long prompt with as little slack", 800 * ms, 520 * ms, 0, 3},
		{"a long prompt that just makes it", 800 * ms, 790 * ms, 0, 2},
		{"much slack", 800 * ms, 100 * ms, 0, 5},
		{"a low priority", 300 * ms, 20 * ms, 2, 4},
		{"too late", 300 * ms, 400 * ms, 0, lowestUrgency},
		{"no objective", 0, 0, 0, lowestUrgency},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, urgency(c.timeLeft, c.readTime, c.priority))
		})
	}
	t.Run("the team's priority takes precedence", func(t *testing.T) {
		j := &job{route: &site.Route{Priority: 1}}
		assert.Equal(t, 1, j.priority())
		j.team = &site.Team{Priority: 3}
		assert.Equal(t, 1, j.priority())
		j.team.HasPriority = true
		assert.Equal(t, 3, j.priority())
	})
}
