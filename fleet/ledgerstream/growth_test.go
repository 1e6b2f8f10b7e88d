package ledgerstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// TestAvoidedInstancesAreForgotten lets replaced instances, whose names never return, fail one after the other.
func TestAvoidedInstancesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(&memory.Log{}, Settings{Lease: time.Second}, metrics.NewRegistry())
		r := c.couriers[0]
		for n := range 1000 {
			r.target = peer.Address{Instance: fmt.Sprintf("router-%d", n)}
			r.avoid(time.Now())
			time.Sleep(time.Second)
		}
		if kept := len(c.avoidedUntil); kept > couriers {
			t.Errorf("%d instances are remembered after their time was over", kept)
		}
	})
}
