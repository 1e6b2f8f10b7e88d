package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	// silenceTime is how long an exchange waits for a first byte, while no endpoint sends any, before a connection to the
	// endpoint is tried.
	silenceTime = 400 * time.Millisecond
	// heldOpenTime is how long a connection that was opened as a check must not be reset.
	heldOpenTime = 100 * time.Millisecond
	// reachProbeInterval is the interval at which a router that is cut off tries an endpoint.
	reachProbeInterval = 250 * time.Millisecond
)

// endpointDialer opens connections to one endpoint and records whether that is possible.
type endpointDialer struct {
	targets           *targets
	service, endpoint string
}

func (d *endpointDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := d.targets.dialEndpoint(ctx, network, address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.targets.cold.RecordLoss(time.Now(), d.service, d.endpoint)
		}
		if !errors.Is(err, context.Canceled) {
			d.targets.recordDialFailure(d.service, d.endpoint)
		}
		return nil, err
	}
	return &watchedConnection{Conn: connection, dialer: d, openedAt: time.Now()}, nil
}

// dialEndpoint opens a connection without recording the outcome.
func (t *targets) dialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	if t.dial == nil {
		return newDialer()(ctx, network, address)
	}
	return t.dial(ctx, network, address)
}

// watchedConnection is a connection to an endpoint that records when data arrives, and whether any has.
type watchedConnection struct {
	net.Conn

	dialer    *endpointDialer
	openedAt  time.Time
	hasResult atomic.Bool
}

// NetConn returns the wrapped connection.
func (c *watchedConnection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *watchedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	t := c.dialer.targets
	if n > 0 {
		now := time.Now()
		t.lastHeard.Store(now.UnixNano())
		t.cold.RecordData(now, c.openedAt, c.dialer.endpoint)
	}
	if errors.Is(err, syscall.ECONNRESET) {
		t.cold.RecordLoss(time.Now(), c.dialer.service, c.dialer.endpoint)
	}
	if (n > 0 || err != nil) && !c.hasResult.Swap(true) {
		switch {
		case n > 0:
			t.recordReached(c.dialer.service)
		case errors.Is(err, syscall.ECONNRESET) && t.isSilent():
			t.recordDialFailure(c.dialer.service, c.dialer.endpoint)
		}
	}
	return n, err
}

// isSilent reports whether no endpoint has sent anything for silenceTime.
func (t *targets) isSilent() bool {
	return time.Since(time.Unix(0, t.lastHeard.Load())) >= silenceTime
}

// reachLocked returns whether the endpoints of a service are reached.
func (t *targets) reachLocked(service string) *endpoint.Reachability {
	if t.reach == nil {
		t.reach = make(map[string]*endpoint.Reachability)
	}
	if t.reach[service] == nil {
		t.reach[service] = &endpoint.Reachability{}
	}
	return t.reach[service]
}

// isCutOff reports whether the router is cut off from the endpoints of a service.
func (t *targets) isCutOff(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachLocked(service).IsCutOff()
}

// goesDirectly reports whether a request goes over the router's own connections. draw is a random number from 0 to 1.
func (t *targets) goesDirectly(service string, draw float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return draw < t.reachLocked(service).DirectShare(time.Now())
}

// recordDialFailure records that no connection to an endpoint could be opened, and starts a check if one is due.
func (t *targets) recordDialFailure(service, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reachLocked(service).RecordFailure(time.Now(), name) {
		go (&reachCheck{targets: t, service: service}).run()
	}
}

// recordReached records that a new connection to an endpoint works.
func (t *targets) recordReached(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, r := time.Now(), t.reachLocked(service)
	since := r.CutOffSince()
	if r.RecordSuccess(now) && t.onReachChange != nil {
		t.onReachChange(service, r, now, since)
	}
}

