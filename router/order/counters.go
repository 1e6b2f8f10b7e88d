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
		{readFailed, "Reads of the orders stream that failed; this router sends no orders until a read succeeds."},
		{streamTruncated, "Reads of the orders stream at offsets that the log no longer keeps."},
		{snapshotWritten, "Snapshots of the orders stream that this router wrote."},
		{snapshotFailed, "Snapshots of the orders stream that were too large or could not be appended."},
		{snapshotMissing, "Failed searches for a snapshot that covers the entries dropped from the log; this router sends no orders until it has one."},
		{snapshotMalformed, "Snapshots of the orders stream that are malformed or have a wrong digest; they are ignored."},
		{appendFailed, "Appends to the orders stream that failed or were not answered."},
		{recordTooLarge, "Records that were too large for the orders stream."},
		{recordResent, "Records appended again because they were not read back in time."},
		{recordAccepted, "Records of this router that were read back from the log and accepted."},
		{recordRefusedPrefix + string(order.Copied), "Records refused because the state already contained them, for example after loading a snapshot."},
		{recordRefusedPrefix + string(order.Held), "Claims refused because another router already held the endpoint's claim."},
		{recordRefusedPrefix + string(order.NotHolder), "Records refused because their claim had ended, and fences refused because the target held no claim."},
		{recordRefusedPrefix + string(order.Heard), "Fences refused because the target had written a record since."},
		{recordRefusedPrefix + string(order.Unfinished), "Records refused because the endpoint had an unfinished order."},
		{recordRefusedPrefix + string(order.NoOrder), "Completions refused because the endpoint had no such unfinished order."},
		{recordRefusedPrefix + string(order.LastLoaded), "Orders refused because they would leave a model without an endpoint that serves it."},
		{recordRefusedPrefix + string(order.LoadLimit), "Orders refused because the maximum number of endpoints was already loading."},
		{fenceWritten, "Fences against unresponsive orderers that this router wrote."},
		{stateFailed, "Queries for an engine's state without a usable answer."},
		{orderSent, "Orders sent to engines; every transmission of an order counts."},
		{orderSentAgain, "Orders sent again because the engine's state showed that it had not accepted them."},
		{orderRefused, "Orders refused by the engine."},
		{orderLost, "Orders that were not answered; the engine's state is queried next."},
		{orderApplied, "Orders after which the engine reported the wanted state."},
		{orderFailed, "Orders after which the engine reported another state; the delay before the next order grows each time."},
		{orderUnreachable, "Orders abandoned because the engine did not report its state."},
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
