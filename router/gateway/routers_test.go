package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// startRouter starts a router's peer node and roster on the loopback interface.
func startRouter(ctx context.Context, t *testing.T, instance string, keyedLog platform.KeyedLog) *Routers {
	t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	r, err := NewRouters(peer.Router{Instance: instance, Address: "127.0.0.1:0"}, keyedLog, logger, metrics.NewRegistry())
	assert.Must(t, err)
	r.Self.Address, err = r.Node.Listen(ctx)
	assert.Must(t, err)
	go func() { _ = r.Node.Run(ctx) }()
	go func() { _ = r.Run(ctx) }()
	return r
}

// waitFor polls until a condition holds, at most until the test's own deadline.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("condition not met before the test's deadline")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestRosterIsReadAtOnce guards against a new router whose entry others read so late that requests run out of time for
// borrowing tokens.
func TestRosterIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		shared := &keyed.KeyedLog{}
		start := func(instance string) *Routers {
			self := peer.Router{Instance: instance, Address: "127.0.0.1:1"}
			r, err := NewRouters(self, shared, &log.Logger{Handler: discard.New()}, metrics.NewRegistry())
			assert.Must(t, err)
			go func() { _ = r.Run(ctx) }()
			return r
		}
		first := start("a")
		time.Sleep(10 * time.Second)
		for _, instance := range []string{"b", "c", "b"} {
			restarted := start(instance)
			// A request waits for its tokens no longer than this.
			time.Sleep(allowance.DefaultDrawTimeout)
			listed, _ := first.Roster.Router(instance)
			assert.Equal(t, restarted.Self.Fingerprint, listed.Fingerprint)
		}
		cancel()
		synctest.Wait()
	})
}

// TestRosterFromAnotherRouter guards against a restarted router that is not trusted by a router which can't read its
// new entry from the platform.
func TestRosterFromAnotherRouter(t *testing.T) {
	shared := &keyed.KeyedLog{}
	unreachable := &keyed.Connection{KeyedLog: shared}
	first := startRouter(t.Context(), t, "a", unreachable)
	previousContext, stop := context.WithCancel(t.Context())
	startRouter(previousContext, t, "b", shared)
	other := startRouter(t.Context(), t, "c", shared)
	waitFor(t, func() bool { return first.Roster.Len() == 3 && other.Roster.Len() == 3 })
	unreachable.Cut.Store(true)
	stop()
	restarted := startRouter(t.Context(), t, "b", shared)
	waitFor(t, func() bool {
		listed, _ := first.Roster.Router("b")
		return listed.Fingerprint == restarted.Self.Fingerprint
	})
	_, current := first.ListRouters()
	assert.Equal(t, false, current)
	_, err := other.Node.FetchRouters(t.Context(), peer.Address{Instance: "a", Address: first.Self.Address})
	assert.ErrorIs(t, err, peer.ErrRefused)
}
