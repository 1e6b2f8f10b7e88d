package order

import "github.com/dragonflyworks/dragonflyworks/fleet/platform"

// Action is what an orderer does next for an endpoint; the types below are all there are.
type Action interface{ isAction() }

// Append asks for a record on the orders stream.
type Append struct {
	Record Record
}

// Send asks for an order to be sent to the endpoint. The decision is taken again right before the send.
type Send struct {
	// FencingNumber is the order's offset.
	FencingNumber platform.Offset
	Order         Order
}

// Read asks for a new reading of the endpoint's state.
type Read struct{}

// Wait says that nothing is due.
type Wait struct {
	Reason WaitReason
}

func (*Append) isAction() {}
func (*Send) isAction()   {}
func (*Read) isAction()   {}
func (*Wait) isAction()   {}

// WaitReason says what an orderer waits for.
type WaitReason string

// The reasons to wait.
const (
	// Reached endpoints have the state that the tickets want, or none is wanted.
	Reached WaitReason = "Reached"
	// NotPreferred routers leave the claim to another one.
	NotPreferred WaitReason = "NotPreferred"
	// OtherOrderer holds the claim.
	OtherOrderer WaitReason = "OtherOrderer"
	// LeaseLapsed orderers wait until a record of theirs is read back.
	LeaseLapsed WaitReason = "LeaseLapsed"
	// FormerLease of an earlier orderer may still be in force at an endpoint that doesn't check fencing numbers.
	FormerLease WaitReason = "FormerLease"
	// AnswerDue orders are on their way.
	AnswerDue WaitReason = "AnswerDue"
	// AnswerLost orders may still arrive at an endpoint that doesn't check fencing numbers.
	AnswerLost WaitReason = "AnswerLost"
	// Busy endpoints carry out an order.
	Busy WaitReason = "Busy"
	// LastEndpoint of a model can't drop it.
	LastEndpoint WaitReason = "LastEndpoint"
	// LoadsInProgress reach the pace of the weight store.
	LoadsInProgress WaitReason = "LoadsInProgress"
)