// recordUnreached records a check in which no connection could be opened. At the begin of a cut, the router's endpoints start
// without the backoffs that the cut caused, a probe looks for its end, and the other services are checked.
func (t *targets) recordUnreached(service string, tried int, isCutOffElsewhere bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, r := time.Now(), t.reachLocked(service)
	if !r.RecordCheck(now, tried, isCutOffElsewhere) {
		return
	}
	if t.onReachChange != nil {
		t.onReachChange(service, r, now, now)
	}
	t.cold.ForgetLosses(service)
	for _, e := range t.byName {
		if e.Service == service {
			e.failures, e.blockedUntil = 0, time.Time{}
		}
	}
	t.notifyCutLocked(service)
	go (&reachProbe{targets: t, service: service}).run()
	for other := range t.services {
		if t.reachLocked(other).TakeCheck(now) {
			go (&reachCheck{targets: t, service: other, isCutOffElsewhere: true}).run()
		}
	}
}

// watchSilence starts a check of the endpoint if an exchange there waits while no endpoint sends anything. The returned timer is stopped
// after the answer's headers have arrived.
func (t *targets) watchSilence(e *target) *time.Timer {
	listed := e.Endpoint
	return time.AfterFunc(silenceTime, func() {
		t.mu.Lock()
		isDue := t.isSilent() && t.reachLocked(listed.Service).TakeCheck(time.Now())
		t.mu.Unlock()
		if isDue {
			(&reachCheck{targets: t, service: listed.Service, first: &listed}).run()
		}
	})
}

// reachCheck finds out by connections of its own whether the endpoints of a service can be reached.
type reachCheck struct {
	targets *targets
	service string
	// first is an endpoint to try before others; nil for none.
	first *site.Endpoint
	// isCutOffElsewhere reports whether the router is cut off from another service.
	isCutOffElsewhere bool
}

func (c *reachCheck) run() {
	if c.first != nil && c.targets.canConnect(c.first.Address) {
		c.targets.recordReached(c.service)
		return
	}
	listed := c.targets.pickEndpoints(c.service, endpoint.ReachabilityChecked)
	var reached atomic.Bool
	var attempts sync.WaitGroup
	for _, e := range listed {
		attempts.Go(func() {
			if c.targets.canConnect(e.Address) {
				reached.Store(true)
			}
		})
	}
	attempts.Wait()
	if reached.Load() {
		c.targets.recordReached(c.service)
		return
	}
	c.targets.recordUnreached(c.service, len(listed), c.isCutOffElsewhere)
}

// pickEndpoints returns up to a number of endpoints of a service at random.
func (t *targets) pickEndpoints(service string, most int) []site.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var listed []site.Endpoint
	if t.directory != nil {
		listed = append(listed, t.directory.Endpoints(service)...)
	}
	rand.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] }) //nolint:gosec // spreads load
	return listed[:min(most, len(listed))]
}

// canConnect reports whether a connection to an address can be opened and isn't reset at once.
func (t *targets) canConnect(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	connection, err := t.dialEndpoint(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetReadDeadline(time.Now().Add(heldOpenTime))
	_, err = connection.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.EOF)
}

// reachProbe tries endpoints of a service until one is reached again.
type reachProbe struct {
	targets *targets
	service string
}

func (p *reachProbe) run() {
	for p.targets.isCutOff(p.service) {
		time.Sleep(reachProbeInterval)
		for _, e := range p.targets.pickEndpoints(p.service, 1) {
			if p.targets.canConnect(e.Address) {
				p.targets.recordReached(p.service)
			}
		}
	}
}

// logReachChange logs that the router found itself cut off from the endpoints of a service, or no longer.
func (s *Server) logReachChange(service string, r *endpoint.Reachability, now, since time.Time) {
	fields := s.logger.WithFields(log.Fields{"Service": service, "CutOff": r.IsCutOff(), fieldMilliseconds: now.Sub(since).Milliseconds()})
	if r.IsCutOff() {
		s.state.Count(reachCutOffPrefix + service)
		fields.Warn("cut off from endpoints: no connection can be opened")
		return
	}
	s.state.Count(reachHealedPrefix + service)
	fields.Info("endpoints can be reached again")
}
