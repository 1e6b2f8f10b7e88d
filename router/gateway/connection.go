package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
)

// maxRefusalsPerConnection bounds the refused requests that a connection remembers. After that many no more requests are
// sent on it.
const maxRefusalsPerConnection = 64

// errAmbiguousConnection is the error of a write on a connection on which an earlier answer could be taken for the answer to the new
// request.
var errAmbiguousConnection = errors.New("connection carried an answer that can't be told from the request's own")

// endpointConnection is a connection to an endpoint. Answers are told apart by the identifiers of their requests, and an
// endpoint may write a refusal twice. No request is therefore sent on a connection on which one with the same identifier
// was refused, nor after an exchange that ended without the answer to its own request.
type endpointConnection struct {
	net.Conn

	// openedAt is when the connection was opened.
	openedAt time.Time
	// exchange has room for the one exchange that uses the connection. net/http hands a connection to the next request before the
	// exchange before has seen its answer.
	exchange chan struct{}

	mu sync.Mutex
	// isSpent reports whether an exchange ended without its own answer, so that no more requests are sent.
	isSpent bool
	// isUsed reports whether a request was sent on the connection, isAmbiguous whether writes fail.
	isUsed, isAmbiguous bool
	// refused are hashes of the identifiers of refused requests.
	refused []uint64
	// permit is asked before the first byte of a request is written; nil once it has been asked. withdrawn is its error, with which all
	// writes fail from then on.
	permit    sendPermit
	withdrawn error
}

// NetConn returns the wrapped connection.
func (c *endpointConnection) NetConn() net.Conn { return c.Conn }

// sendPermit returns an error if a request must not be sent after all on a connection that was opened at a time. It is called
// immediately before the first byte is written.
type sendPermit func(openedAt time.Time) error

// begin waits for the end of the exchange before, and is called before a request is sent. A request without an identifier is sent
// only on a new connection. If hasBegun is true, end must be called. isRejected reports whether nothing of the request is written.
func (c *endpointConnection) begin(ctx context.Context, identifier string, permit sendPermit) (hasBegun, isRejected bool) {
	select {
	case c.exchange <- struct{}{}:
		hasBegun = true
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permit = permit
	isKnown := identifier == "" || len(c.refused) >= maxRefusalsPerConnection || slices.Contains(c.refused, xxhash.Sum64String(identifier))
	c.isAmbiguous = c.isAmbiguous || c.isSpent || !hasBegun || c.isUsed && isKnown
	c.isUsed = true
	return hasBegun, c.isAmbiguous
}

// end lets the next request begin. isOwn reports whether the exchange brought the answer to its own request.
func (c *endpointConnection) end(isOwn bool) {
	c.mu.Lock()
	c.isSpent = c.isSpent || !isOwn
	c.mu.Unlock()
	<-c.exchange
}

// recordRefusal records that the endpoint refused a request. It has no effect on nil.
func (c *endpointConnection) recordRefusal(identifier string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, xxhash.Sum64String(identifier))
}

// rejects reports whether writes on the connection fail, so that nothing of a request was sent. It is false for nil.
func (c *endpointConnection) rejects() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isAmbiguous
}

// askPermit asks whether the request may still be sent, once for each request.
func (c *endpointConnection) askPermit() error {
	c.mu.Lock()
	permit, withdrawn := c.permit, c.withdrawn
	c.permit = nil
	c.mu.Unlock()
	if withdrawn != nil || permit == nil {
		return withdrawn
	}
	withdrawn = permit(c.openedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn = withdrawn
	return withdrawn
}

// withdrawal returns the error with which a permit was denied, so that nothing of the request was sent. It is nil for nil.
func (c *endpointConnection) withdrawal() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withdrawn
}

// Write implements net.Conn.
func (c *endpointConnection) Write(p []byte) (int, error) {
	if c.rejects() {
		return 0, errAmbiguousConnection
	}
	if err := c.askPermit(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// responseError returns the error of an exchange on the connection. It returns err for nil.
func (c *endpointConnection) responseError(err error) error {
	if c == nil {
		return err
	}
	return http1.ResponseError(c, err)
}

// close closes the connection, so that nothing more is read from it. It has no effect on nil.
func (c *endpointConnection) close() {
	if c != nil {
		_ = c.Close()
	}
}

// directExchange sends one request to an endpoint over this router's own connections.
type directExchange struct {
	transport *http.Transport
	// identifier is the request's, which its own answer has in the header identifierHeader.
	identifier, identifierHeader string
	// writes counts how often the transport has written the request.
	writes *atomic.Int32
	// permit is asked before the request is written; nil permits every request.
	permit sendPermit
	// connection is the one on which the request was sent; nil if there is none.
	connection *endpointConnection
	// witness shows whether the endpoint's process goes on.
	witness *http1.Witness
	// bodyBytes is the length of the request's body.
	bodyBytes int64
}

// roundTrip sends the request and returns the answer. It opens a new connection in place of those on which the answer couldn't be told
// from an earlier one.
func (d *directExchange) roundTrip(ctx context.Context, newRequest func(context.Context) *http.Request) (*http.Response, error) {
	hasBegun, isRejected := false, false
	var body *bodyWatch
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			http1.BeginResponse(info.Conn)
			d.connection = connectionOf(info.Conn)
			if d.connection != nil {
				hasBegun, isRejected = d.connection.begin(ctx, d.identifier, d.permit)
			}
			if hasBegun && !isRejected && d.bodyBytes > largeBodyBytes {
				body = &bodyWatch{}
				body.begin(ctx, d.connection)
			}
		},
		WroteHeaders: func() { d.writes.Add(1) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if body != nil {
				body.isWritten.Store(true)
			}
		},
	})
	traced = d.witness.WithTrace(traced)
	for {
		d.connection, hasBegun, isRejected = nil, false, false
		response, err := d.transport.RoundTrip(newRequest(traced))
		if hasBegun {
			d.connection.end(err == nil && response.Header.Get(d.identifierHeader) == d.identifier)
		}
		if err == nil && isRejected {
			// Nothing was sent: what came is a late answer to an earlier request.
			_ = response.Body.Close()
			d.connection.close()
			err = errAmbiguousConnection
		}
		if err == nil {
			d.confirmEnd(ctx, response)
			return response, nil
		}
		err = d.connection.responseError(err)
		if withdrawn := d.connection.withdrawal(); withdrawn != nil {
			d.writes.Store(0)
			return nil, withdrawn
		}
		if ctx.Err() != nil || !isRejected {
			return nil, err
		}
		d.writes.Store(0)
	}
}

// confirmEnd makes the body of an answer that ends with its connection fail if the endpoint's process has ended with it.
func (d *directExchange) confirmEnd(ctx context.Context, response *http.Response) {
	if d.connection == nil {
		d.witness.ConfirmEnd(ctx, response, nil)
		return
	}
	d.witness.ConfirmEnd(ctx, response, d.connection)
}

func connectionOf(connection net.Conn) *endpointConnection {
	c, _ := connection.(*endpointConnection)
	return c
}
