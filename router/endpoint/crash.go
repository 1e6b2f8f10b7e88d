package endpoint

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Bounds of what waits to be reported: endpoints, and requests of one of them.
const (
	maxUnreportedEndpoints = 16
	maxUnreportedRequests  = 4 * ledger.MaxCrashRequests
)

// CrashLog carries crashes of endpoints between the routers.
type CrashLog interface {
	// ReportCrash tells the other routers of a crash. It returns false if it can't take the report now.
	ReportCrash(crash ledger.Crash) bool
	// WatchCrashes sets the function that gets the crashes that other routers report.
	WatchCrashes(watch func(reporter ledger.Incarnation, crash *ledger.Crash))
}

// crashReports are the requests in progress at crashes, by the endpoint's name.
type crashReports map[string][]ledger.Fingerprint

// add takes requests in and returns how many of them there was no room for.
func (r crashReports) add(name string, inProgress []ledger.Fingerprint) int {
	if _, ok := r[name]; !ok && len(r) >= maxUnreportedEndpoints {
		return len(inProgress)
	}
	accepted := min(len(inProgress), maxUnreportedRequests-len(r[name]))
	r[name] = append(r[name], inProgress[:accepted]...)
	return len(inProgress) - accepted
}

// handleCrashLocked holds the requests that were in progress at a crash under suspicion, here and, with the
// next tick, at the other routers.
func (d *Dispatcher) handleCrashLocked(now time.Time, p *peer) {
	inProgress := p.takeInterrupted()
	if len(inProgress) == 0 {
		return
	}
	d.recordCrashLocked(now, endpoint.Crash{Endpoint: p.name, InProgress: inProgress})
	if d.settings.Crashes == nil {
		return
	}
	if d.unreportedCrashes == nil {
		d.unreportedCrashes = make(crashReports)
	}
	for range d.unreportedCrashes.add(p.name, inProgress) {
		d.board.Count(crashReportDropped)
	}
}

// recordPeerCrash takes a crash in that another router has seen.
func (d *Dispatcher) recordPeerCrash(reporter ledger.Incarnation, crash *ledger.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordCrashLocked(time.Now(), endpoint.Crash{Endpoint: crash.Endpoint, Reporter: reporter, InProgress: crash.InProgress})
}

func (d *Dispatcher) recordCrashLocked(now time.Time, c endpoint.Crash) {
	for range d.quarantine.RecordCrash(now, c) {
		d.board.Count(requestQuarantined)
	}
}

// reportCrashes tells the other routers of the crashes since the last tick, a record for each endpoint. What the
// log of crashes does not take waits for the next tick.
func (d *Dispatcher) reportCrashes() {
	for _, c := range d.dequeueReports() {
		if !d.settings.Crashes.ReportCrash(c) {
			d.requeueReport(c)
		}
	}
}

// dequeueReports returns the reports that are due.
func (d *Dispatcher) dequeueReports() []ledger.Crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	var reports []ledger.Crash
	for name, inProgress := range d.unreportedCrashes {
		count := min(len(inProgress), ledger.MaxCrashRequests)
		reports = append(reports, ledger.Crash{Endpoint: name, InProgress: inProgress[:count:count]})
		if count < len(inProgress) {
			d.unreportedCrashes[name] = inProgress[count:]
		} else {
			delete(d.unreportedCrashes, name)
		}
	}
	return reports
}

// requeueReport keeps a report that was not taken for the next tick.
func (d *Dispatcher) requeueReport(c ledger.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for range d.unreportedCrashes.add(c.Endpoint, c.InProgress) {
		d.board.Count(crashReportDropped)
	}
}
