package endpoint

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Bounds of what waits to be reported: endpoints, and requests of one of them.
const (
	unreportedEndpoints = 16
	unreportedRequests  = 4 * ledger.MaxCrashRequests
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
	if _, ok := r[name]; !ok && len(r) >= unreportedEndpoints {
		return len(inProgress)
	}
	room := min(len(inProgress), unreportedRequests-len(r[name]))
	r[name] = append(r[name], inProgress[:room]...)
	return len(inProgress) - room
}

// countCrashLocked holds the requests that were in progress at a crash under suspicion, here and, with the
// next tick, at the other routers.
func (d *Dispatcher) countCrashLocked(now time.Time, p *peer) {
	inProgress := p.crash()
	if len(inProgress) == 0 {
		return
	}
	d.suspectLocked(now, endpoint.Crash{Endpoint: p.name, InProgress: inProgress})
	if d.settings.Crashes == nil {
		return
	}
	if d.unreported == nil {
		d.unreported = make(crashReports)
	}
	for range d.unreported.add(p.name, inProgress) {
		d.board.Count(quarantineLost)
	}
}

// takeCrash takes a crash in that another router has seen.
func (d *Dispatcher) takeCrash(reporter ledger.Incarnation, crash *ledger.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspectLocked(time.Now(), endpoint.Crash{Endpoint: crash.Endpoint, Reporter: reporter, InProgress: crash.InProgress})
}

func (d *Dispatcher) suspectLocked(now time.Time, c endpoint.Crash) {
	for range d.quarantine.RecordCrash(now, c) {
		d.board.Count(quarantineCaught)
	}
}

// reportCrashes tells the other routers of the crashes since the last tick, a record for each endpoint. What the
// log of crashes does not take waits for the next tick.
func (d *Dispatcher) reportCrashes() {
	for _, c := range d.takeUnreported() {
		if !d.settings.Crashes.ReportCrash(c) {
			d.returnUnreported(c)
		}
	}
}

// takeUnreported returns the reports that are due.
func (d *Dispatcher) takeUnreported() []ledger.Crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []ledger.Crash
	for name, inProgress := range d.unreported {
		first := min(len(inProgress), ledger.MaxCrashRequests)
		due = append(due, ledger.Crash{Endpoint: name, InProgress: inProgress[:first:first]})
		if first < len(inProgress) {
			d.unreported[name] = inProgress[first:]
		} else {
			delete(d.unreported, name)
		}
	}
	return due
}

// returnUnreported keeps a report that was not taken for the next tick.
func (d *Dispatcher) returnUnreported(c ledger.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for range d.unreported.add(c.Endpoint, c.InProgress) {
		d.board.Count(quarantineLost)
	}
}
