package gateway

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
)

// silenceCheckInterval is the interval at which a router looks for callers that acknowledge nothing.
const silenceCheckInterval = 1 * time.Second

// silentCallers closes the connections of callers that acknowledge nothing of what was written to them, so that they hold no descriptors and
// buffers. Callers that read slowly acknowledge probes and are left alone. Where the kernel doesn't tell the two apart, connections are closed
// when a write takes too long, or as idle.
type silentCallers struct {
	callers *callerConnections
	logger  log.Interface
	count   func(counter string)
}

// run checks all connections until the context ends.
func (s *silentCallers) run(ctx context.Context) error {
	for clock.Sleep(ctx, silenceCheckInterval) {
		now := time.Now()
		for _, c := range s.callers.written() {
			s.check(now, c)
		}
	}
	return nil
}

// check resets the connection of a silent caller.
func (s *silentCallers) check(now time.Time, c *callerConnection) {
	c.hasWritten.Store(false)
	report, isClosed := unacknowledged(c)
	if report.Bytes > 0 {
		c.hasWritten.Store(true)
	}
	if isClosed || !c.peer.IsSilent(now, report) {
		return
	}
	s.count(callerSilent)
	c.logUndelivered(s.logger, "caller acknowledges nothing; closing its connection", report.Bytes)
	http1.Reset(c)
}

// recordClosed logs a connection that has ended with data which its caller has not acknowledged. It is called before the connection is closed.
func (s *silentCallers) recordClosed(c *callerConnection) {
	if !c.hasWritten.Load() {
		return
	}
	if report, isClosed := unacknowledged(c); isClosed && report.Bytes > 0 {
		s.count(callerUndelivered)
		c.logUndelivered(s.logger, "connection ended before its caller had acknowledged the answer", report.Bytes)
	}
}

// written returns the connections on which data was written that isn't known to be acknowledged.
func (c *callerConnections) written() []*callerConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var connections []*callerConnection
	for connection := range c.states {
		if caller, ok := connection.(*callerConnection); ok && caller.hasWritten.Load() {
			connections = append(connections, caller)
		}
	}
	return connections
}

// logUndelivered logs the newest request of a connection with the number of bytes that its caller has not acknowledged.
func (c *callerConnection) logUndelivered(logger log.Interface, message string, bytes int) {
	fields := log.Fields{"Unacknowledged": bytes}
	if request := c.request.Load(); request != nil {
		fields[fieldRequest] = *request
	}
	logger.WithFields(fields).Warn(message)
}

// callerKey is the key of a request's connection in its context.
type callerKey struct{}

// withCaller adds the connection of a caller to the context of its requests.
func withCaller(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, connection net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, connection)
		}
		if c, ok := connection.(*callerConnection); ok {
			ctx = context.WithValue(ctx, callerKey{}, c)
		}
		return ctx
	}
}
