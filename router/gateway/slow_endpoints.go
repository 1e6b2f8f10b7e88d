package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/router/unacked"
)

const (
	// largeBodyBytes is the size above which the body of a request doesn't fit into the window of an endpoint that has yet to read it.
	largeBodyBytes = 64 << 10
	// slowEndpointCheckInterval is the interval at which the connection of a large body is checked.
	slowEndpointCheckInterval = 500 * time.Millisecond
)

// bodyWatch watches the connection on which a large body is sent. A TCP user timeout would take an endpoint that reads the body slowly for a
// silent one, so the connection has a long one until the endpoint has acknowledged the whole body.
type bodyWatch struct {
	connection *endpointConnection
	// isWritten is true once the whole request was handed to the kernel.
	isWritten atomic.Bool
	peer      unacked.Peer
}

// begin starts the watch of a connection. The user timeout lasts until the context's deadline, in case the kernel tells nothing of
// acknowledgements.
func (w *bodyWatch) begin(ctx context.Context, connection *endpointConnection) {
	w.connection = connection
	if deadline, ok := ctx.Deadline(); ok {
		w.setUserTimeout(max(acknowledgmentTimeout, time.Until(deadline)))
		go w.run(ctx)
	}
}

// run closes the connection if the endpoint is silent. It ends once the endpoint has acknowledged the body, or with the context.
func (w *bodyWatch) run(ctx context.Context) {
	defer w.setUserTimeout(acknowledgmentTimeout)
	for clock.Sleep(ctx, slowEndpointCheckInterval) {
		report, isClosed := unacknowledged(w.connection)
		if isClosed || report.Bytes == 0 && w.isWritten.Load() {
			return
		}
		if w.peer.IsSilent(time.Now(), report) {
			w.connection.close()
			return
		}
	}
}

func (w *bodyWatch) setUserTimeout(timeout time.Duration) {
	http1.Control(w.connection, func(fd int) { _ = setUserTimeout(fd, timeout) })
}
