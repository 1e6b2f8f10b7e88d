package blackboard

import (
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Orders is how far the orders to an endpoint have come, as the orders stream shows it.
type Orders struct {
	Endpoint string
	// Holder gives the orders; zero if no router does.
	Holder ledger.Incarnation
	// FencingNumber is that of the unfinished order; nil if there is none.
	FencingNumber *platform.Offset
	Loaded        []order.Artifact
	Role          string
	// Serves are the models that stay loaded whatever becomes of the orders so far.
	Serves []string
	// Waits is what this router waits for; empty while it acts.
	Waits order.WaitReason
}
