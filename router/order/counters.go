package order

import "github.com/dragonflyworks/dragonflyworks/fleet/order"

// Metric names of the counters.
const (
	readFailed          = "orders.read.failed"
	streamTruncated     = "orders.read.truncated"
	snapshotWritten     = "orders.snapshot.written"
	snapshotFailed      = "orders.snapshot.failed"
	snapshotMissing     = "orders.snapshot.missing"
	snapshotMalformed   = "orders.snapshot.malformed"
	appendFailed        = "orders.append.failed"
	recordTooLarge      = "orders.record.too_large"
	recordResent        = "orders.record.resent"
	recordAccepted      = "orders.record.accepted"
	recordRefusedPrefix = "orders.record.refused."
	fenceWritten        = "orders.fence.written"
	stateFailed         = "orders.state.failed"
	orderSent           = "orders.order.sent"
	orderSentAgain      = "orders.order.sent_again"
	orderRefused        = "orders.order.refused"
	orderLost           = "orders.order.lost"
	orderApplied        = "orders.order.applied"
	orderFailed         = "orders.order.failed"
	orderUnreachable    = "orders.order.unreachable"
)

// Description is the name of a counter and the meaning that the documentation gives for it.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns every counter of this package in the order in which the documentation lists them.
func Counters() []Description {
	return []Description{
		{readFailed, "Reads of the orders stream that failed; nothing is ordered meanwhile."},
		{streamTruncated, "Reads below the entries of the orders stream that the log still keeps."},
		{snapshotWritten, "Snapshots of the orders stream that this router wrote."},
		{snapshotFailed, "Snapshots of the orders stream that were too large or could not be appended."},
		{snapshotMissing, "Times that no snapshot covered what the log had dropped; this router orders nothing."},
		{snapshotMalformed, "Snapshots of the orders stream that are malformed or have a wrong digest."},
		{appendFailed, "Appends to the orders stream that failed or had no answer."},
		{recordTooLarge, "Records that were too large for the stream."},
		{recordResent, "Records appended again because they were not read back."},
		{recordAccepted, "Records of this router that were read back and accepted."},
		{recordRefusedPrefix + string(order.Copied), "Records whose first copy was skipped by a snapshot."},
		{recordRefusedPrefix + string(order.Held), "Claims of an endpoint that another router holds."},
		{recordRefusedPrefix + string(order.NotHolder), "Records under a claim that had ended, and fences of orderers without claims."},
		{recordRefusedPrefix + string(order.Heard), "Fences of orderers that had written meanwhile."},
		{recordRefusedPrefix + string(order.Unfinished), "Records that an unfinished order stands against."},
		{recordRefusedPrefix + string(order.NoOrder), "Ends of orders that were not unfinished."},
		{recordRefusedPrefix + string(order.LastLoaded), "Orders that would leave a model without an endpoint that serves it."},
		{recordRefusedPrefix + string(order.LoadLimit), "Orders that would load while enough endpoints do."},
		{fenceWritten, "Fences of silent orderers that this router wrote."},
		{stateFailed, "Questions for an engine's state without a usable answer."},
		{orderSent, "Orders sent to engines, each sending of one counted."},
		{orderSentAgain, "Orders sent again because the engine's state showed that they were not taken."},
		{orderRefused, "Orders that the engine refused."},
		{orderLost, "Orders without an answer; the engine's state is read next."},
		{orderApplied, "Orders after which the engine reported the wanted state."},
		{orderFailed, "Orders after which the engine reported another state; the next one waits longer each time."},
		{orderUnreachable, "Orders given up because the engine did not report its state."},
	}
}

func outcomeCounter(outcome order.Outcome) string {
	switch outcome {
	case order.Applied:
		return orderApplied
	case order.Failed:
		return orderFailed
	default:
		return orderUnreachable
	}
}
