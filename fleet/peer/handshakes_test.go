package peer

import (
	"context"
	"runtime"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestHandshakesInProgress guards against handshakes without a bound, and against places that aren't given back, or twice.
func TestHandshakesInProgress(t *testing.T) {
	refused := 0
	h := &handshakes{refused: func() { refused++ }}
	open, end := context.WithCancel(t.Context())
	var newest context.Context
	for i := range maxHandshakes {
		assert.Equal(t, i >= unverifiedHandshakes, h.needsProof(nil))
		var err error
		newest, err = h.begin(open, nil)
		assert.Must(t, err)
	}
	_, err := h.begin(open, nil)
	assert.ErrorIs(t, err, errTooManyHandshakes)
	assert.Equal(t, 1, refused)
	h.complete(newest)
	h.complete(newest)
	assert.Equal(t, maxHandshakes-1, h.inProgress)
	ctx, err := h.begin(context.WithoutCancel(open), nil)
	assert.Must(t, err)
	end()
	for h.needsProof(nil) {
		// context.AfterFunc runs in goroutines of its own.
		runtime.Gosched()
	}
	h.complete(ctx)
}
