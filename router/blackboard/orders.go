package blackboard

import (
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// OrderStatus is the status of the orders to one endpoint according to the orders stream.
type OrderStatus struct {
	Endpoint string
	// Holder is the router that holds the claim to the endpoint and gives its orders; zero if there is no claim.
	Holder ledger.Incarnation
	// FencingNumber is the fencing number of the unfinished order; nil if no order is unfinished.
	FencingNumber *platform.Offset
	// Loaded and Role are the loaded artifacts and the role of the endpoint as last recorded on the orders stream.
	Loaded []order.Artifact
	Role   string
	// Reported is true if the orders stream shows what the endpoint has loaded. An order that was abandoned because the engine
	// did not report its state resets it. Offers lists the models and adapters that requests to the endpoint may ask for; it
	// is meaningless unless Reported is true.
	Reported bool
	Offers   []string
	// Serves lists the models that stay loaded whatever the outcome of the orders so far.
	Serves []string
	// Waits is the reason why this router performs no action on the endpoint; empty while the router performs one.
	Waits order.WaitReason
}

// Equal reports whether o and p have the same contents.
func (o OrderStatus) Equal(p OrderStatus) bool {
	sameOrder := o.FencingNumber == p.FencingNumber
	if o.FencingNumber != nil && p.FencingNumber != nil {
		sameOrder = *o.FencingNumber == *p.FencingNumber
	}
	return sameOrder && o.Endpoint == p.Endpoint && o.Holder == p.Holder && o.Role == p.Role && o.Waits == p.Waits &&
		o.Reported == p.Reported && slices.Equal(o.Loaded, p.Loaded) &&
		slices.Equal(o.Serves, p.Serves) && slices.Equal(o.Offers, p.Offers)
}
