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
	// loadReportBytes bounds a load report.
	loadReportBytes = 16 << 10
	// loadReportAge is the age from which on a load report says nothing any more.
	loadReportAge = 5 * time.Second
)

// probe asks an endpoint on a new connection whether it is alive.
type probe struct {
	dispatcher *Dispatcher
	peer       *peer
}

// run reports what the probe found. It ends after the probe timeout at the latest.
func (b *probe) run() {
	ctx, cancel := context.WithTimeout(context.Background(), b.peer.settings.ProbeTimeout)
	defer cancel()
	transport := newTransport(b.peer.settings)
	transport.DisableKeepAlives = true
	response, err := ask(ctx, transport, b.peer, b.peer.settings.ProbePath)
	if err == nil {
		_ = response.Body.Close()
	}
	b.dispatcher.observe(b.peer, &endpoint.Probed{IsAlive: err == nil})
}

// loadReader reads the load that an engine reports.
type loadReader struct {
	dispatcher *Dispatcher
	peer       *peer
}

// run reads one report. A failure says nothing about the endpoint's health: reports are hints.
func (l *loadReader) run() {
	ctx, cancel := context.WithTimeout(context.Background(), l.peer.settings.ProbeTimeout)
	defer cancel()
	var report struct {
		Running int
		Queued  int
	}
	response, err := ask(ctx, l.peer.transport(), l.peer, l.peer.settings.LoadPath)
	if err == nil {
		if response.StatusCode == http.StatusOK {
			err = json.NewDecoder(io.LimitReader(response.Body, loadReportBytes)).Decode(&report)
		} else {
			err = errFormat
		}
		_ = response.Body.Close()
	}
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	load := &l.peer.load
	load.asking = false
	if err == nil {
		load.reported, load.own, load.at = report.Running+report.Queued, load.ownBefore, time.Now()
		if report.Queued == 0 {
			l.peer.limit.Raise(l.peer.inFlight)
		}
		d.wakeLocked(d.serviceLocked(l.peer.service))
	}
	load.ownBefore = l.peer.inFlight
}

// ask gets a path of an endpoint.
func ask(ctx context.Context, transport *http.Transport, p *peer, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+path, nil)
	if err != nil {
		return nil, err
	}
	return transport.RoundTrip(request)
}

// tick probes the ejected endpoints whose time has come and asks engines that get work for their load.
func (d *Dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	for _, p := range d.peers {
		d.probeIfDueLocked(now, p)
		load := &p.load
		due := load.used && !load.asking && now.Sub(load.askedAt) >= d.settings.LoadInterval
		if due && p.kind == operator.EngineEndpoint && p.health.Available() {
			load.used, load.asking, load.askedAt = p.inFlight > 0, true, now
			l := &loadReader{dispatcher: d, peer: p}
			go l.run()
		}
	}
	// Reports make room that no answer tells of.
	for _, s := range d.services {
		d.wakeLocked(s)
	}
}

func (d *Dispatcher) probeIfDueLocked(now time.Time, p *peer) {
	if p.health.StartDueProbe(now) {
		d.probeLocked(p)
	}
}

func (d *Dispatcher) probeLocked(p *peer) {
	b := &probe{dispatcher: d, peer: p}
	go b.run()
}
