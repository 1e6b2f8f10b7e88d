// Package gateway serves callers by the routes that a site declares: it finds a request's route by host and path, its
// team by its key, pays for it from the team's prepaid tokens and passes it to an endpoint whose answer it returns
// unchanged. How callers, endpoints and the platform spell things is up to an adapter.
package gateway

import (
	"net"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// Board is one router's view of its site: followers write it, requests read it.
type Board struct {
	// Configuration is the configuration in force; nil until one was read.
	Configuration atomic.Pointer[site.Configuration]
	// Directory lists the endpoints; nil until it was read.
	Directory atomic.Pointer[site.Directory]
	// Leaving says that the router has told the balancer to send no new work.
	Leaving atomic.Bool
	// Overloaded says that the router has more callers than it can serve in time.
	Overloaded atomic.Bool
	// Traffic counts what callers' connections and those to endpoints and the platform carry.
	Traffic Traffic
	Metrics metrics.Registry
}

// Traffic counts bytes since the start.
type Traffic struct{ Received, Sent atomic.Int64 }

// countedConnection is a connection whose bytes are counted.
type countedConnection struct {
	net.Conn

	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// Count adds one to a counter.
func (b *Board) Count(name string) { metrics.GetOrRegisterCounter(name, b.Metrics).Inc(1) }
