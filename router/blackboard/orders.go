package blackboard

import (
	"slices"

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
	// Reported is set once the stream showed what is loaded. Offers are the models and adapters that requests may
	// ask for there.
	Reported bool
	Offers   []string
	// Serves are the models that stay loaded whatever becomes of the orders so far.
	Serves []string
	// Waits is what this router waits for; empty while it acts.
	Waits order.WaitReason
}

// Equal reports whether two entries say the same.
func (o Orders) Equal(p Orders) bool {
	sameOrder := o.FencingNumber == p.FencingNumber
	if o.FencingNumber != nil && p.FencingNumber != nil {
		sameOrder = *o.FencingNumber == *p.FencingNumber
	}
	return sameOrder && o.Endpoint == p.Endpoint && o.Holder == p.Holder && o.Role == p.Role && o.Waits == p.Waits &&
		o.Reported == p.Reported && slices.Equal(o.Loaded, p.Loaded) &&
		slices.Equal(o.Serves, p.Serves) && slices.Equal(o.Offers, p.Offers)
}
