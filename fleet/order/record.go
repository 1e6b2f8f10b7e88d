// Package order decides who gives orders to the endpoints, and which.
//
// Its fold is a pure function of the records of the orders stream in log order. Its decisions are pure
// functions of that fold, the operators' wanted state and what an endpoint reports.
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

// Artifact is what an endpoint loads from the weight store: a version of a model or of an adapter to it.
type Artifact struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
	Version string
}

// Entry is the unit of an append: one record with its writer.
type Entry struct {
	Writer ledger.Incarnation
	// Sequence grows from one record of the writer to the next, so that copies can be told.
	Sequence uint64
	Record   Record
}

// Record is one fact of the orders stream; the types below are all there are.
type Record interface{ isRecord() }

// Claim asks for the right to give orders to an endpoint. It is granted if no orderer holds it; its offset
// identifies the claim.
type Claim struct {
	Endpoint string
}

// Renew renews the lease of an orderer that has nothing else to write.
type Renew struct{}

// Yield ends a claim by its holder's own word. It is refused while an order of the claim is unfinished.
type Yield struct {
	Endpoint string
	Claim    platform.Offset
}

// Fence ends all claims of an orderer that was silent. It is accepted only if LastSeen is the offset of
// the target's newest record.
type Fence struct {
	Target   ledger.Incarnation
	LastSeen platform.Offset
}

// Report tells what the holder of a claim read from an endpoint that carries out no order.
type Report struct {
	Endpoint string
	Claim    platform.Offset
	Loaded   []Artifact
	Role     string
}

// Order asks an endpoint for a new state. Its offset is the fencing number.
type Order struct {
	Endpoint string
	Claim    platform.Offset
	// Loaded is what the endpoint reported before the order.
	Loaded []Artifact
	Wanted []Artifact
	Role   string
	// Retired are models that no endpoint is to serve any more; the last one loaded may be dropped.
	Retired []string
	// LoadLimit is the number of endpoints that may load at the same time; zero for no limit.
	LoadLimit uint64
}

// Outcome is the end of an order.
type Outcome uint8

const (
	// Applied orders were taken by the endpoint, which then reported the state that was wanted.
	Applied Outcome = iota
	// Failed orders were taken by the endpoint, which then reported another state.
	Failed
	// Unreachable endpoints did not report for long. The order may still take effect, so nothing is relied on
	// at that endpoint until a later order is done.
	Unreachable
)

// Done closes an order with the state that was read back from the endpoint.
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
