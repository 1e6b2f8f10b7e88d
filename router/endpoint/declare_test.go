package endpoint

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

// TestDeclaredAgainDuringAttempts lets the race detector find fields of a peer that a new declaration writes while
// attempts read them without the dispatcher's mutex.
func TestDeclaredAgainDuringAttempts(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked") })
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			assert.Equal(t, callOutcome{"Ran", "", 1, true, 1, "booked"}, perform(t, f, t.Context(), plainCall()))
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
			f.moveEndpoint(0, fmt.Sprintf("luzon-%d", i))
		}
	}
}

// moveEndpoint declares an endpoint in another availability zone.
func (f *fixture) moveEndpoint(i int, zone string) {
	set := operator.InstanceSet{Name: "engines", Endpoints: slices.Clone(f.set.Endpoints)}
	set.Endpoints[i].AvailabilityZone = zone
	f.board.Configuration.Store(&operator.Configuration{InstanceSets: map[string]operator.InstanceSet{set.Name: set}})
	f.tick(time.Now())
}
