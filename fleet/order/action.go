package order

import "github.com/dragonflyworks/dragonflyworks/fleet/platform"

// Action is the next step that Next decides for an endpoint: an Append, a Send, a Read or a Wait.
type Action interface{ isAction() }

// Append requests that the orderer append a record to the orders stream.
type Append struct {
	Record Record
}

// Send requests that the orderer send an order to the endpoint. Next must be called again right before the order is
// sent, because the lease may have expired since.
type Send struct {
	// FencingNumber is the offset of the order on the orders stream.
	FencingNumber platform.Offset
	Order         Order
}

// Read requests that the orderer read the endpoint's state.
type Read struct{}

// Wait means that the orderer has nothing to do for the endpoint at the moment.
type Wait struct {
	Reason WaitReason
}

func (*Append) isAction() {}
func (*Send) isAction()   {}
func (*Read) isAction()   {}
func (*Wait) isAction()   {}

// WaitReason names the condition that an orderer waits for.
type WaitReason string

// Reasons for which an orderer waits.
const (
	// Reached means that the endpoint has its target state, or that its Target is not Declared and the endpoint needs
	// no claim.
	Reached WaitReason = "Reached"
	// NotPreferred means that another router is preferred for the endpoint and should claim it.
	NotPreferred WaitReason = "NotPreferred"
	// OtherOrderer means that another orderer holds the endpoint's claim.
	OtherOrderer WaitReason = "OtherOrderer"
	// LeaseLapsed means that the orderer's own lease has expired. The lease is valid again once a record of the
	// orderer is read back from the log.
	LeaseLapsed WaitReason = "LeaseLapsed"
	// FormerLease means that the endpoint does not check fencing numbers and that the lease of a former claim holder
	// may still be valid, so its orders may still arrive.
	FormerLease WaitReason = "FormerLease"
	// AnswerDue means that an order was sent and the endpoint's answer is pending.
	AnswerDue WaitReason = "AnswerDue"
	// AnswerLost means that no answer to an order arrived and that the order may still reach an endpoint that does not
	// check fencing numbers.
	AnswerLost WaitReason = "AnswerLost"
	// Busy means that the endpoint is executing an order.
	Busy WaitReason = "Busy"
	// LastEndpoint means that the order would drop a model that no other healthy endpoint serves.
	LastEndpoint WaitReason = "LastEndpoint"
	// LoadsInProgress means that as many endpoints are loading from the weight store as the load limit allows.
	LoadsInProgress WaitReason = "LoadsInProgress"
)
