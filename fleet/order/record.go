// Package order decides which router sends orders to an endpoint, and which orders.
//
// The fold is a pure function of the records of the orders stream in log order. The decisions are pure functions of
// that fold, the state that the operators' change tickets set, and the state that an endpoint reports.
package order

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -io=false -tests=false -file record.go -o record_gen.go
//msgp:replace platform.Offset with:uint64
//msgp:replace Outcome with:uint8
//msgp:tuple Artifact Claim Renew Yield Fence Report Order Done
//msgp:ignore Entry

// Artifact is a version of a model, or of an adapter to a model, that an endpoint loads from the weight store.
type Artifact struct {
	Model string
	// Adapter is the adapter's name, or empty for the model itself.
	Adapter string
	Version string
}

// Entry is one record with its writer, as it is appended to the orders stream.
type Entry struct {
	Writer ledger.Incarnation
	// Sequence increases with each record of the writer, so that readers recognize duplicates of an entry.
	Sequence uint64
	Record   Record
}

// Record is the content of an entry of the orders stream: a Claim, Renew, Yield, Fence, Report, Order or Done.
type Record interface{ isRecord() }

// Claim requests the exclusive right to send orders to an endpoint. It is granted if no orderer holds the endpoint's
// claim. The record's offset identifies the claim.
type Claim struct {
	Endpoint string
}

// Renew renews the lease of an orderer that has no other record to write.
type Renew struct{}

// Yield ends a claim at its holder's request. It is refused while an order of the claim is unfinished.
type Yield struct {
	Endpoint string
	Claim    platform.Offset
}

// Fence ends all claims of an unresponsive orderer. It is accepted only if LastSeen is the offset of the target's
// newest record.
type Fence struct {
	Target   ledger.Incarnation
	LastSeen platform.Offset
}

// Report contains the state that a claim holder read from an endpoint without an unfinished order.
type Report struct {
	Endpoint string
	Claim    platform.Offset
	Loaded   []Artifact
	Role     string
}

// Order requests a new state of an endpoint. The record's offset is the fencing number of the order.
type Order struct {
	Endpoint string
	Claim    platform.Offset
	// Loaded lists the artifacts that the endpoint reported before the order.
	Loaded []Artifact
	Wanted []Artifact
	Role   string
	// Retired lists models that no endpoint needs to serve any more, so that their last copy may be dropped.
	Retired []string
	// LoadLimit is the maximum number of endpoints that may load at the same time; zero means no limit.
	LoadLimit uint64
}

// Outcome is the result of an order.
type Outcome uint8

const (
	// Applied means that the endpoint accepted the order and then reported the state that the order wants.
	Applied Outcome = iota
	// Failed means that the endpoint rejected the order, or then reported a state other than the one that the order
	// wants.
	Failed
	// Unreachable means that the endpoint did not report its state in time, or that the holder of a later claim closed
	// the order without a reading because it had to yield that claim. The order may still take effect, so no model
	// counts as served by that endpoint until this order or a later one is closed with a reported state.
	Unreachable
)

// Done closes an order with the state that the claim holder then read from the endpoint.
type Done struct {
	Endpoint string
	Claim    platform.Offset
	Order    platform.Offset
	Outcome  Outcome
	Loaded   []Artifact
	Role     string
}

func (*Claim) isRecord()  {}
func (*Renew) isRecord()  {}
func (*Yield) isRecord()  {}
func (*Fence) isRecord()  {}
func (*Report) isRecord() {}
func (*Order) isRecord()  {}
func (*Done) isRecord()   {}
