package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/placement"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	// dialTimeout bounds the opening of a connection to an endpoint: regions are some ms apart, and one that answers
	// nothing is silent or gone.
	dialTimeout = 700 * time.Millisecond
	// userTimeout ends a connection whose data the other end has not acknowledged: several round trips between regions
	// with a lost packet.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections that went silent within about userTimeout.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// idleConnections bounds the idle connections to one endpoint, idleTime their age: endpoints close idle ones.
	idleConnections = 32
	idleTime        = 2500 * time.Millisecond
)

// KeepAlive finds connections that went silent.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// BoundSocket sets the time after which unacknowledged data ends a connection.
func BoundSocket(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// NewTransport returns a transport with bounded connections that takes no proxy from the environment and counts what they
// carry.
func NewTransport(traffic *Traffic) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive(), Control: BoundSocket}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConnection{Conn: connection, traffic: traffic}, nil
		},
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
	}
}

// target is an endpoint with the connections to it and what this router knows of it.
type target struct {
	site.Endpoint
	transport *http.Transport
	hash      uint64
	// inFlight counts this router's requests there.
	inFlight int
	// failures counts failures in a row; blocked is until when the endpoint gets no requests.
	failures int
	blocked  time.Time
	// backlog and cache are what an engine is busy with and has read.
	backlog placement.Backlog
	cache   placement.Cache
	slow    placement.Slowness
	// exposed are the requests whose exchanges broke off since the endpoint's last answer, broke is when the newest did.
	exposed []endpoint.Exposure
	broke   time.Time
	// gone says that the address belongs to another endpoint by now.
	gone bool
}

// targets are the endpoints that requests were sent to.
type targets struct {
	mu        sync.Mutex
	directory *site.Directory
	byName    map[string]*target
	services  map[string][]*target
	// rates are how fast the engines of a service read prompts.
	rates map[string]*placement.Rate
	// place is where this router is.
	place   Place
	traffic *Traffic
	// crashed is told of an endpoint's crash with the requests that were in progress there.
	crashed func(now time.Time, crash string, exposures []endpoint.Exposure)
}

// Place is where a router is, and the region of each availability zone.
type Place struct {
	AvailabilityZone string
	Region           string
	Regions          map[string]string
}

// remote reports whether an endpoint is in another region.
func (p *Place) remote(e *target) bool { return p.Regions[e.AvailabilityZone] != p.Region }
