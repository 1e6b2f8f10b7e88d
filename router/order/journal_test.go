package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// TestJournal guards against a lease that counts from a repeated append, or that a new incarnation inherits. The first
// append of a record fails and its resend succeeds; then the router writes as another incarnation.
func TestJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream, ctx := &memory.Log{}, t.Context()
		j := journal{stream: stream, count: func(string) {}, lease: decision.Lease{Term: 10 * time.Second, Margin: 2 * time.Second}}
		first, second := ledger.Incarnation{Instance: "a", Number: 1}, ledger.Incarnation{Instance: "a", Number: 2}
		j.setWriter(first)
		stream.SetOutage(true)
		assert.Equal(t, true, j.append(ctx, &order.Claim{Endpoint: "e"}))
		assert.Equal(t, false, j.append(ctx, &order.Renew{}))
		stream.SetOutage(false)
		time.Sleep(resendInterval)
		j.resend(ctx)
		time.Sleep(2 * time.Second)
		assert.NoError(t, j.read(ctx))
		assert.Equal(t, first, j.state.Endpoint("e").Holder)
		// The lease counts from the start of the first append, 3 s ago, and the margin takes another 2 s of its 10 s.
		assert.Equal(t, 5*time.Second, j.lease.Left(time.Now()))
		assert.Equal(t, true, j.append(ctx, &order.Renew{}))
		j.setWriter(second)
		assert.Equal(t, true, j.lease.Left(time.Now()) <= 0)
		assert.NoError(t, j.read(ctx))
		assert.Equal(t, true, j.lease.Left(time.Now()) <= 0)
		assert.Equal(t, true, j.append(ctx, &order.Fence{Target: first, LastSeen: 1}))
		assert.NoError(t, j.read(ctx))
		assert.Equal(t, false, j.state.Endpoint("e").Held)
		assert.Equal(t, true, j.lease.Valid(time.Now()))
	})
}
