package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

const (
	// maxLoadReportBytes is the maximum size of a load report.
	maxLoadReportBytes = 16 << 10
	// maxReportedRequests is the highest number of requests that a load report may name.
	maxReportedRequests = 1 << 20
	// maxLoadReportAge is the age at which a load report expires.
	maxLoadReportAge = 5 * time.Second
)

// probe checks over a new connection whether an endpoint is alive.
type probe struct {
	dispatcher *Dispatcher
	peer       *peer
}

// run sends the probe and applies its result. The probe takes no longer than the probe timeout.
func (p *probe) run() {
	ctx, cancel := context.WithTimeout(context.Background(), p.peer.settings.ProbeTimeout)
	defer cancel()
	transport := newTransport(p.peer.settings, &p.peer.witness)
	transport.DisableKeepAlives = true
	response, err := get(ctx, transport, p.peer, p.peer.settings.ProbePath)
	if err == nil {
		_ = response.Body.Close()
	}
	p.dispatcher.observe(p.peer, &endpoint.Probed{IsAlive: err == nil})
}

// loadReader polls the load that an engine reports.
type loadReader struct {
	dispatcher *Dispatcher
	peer       *peer
}

// run polls the engine once. A failed poll does not affect the endpoint's health, because load reports are only hints
// for the selection of endpoints.
func (l *loadReader) run() {
	ctx, cancel := context.WithTimeout(context.Background(), l.peer.settings.ProbeTimeout)
	defer cancel()
	running, queued := 0, 0
	response, err := get(ctx, l.peer.transport(), l.peer, l.peer.settings.LoadPath)
	if err == nil {
		running, queued, err = decodeLoadReport(response)
		_ = response.Body.Close()
	}
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	load := &l.peer.load
	load.isRequesting = false
	if err == nil {
		load.totalLoad, load.ownLoad, load.receivedAt = running+queued, load.inFlightAtLastPoll, time.Now()
		if queued == 0 {
			l.peer.limit.Raise(l.peer.inFlight)
		}
		d.assignQueuedLocked(d.serviceLocked(l.peer.service))
	}
	load.inFlightAtLastPoll = l.peer.inFlight
}

// decodeLoadReport returns the number of requests that an engine runs and of those that wait there. It fails on numbers out of
// range, since an engine with a load below zero would be taken for the emptiest.
func decodeLoadReport(response *http.Response) (running, queued int, err error) {
	if response.StatusCode != http.StatusOK {
		return 0, 0, errUnexpectedResponse
	}
	var report *struct {
		Running int
		Queued  int
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadReportBytes)).Decode(&report); err != nil {
		return 0, 0, err
	}
	if report == nil || min(report.Running, report.Queued) < 0 || max(report.Running, report.Queued) > maxReportedRequests {
		return 0, 0, errUnexpectedResponse
	}
	return report.Running, report.Queued, nil
}

// get sends a GET request for a path to an endpoint.
func get(ctx context.Context, transport *http.Transport, p *peer, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+path, nil)
	if err != nil {
		return nil, err
	}
	guard := &writeGuard{}
	response, err := transport.RoundTrip(request.WithContext(guard.withTrace(ctx)))
	if isRejected, _ := guard.rejection(); isRejected && err == nil {
		_ = response.Body.Close()
		return nil, errUnclean
	}
	guard.conclude(err == nil && response.StatusCode != http.StatusOK)
	return response, err
}

// tick starts the probes of ejected endpoints that are due and polls the load of engines that had requests.
func (d *Dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	for _, p := range d.peers {
		d.startDueProbeLocked(now, p)
		load := &p.load
		isDue := load.hadRequests && !load.isRequesting && now.Sub(load.requestedAt) >= d.settings.LoadPollInterval
		if isDue && p.kind == operator.EngineEndpoint && p.health.Available() {
			load.hadRequests, load.isRequesting, load.requestedAt = p.inFlight > 0, true, now
			l := &loadReader{dispatcher: d, peer: p}
			go l.run()
		}
	}
	// A load report can free capacity without a completed attempt that would assign it to queued calls.
	for _, s := range d.services {
		d.assignQueuedLocked(s)
	}
}

func (d *Dispatcher) startDueProbeLocked(now time.Time, p *peer) {
	if p.health.StartDueProbe(now) {
		d.startProbeLocked(p)
	}
}

func (d *Dispatcher) startProbeLocked(p *peer) {
	b := &probe{dispatcher: d, peer: p}
	go b.run()
}
