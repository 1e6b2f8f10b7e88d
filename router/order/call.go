package order

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Engines are the engines in reach.
type Engines interface {
	// State asks for an engine's state.
	State(ctx context.Context, address string) (order.Reading, error)
	// Send sends an order. With ErrRefused, the engine answered that it did not take it; after any other error
	// it may have taken it.
	Send(ctx context.Context, address string, a *order.Send) error
}

// ErrRefused reports an engine that refused an order.
var ErrRefused = errors.New("the engine refused the order")

// call is a question to an engine, or an order if send is set.
type call struct {
	orderer  *Orderer
	endpoint string
	// startedFor is what the orderer knew of the endpoint as the call started.
	startedFor   *endpointState
	address string
	send    *order.Send
	// startedAt is when the call was started, from the next offset of the stream at that time.
	startedAt time.Time
	nextOffset  platform.Offset
	// deadline bounds the call; an order is never sent after the own lease.
	deadline time.Time

	reading order.Reading
	err     error
}

// run makes the call and hands it back to the orderer's loop.
func (c *call) run(ctx context.Context) {
	bounded, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if c.send != nil {
		c.err = c.orderer.engines.Send(bounded, c.address, c.send)
	} else {
		c.reading, c.err = c.orderer.engines.State(bounded, c.address)
	}
	select {
	case c.orderer.completedCalls <- c:
	case <-ctx.Done():
	}
}
