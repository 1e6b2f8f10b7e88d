package ledgerstream

import (
	"github.com/rcrowley/go-metrics"
)

// Names of the counters and gauges.
const (
	appendEntries     = "ledger.append.entries"
	appendGroups      = "ledger.append.groups"
	appendRecords     = "ledger.append.records"
	appendBytes       = "ledger.append.bytes"
	appendFailed      = "ledger.append.failed"
	appendRepeated    = "ledger.append.repeated"
	readEntries       = "ledger.read.entries"
	readFailed        = "ledger.read.failed"
	readTruncated     = "ledger.read.truncated"
	joinSent          = "ledger.join.sent"
	joinRefused       = "ledger.join.refused"
	leaseFenced       = "ledger.lease.fenced"
	fenceSent         = "ledger.fence.sent"
	fenceRefused      = "ledger.fence.refused"
	drawSent          = "ledger.draw.sent"
	drawRefused       = "ledger.draw.refused"
	recallSeen        = "ledger.recall.seen"
	returnSent        = "ledger.return.sent"
	prepaidSent       = "ledger.prepaid.sent"
	prepaidRefused    = "ledger.prepaid.refused"
	openAccepted      = "ledger.open.accepted"
	openRefused       = "ledger.open.refused"
	openWithdrawn     = "ledger.open.withdrawn"
	openAbandoned     = "ledger.open.abandoned"
	closeRefused      = "ledger.close.refused"
	releaseUnknown    = "ledger.release.unknown"
	dispatchRefused   = "ledger.dispatch.refused"
	reserveRefusedFor = "ledger.reserve.refused."
	snapshotWritten   = "ledger.snapshot.written"
	snapshotFailed    = "ledger.snapshot.failed"
	snapshotLoaded    = "ledger.snapshot.loaded"
	snapshotMalformed = "ledger.snapshot.malformed"
	copyHandedOver    = "ledger.copy.handed_over"
	copyHeld          = "ledger.copy.held"
	copyRefused       = "ledger.copy.refused"
	copyAppended      = "ledger.copy.appended"
	crashSent         = "ledger.crash.sent"
	crashSeen         = "ledger.crash.seen"
	reservePaid       = "ledger.reserve_share.paid"
	outboxLength      = "ledger.outbox.length"
	logReachable      = "ledger.log.reachable"
)

// Description is the name of a counter or gauge and an explanation of its value.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns all counters and gauges of this package.
func Counters() []Description {
	return []Description{
		{appendEntries, "entries that the log acknowledged; each carries one or more groups"},
		{appendGroups, "groups of records that the log acknowledged"},
		{appendRecords, "records in acknowledged groups"},
		{appendBytes, "bytes of acknowledged groups"},
		{appendFailed, "appends whose outcome is unknown: an error or a timeout"},
		{appendRepeated, "groups that were appended again"},
		{readEntries, "entries read from the log"},
		{readFailed, "reads that failed"},
		{readTruncated, "reads below the offsets that the log still keeps; the router isn't ready"},
		{joinSent, "incarnations that this process announced"},
		{joinRefused, "incarnations whose number was too low"},
		{leaseFenced, "times that this router's lease was ended by another router"},
		{fenceSent, "fences that this router appended against silent incarnations"},
		{fenceRefused, "fences that came after a sign of life or after another fence"},
		{drawSent, "draws that this router appended"},
		{drawRefused, "draws of this router that the budget could not grant"},
		{recallSeen, "refused draws of other routers, which call this router's free shares home"},
		{returnSent, "returns that this router appended"},
		{prepaidSent, "prepaid totals that this router copied into the ledger"},
		{prepaidRefused, "prepaid totals below what is spent and held in shares"},
		{openAccepted, "reservations that were accepted"},
		{openRefused, "reservations that the ledger refused"},
		{openWithdrawn, "reservations that were withdrawn before they left the process"},
		{openAbandoned, "reservations given up after they may have left the process"},
		{closeRefused, "bills and releases of reservations that the ledger refused after their acknowledgement"},
		{releaseUnknown, "releases that were not read back in time"},
		{dispatchRefused, "dispatches refused because the lease had lapsed"},
		{reserveRefusedFor + "REASON", "requests refused by Reserve, by the reason that the caller sees"},
		{snapshotWritten, "snapshots that this router wrote"},
		{snapshotFailed, "snapshots that could not be encoded or appended whole"},
		{snapshotLoaded, "times that this router continued from a snapshot"},
		{snapshotMalformed, "chunks of snapshots that are malformed or complete one with a wrong digest"},
		{copyHandedOver, "copies of this router's groups that other routers hold"},
		{copyHeld, "groups of other routers that this router held on their way to the log"},
		{copyRefused, "groups of other routers refused because too many are held"},
		{copyAppended, "groups of other routers that this router appended"},
		{crashSent, "crashes of endpoints that this router reported to the others"},
		{crashSeen, "crashes of endpoints that other routers reported"},
		{reservePaid, "requests paid from a reserve share because the log did not answer"},
		{outboxLength, "gauge: records that were not yet read back"},
		{logReachable, "gauge: 1 if the log answers, 0 if not"},
	}
}

// count adds n to a counter.
func (c *Client) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, c.counters).Inc(n)
}

// gauge sets the value of a gauge.
func (c *Client) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, c.counters).Update(value)
}
