package order

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// EngineClient is a client of the control interface of the inference engines.
type EngineClient interface {
	// State queries the state of the engine at an address.
	State(ctx context.Context, address string) (order.Reading, error)
	// Send sends an order to the engine at an address. ErrRefused means that the engine rejected the order. After any
	// other error the engine may have accepted it.
	Send(ctx context.Context, address string, a *order.Send) error
}

// ErrRefused reports that an engine rejected an order.
var ErrRefused = errors.New("engine rejected the order")

// call is one request to an engine: an order if send is set, a state query otherwise.
type call struct {
	orderer  *Orderer
	endpoint string
	// startedFor is the endpoint's local state at the start of the call. The result is discarded if the orderer has
	// replaced that state since, which it does when the endpoint's address changes.
	startedFor *endpointState
	address    string
	send       *order.Send
	// startedAt is when the call was started. nextOffset is the first offset of the orders stream not folded at that time.
	startedAt  time.Time
	nextOffset platform.Offset
	// deadline ends the call. For an order it is never later than the end of this router's lease.
	deadline time.Time

	reading order.Reading
	err     error
}

// run performs the call and returns it to the orderer's loop. It drops the result if ctx has ended.
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
