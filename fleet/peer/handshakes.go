package peer

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

const (
	// maxHandshakes is the maximum number of handshakes in progress on connections that others opened; each takes some 50 KB.
	maxHandshakes = 256
	// unverifiedHandshakes is the number of handshakes in progress from which a client has to prove its address first, which takes one more round
	// trip. A client that reads no answers takes no memory from then on.
	unverifiedHandshakes = 128
)

// errTooManyHandshakes is the error of a handshake for which there is no place.
var errTooManyHandshakes = errors.New("too many handshakes in progress")

// handshakes bounds the handshakes in progress. Anybody can begin one. The zero value has none.
type handshakes struct {
	// refused is called for each handshake that is refused.
	refused func()

	mu         sync.Mutex
	inProgress int
}

// handshakeKey is the key of a connection's handshake in its context.
type handshakeKey struct{}

// needsProof reports whether the client at an address has to prove that it receives packets there. It is meant as
// quic.Transport.VerifySourceAddress.
func (h *handshakes) needsProof(net.Addr) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inProgress >= unverifiedHandshakes
}

// begin counts a handshake until its connection's context ends or complete is called with that context. It is meant as
// quic.Transport.ConnContext.
func (h *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inProgress >= maxHandshakes {
		h.refused()
		return nil, errTooManyHandshakes
	}
	h.inProgress++
	end := sync.OnceFunc(h.end)
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// complete notes that the handshake of a connection with some context is complete.
func (h *handshakes) complete(ctx context.Context) {
	if end, ok := ctx.Value(handshakeKey{}).(func()); ok {
		end()
	}
}

func (h *handshakes) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inProgress--
}
