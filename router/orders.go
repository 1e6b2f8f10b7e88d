package main

import (
	"cmp"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	fleetorder "github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/controller"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
	"github.com/dragonflyworks/dragonflyworks/router/order"
)

func newOrderer(settings *Settings, board *blackboard.Board, platformLog platform.Log, client *ledgerstream.Client, dispatcher *endpoint.Dispatcher, logger log.Interface) *order.Orderer {
	return order.NewOrderer(board, platformLog, ledgerMembers{client}, dispatcher, order.NewHTTPEngineClient(), logger, order.Settings{
		Lease:       cmp.Or(settings.Lease, ledgerstream.DefaultLease),
		LeaseMargin: cmp.Or(settings.LeaseMargin, ledgerstream.DefaultLeaseMargin),

		SnapshotInterval: cmp.Or(settings.SnapshotInterval, controller.DefaultSnapshotInterval),
	})
}

// ledgerMembers implements order.Membership with the incarnations that have joined the ledger.
type ledgerMembers struct{ client *ledgerstream.Client }

// Self implements order.Membership: it returns this router's incarnation, and whether the ledger client is ready.
func (m ledgerMembers) Self() (ledger.Incarnation, bool) {
	status := m.client.Status()
	return status.Incarnation, status.Ready
}

// Routers implements order.Membership: it returns the routers whose incarnations are not suspended.
func (m ledgerMembers) Routers() []fleetorder.Router {
	incarnations := []ledger.IncarnationView{}
	m.client.View(func(s *ledger.State) { incarnations = s.Incarnations() })
	routers := []fleetorder.Router{}
	for _, v := range incarnations {
		if !v.Suspended {
			routers = append(routers, fleetorder.Router{Instance: v.Incarnation.Instance, Region: v.Join.Region})
		}
	}
	return routers
}
