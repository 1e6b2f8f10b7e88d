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
		{appendEntries, "log entries acknowledged by the log; each contains one or more groups"},
		{appendGroups, "groups of records acknowledged by the log"},
		{appendRecords, "records in acknowledged groups"},
		{appendBytes, "bytes of acknowledged groups"},
		{appendFailed, "appends with an unknown outcome, because of an error or a timeout"},
		{appendRepeated, "groups that were appended again"},
		{readEntries, "entries read from the log"},
		{readFailed, "reads of the log that failed"},
		{readTruncated, "reads at offsets that the log no longer keeps; the router is not ready"},
		{joinSent, "incarnations for which this process appended a join record"},
		{joinRefused, "incarnations of this router that the ledger refused, because their number was too low or another process had joined with it"},
		{leaseFenced, "fences by other routers that ended this router's lease"},
		{fenceSent, "fences that this router appended against unresponsive incarnations"},
		{fenceRefused, "fences of this router that the ledger refused, because the incarnation had written to the log since or had already been fenced"},
		{drawSent, "draws that this router appended"},
		{drawRefused, "draws of this router for a working share that the budget could not grant"},
		{recallSeen, "refused draws of other routers, upon which this router returns its free tokens of the budget"},
		{returnSent, "returns that this router appended"},
		{prepaidSent, "prepaid totals that this router copied into the ledger"},
		{prepaidRefused, "prepaid totals that the ledger refused because they were below the tokens spent and held in shares"},
		{openAccepted, "reservations that the ledger accepted"},
		{openRefused, "reservations that the ledger refused"},
		{openWithdrawn, "reservations withdrawn before they were sent to the log"},
		{openAbandoned, "reservations abandoned after they may have been sent to the log"},
		{closeRefused, "bills and releases of acknowledged reservations that the ledger then refused"},
		{releaseUnknown, "releases that were not read back from the log in time"},
		{dispatchRefused, "requests not sent to an endpoint because the lease had lapsed"},
		{reserveRefusedFor + "REASON", "requests for which no tokens were reserved, by the reason returned to the caller"},
		{snapshotWritten, "ledger snapshots that this router wrote"},
		{snapshotFailed, "ledger snapshots that could not be encoded or could not be appended completely"},
		{snapshotLoaded, "ledger snapshots that this router loaded to continue from"},
		{snapshotMalformed, "chunks of ledger snapshots that are malformed, or that complete a snapshot with a wrong digest"},
		{copyHandedOver, "copies of this router's groups that other routers accepted"},
		{copyHeld, "copies of groups that this router accepted from other routers, to append them to the log"},
		{copyRefused, "copies of groups that this router refused because its limit on held copies was reached"},
		{copyAppended, "groups of other routers that this router appended to the log"},
		{crashSent, "endpoint crashes that this router reported to other routers"},
		{crashSeen, "endpoint crashes reported by other routers"},
		{reservePaid, "requests paid from a reserve share because the log was unreachable or too slow"},
		{outboxLength, "gauge: records of this router not yet read back from the log"},
		{logReachable, "gauge: 1 if the log is reachable, 0 if not"},
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
