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

// startRouters starts a router's end on loopback.
func startRouters(ctx context.Context, t *testing.T, instance string, way platform.KeyedLog) *Routers {
	t.Helper()
	logger := &log.Logger{Handler: discard.New()}
	r, err := NewRouters(peer.Router{Instance: instance, Address: "127.0.0.1:0"}, way, logger, metrics.NewRegistry())
	assert.Must(t, err)
	r.Self.Address, err = r.Node.Listen(ctx)
	assert.Must(t, err)
	go func() { _ = r.Node.Run(ctx) }()
	go func() { _ = r.Run(ctx) }()
	return r
}

// await polls until a condition holds; the test's own deadline bounds it.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("the condition never held")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestRosterIsReadAtOnce starts a router among others, which know it with the next read.
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
			again := start(instance)
			// A request waits that long for tokens.
			time.Sleep(allowance.DefaultDrawTimeout)
			listed, _ := first.Roster.Router(instance)
			assert.Equal(t, again.Self.Fingerprint, listed.Fingerprint)
		}
		cancel()
		synctest.Wait()
	})
}

// TestRosterFromAnotherRouter starts a router again while another one can't read the platform.
func TestRosterFromAnotherRouter(t *testing.T) {
	shared := &keyed.KeyedLog{}
	cut := &keyed.Way{KeyedLog: shared}
	first := startRouters(t.Context(), t, "a", cut)
	former, stop := context.WithCancel(t.Context())
	startRouters(former, t, "b", shared)
	other := startRouters(t.Context(), t, "c", shared)
	await(t, func() bool { return first.Roster.Len() == 3 && other.Roster.Len() == 3 })
	cut.Cut.Store(true)
	stop()
	again := startRouters(t.Context(), t, "b", shared)
	await(t, func() bool {
		listed, _ := first.Roster.Router("b")
		return listed.Fingerprint == again.Self.Fingerprint
	})
	_, current := first.ListRouters()
	assert.Equal(t, false, current)
	_, err := other.Node.FetchRouters(t.Context(), peer.Address{Instance: "a", Address: first.Self.Address})
	assert.ErrorIs(t, err, peer.ErrRefused)
}
