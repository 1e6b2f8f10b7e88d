package endpoint

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Bounds of the crash reports that wait for the crash log: the number of endpoints, and of requests per endpoint.
const (
	maxUnreportedEndpoints = 16
	maxUnreportedRequests  = 4 * ledger.MaxCrashRequests
)

// CrashLog distributes reports of endpoint crashes among the routers.
type CrashLog interface {
	// ReportCrash reports a crash to the other routers. It returns false if the log can't accept the report now.
	ReportCrash(crash ledger.Crash) bool
	// SetCrashHandler registers the function that is called with each crash that another router reports.
	SetCrashHandler(handle func(reporter ledger.Incarnation, crash *ledger.Crash))
}

// crashReports holds the requests that were in progress at crashes, by the name of the crashed endpoint.
type crashReports map[string][]ledger.Fingerprint

// add adds requests and returns how many did not fit within the bounds.
func (r crashReports) add(name string, inProgress []ledger.Fingerprint) int {
	if _, ok := r[name]; !ok && len(r) >= maxUnreportedEndpoints {
		return len(inProgress)
	}
	accepted := min(len(inProgress), maxUnreportedRequests-len(r[name]))
	r[name] = append(r[name], inProgress[:accepted]...)
	return len(inProgress) - accepted
}

// handleCrashLocked makes the requests that were in progress at a crash suspects at this router, and queues a report,
// which the next tick sends to the other routers.
func (d *Dispatcher) handleCrashLocked(now time.Time, p *peer) {
	inProgress := p.takeInterrupted()
	if len(inProgress) == 0 {
		return
	}
	inProgress = d.quarantine.SuspectsFirst(now, inProgress)
	d.recordCrashLocked(now, endpoint.Crash{Endpoint: p.name, InProgress: inProgress})
	if d.settings.CrashLog == nil {
		return
	}
	if d.unreportedCrashes == nil {
		d.unreportedCrashes = make(crashReports)
	}
	for range d.unreportedCrashes.add(p.name, inProgress) {
		d.board.Count(crashReportDropped)
	}
}

// recordPeerCrash records a crash that another router has reported.
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

// reportCrashes reports the crashes since the last tick to the other routers, in one record per endpoint. Reports
// that the crash log does not accept stay queued for the next tick.
func (d *Dispatcher) reportCrashes() {
	for _, c := range d.dequeueReports() {
		if !d.settings.CrashLog.ReportCrash(c) {
			d.requeueReport(c)
		}
	}
}

// dequeueReports removes and returns the next crash report of each endpoint, with at most ledger.MaxCrashRequests
// requests.
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

// requeueReport puts a report that the crash log did not accept back into the queue.
func (d *Dispatcher) requeueReport(c ledger.Crash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for range d.unreportedCrashes.add(c.Endpoint, c.InProgress) {
		d.board.Count(crashReportDropped)
	}
}
