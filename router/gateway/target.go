package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/placement"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/router/cold"
	"github.com/dragonflyworks/dragonflyworks/router/places"
	"github.com/dragonflyworks/dragonflyworks/router/unacked"
)

const (
	// dialTimeout bounds the opening of a connection to an endpoint: regions are some ms apart, and an endpoint that
	// gives no answer at all is unresponsive or has ended.
	dialTimeout = 700 * time.Millisecond
	// acknowledgmentTimeout is the TCP user timeout, after which a connection with unacknowledged data is closed:
	// several round trips between regions with a lost packet.
	acknowledgmentTimeout = unacked.SilenceTimeout
	// keepAliveIdle and keepAliveInterval make TCP detect an unresponsive peer on an idle connection with the first probe that is due after
	// acknowledgmentTimeout, which takes the place of keepAliveCount. Linux takes whole seconds.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	// callerKeepAliveCount is the count for connections without a user timeout, with the same effect.
	callerKeepAliveCount = 2
	// maxIdleConnections bounds the idle connections to one endpoint, maxIdleTime how long each is kept: endpoints close
	// idle connections themselves.
	maxIdleConnections = 32
	maxIdleTime        = 2500 * time.Millisecond
	// maxResponseHeaderBytes bounds the status line and headers of an answer, interim answers included. The headers of
	// endpoints are far shorter.
	maxResponseHeaderBytes = 64 << 10
)

// KeepAlive returns TCP keep-alive settings that detect connections with unresponsive peers.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// NewTransport returns an HTTP transport with bounded connections that ignores the proxy settings of the environment
// and adds the bytes on its connections to traffic.
func NewTransport(traffic *Traffic) *http1.Transport {
	return &http1.Transport{Transport: newTransport(traffic, newDialer())}
}

func newDialer() http1.DialFunc {
	return (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive(), Control: SetUserTimeout}).DialContext
}

func newTransport(traffic *Traffic, dial http1.DialFunc) *http.Transport {
	checked := http1.DialForResponses(func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &byteCountingConnection{Conn: connection, traffic: traffic}, nil
	})
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := checked(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &endpointConnection{Conn: connection, openedAt: time.Now(), exchange: make(chan struct{}, 1)}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     maxIdleTime,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// target is an endpoint with the connections to it and its state as this router knows it.
type target struct {
	site.Endpoint
	transport *http.Transport
	witness   http1.Witness
	hash      uint64
	// inFlight is the number of this router's requests in progress at the endpoint.
	inFlight int
	// failures counts consecutive failures. The endpoint gets no requests before blockedUntil unless no other is left.
	failures     int
	blockedUntil time.Time
	// backlog predicts how long an engine is busy, cache predicts which parts of prompts the engine has cached, and
	// slowness estimates how much slower the engine is than the other engines of its service.
	backlog  placement.Backlog
	cache    placement.Cache
	slowness placement.Slowness
	// exposures are the requests whose exchanges broke off since the endpoint's last answer. lastBroken is when the
	// newest of them broke off, answeredSince when the first request was sent that the endpoint answered after that.
	exposures                 endpoint.Exposures
	lastBroken, answeredSince time.Time
	// recentAnswers are complete answers that were begun less than endpoint.SoundAnswerTime ago, or were when the endpoint was last
	// used. isBeingChecked is true while a crashCheck runs.
	recentAnswers  []recentAnswer
	isBeingChecked bool
	// notices are what the endpoint's process has asked for in its answers.
	notices endpoint.Notices
	// limit is the rate limit that the endpoint's process names, and unreadableLimit the newest value if that couldn't be read.
	limit           *processLimit
	unreadableLimit string
	// boundLoggedAt is when a log line last said that the endpoint has no room for more requests of this router.
	boundLoggedAt time.Time
	// isReplaced is true once another endpoint has been found to answer at the address.
	isReplaced bool
}

// recentAnswer is a complete answer on a prompt with the given shared parts.
type recentAnswer struct {
	parts           []string
	sentAt, begunAt time.Time
}

// targets is the set of endpoints that this router sends requests to.
type targets struct {
	mu        sync.Mutex
	directory *site.Directory
	byName    map[string]*target
	services  map[string][]*target
	// limits are the rate limits of endpoints' processes, routers the other routers, which share them; nil if there are none.
	limits  map[endpointProcess]*processLimit
	routers *Routers
	// marks say, by service, whether endpoints are brittle.
	marks map[string]*endpoint.ServiceMark
	// hasOwnRecord reports whether this router has read a record of rate limits of its own, also one of its former process.
	hasOwnRecord bool
	// endsWithConnection says, by service, whether answers end with their connection, so that witnesses of its endpoints are open.
	endsWithConnection map[string]*atomic.Bool
	// rates are, by service, the observed speeds at which engines read prompts.
	rates map[string]*placement.Rate
	// partMemory holds the parts of prompts that the engines' caches are predicted to have.
	partMemory placement.Memory
	// location is where this router runs, gate decides where requests may be sent.
	location Location
	gate     *places.Gate
	// cold knows which endpoints are cold.
	cold    *cold.Tracker
	traffic *Traffic
	// onPermit is called before a permit decides; nil but in tests.
	onPermit func()
	// dial opens connections to endpoints; newDialer if nil.
	dial http1.DialFunc
	// reach says, by service, whether its endpoints are reached. lastHeard is when data last came from any endpoint, in
	// nanoseconds of the Unix time.
	reach     map[string]*endpoint.Reachability
	lastHeard atomic.Int64
	// cutWatchers are the exchanges that are given up when the router finds itself cut off.
	cutWatchers map[*cutWatcher]struct{}
	// onReachChange is called when the router finds itself cut off from a service's endpoints, or no longer.
	onReachChange func(service string, r *endpoint.Reachability, now, since time.Time)
	// onCrash is called with an endpoint's crash and the requests that were in progress there.
	onCrash func(now time.Time, crash string, exposures []endpoint.InterruptedExchange)
	// onSound is called with the parts of prompts on which an endpoint's answer was sound.
	onSound func(now time.Time, parts []string)
}

// Location is the availability zone and region of a router, with the region of each availability zone.
type Location struct {
	AvailabilityZone string
	Region           string
	Regions          map[string]string
}

// isRemote reports whether an endpoint is in another region than the router.
func (l *Location) isRemote(e *target) bool { return l.Regions[e.AvailabilityZone] != l.Region }
