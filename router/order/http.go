package order

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const (
	statePath  = "/control/state"
	ordersPath = "/control/orders"
	// maximumAnswerBytes is the maximum number of bytes that are read of an engine's answer.
	maximumAnswerBytes = 256 << 10
)

// errUnexpectedStatus reports an engine's answer with an unexpected HTTP status or without a fencing number.
var errUnexpectedStatus = errors.New("unexpected status")

// HTTPEngineClient is a client of the engines' HTTP control interface. It opens a new connection for each call.
type HTTPEngineClient struct {
	transport *http1.Transport
}

// NewHTTPEngineClient returns a client that ignores the proxy settings of the environment. The client neither follows
// redirects nor sends a request a second time.
func NewHTTPEngineClient() *HTTPEngineClient {
	return &HTTPEngineClient{transport: http1.NewTransport(&http.Transport{
		DialContext:       (&net.Dialer{Timeout: engineTimeout}).DialContext,
		DisableKeepAlives: true,
	})}
}

// State implements EngineClient. An answer without a fencing number is an error.
func (h *HTTPEngineClient) State(ctx context.Context, address string) (order.Reading, error) {
	response, err := h.do(ctx, http.MethodGet, address+statePath, nil)
	if err != nil {
		return order.Reading{}, fmt.Errorf("querying engine state: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return order.Reading{}, fmt.Errorf("querying engine state: %w %d", errUnexpectedStatus, response.StatusCode)
	}
	var state struct {
		Accepted *platform.Offset
		Busy     bool
		Loaded   []order.Artifact
		Role     string
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumAnswerBytes)).Decode(&state); err != nil {
		return order.Reading{}, fmt.Errorf("querying engine state: %w", err)
	}
	if state.Accepted == nil {
		return order.Reading{}, fmt.Errorf("querying engine state: %w: no fencing number", errUnexpectedStatus)
	}
	return order.Reading{Accepted: *state.Accepted, Busy: state.Busy, Loaded: state.Loaded, Role: state.Role}, nil
}

// Send implements EngineClient. A 4xx status means that the engine rejected the order. After any other failure the
// engine may have accepted the order.
func (h *HTTPEngineClient) Send(ctx context.Context, address string, a *order.Send) error {
	body, err := json.Marshal(struct {
		FencingNumber platform.Offset
		Wanted        []order.Artifact
		Role          string
	}{a.FencingNumber, a.Order.Wanted, a.Order.Role})
	if err != nil {
		return fmt.Errorf("sending order to engine: %w", err)
	}
	response, err := h.do(ctx, http.MethodPost, address+ordersPath, body)
	if err != nil {
		return fmt.Errorf("sending order to engine: %w", err)
	}
	_ = response.Body.Close()
	switch response.StatusCode / 100 {
	case 2:
		return nil
	case 4:
		return fmt.Errorf("%w: status %d", ErrRefused, response.StatusCode)
	default:
		return fmt.Errorf("sending order to engine: %w %d", errUnexpectedStatus, response.StatusCode)
	}
}

// do sends a request. It clears GetBody, without which the transport can't send a body a second time.
func (h *HTTPEngineClient) do(ctx context.Context, method, addressAndPath string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addressAndPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	return h.transport.RoundTrip(request)
}
