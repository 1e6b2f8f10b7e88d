package main

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// peerService handles the requests of other routers: the ledger client stores copies of ledger groups, and the blackboard
// provides entries of the configuration stream. Without --peer-listen its node is nil.
type peerService struct {
	settings *Settings
	board    *blackboard.Board
	node     *peer.Node
	// client is set by newLedgerClient, because the ledger client itself needs the node to be built first.
	client *ledgerstream.Client
}

func newPeerService(settings *Settings, board *blackboard.Board, registry metrics.Registry) *peerService {
	p := &peerService{settings: settings, board: board}
	if settings.PeerListen != "" {
		p.node = peer.NewNode(settings.PeerListen, settings.credentials(), p, registry)
	}
	return p
}

// listen opens the UDP socket for other routers. Without a node it does nothing.
func (p *peerService) listen(ctx context.Context) error {
	if p.node == nil {
		return nil
	}
	_, err := p.node.Listen(ctx)
	return err
}

// Run handles requests of other routers until ctx ends.
func (p *peerService) Run(ctx context.Context) error {
	if p.node == nil {
		<-ctx.Done()
		return nil
	}
	return p.node.Run(ctx)
}

// AcceptCopy implements peer.Handler: it passes a copy of a ledger group to the ledger client.
func (p *peerService) AcceptCopy(from string, c peer.Copy) error {
	if err := p.client.AcceptCopy(from, c); err != nil {
		return fmt.Errorf("copy of %s: %w", from, err)
	}
	return nil
}

// Configuration implements peer.Handler: it returns the recent entries of the configuration stream from an offset on.
func (p *peerService) Configuration(next platform.Offset) []platform.Entry {
	return p.board.Entries.From(next)
}

// configurationPeerCount is the maximum number of routers that NewestConfiguration asks.
const configurationPeerCount = 2

// NewestConfiguration implements controller.ConfigurationPeers: it asks other routers for entries of the configuration stream
// and returns the longest answer. Each call selects the routers anew at random, because a fixed selection could consist of
// routers that are cut off from the log by the same network partition as this one.
func (p *peerService) NewestConfiguration(ctx context.Context, next platform.Offset) []platform.Entry {
	if p.node == nil {
		return nil
	}
	newest := []platform.Entry{}
	for _, address := range p.randomPeers() {
		entries, err := p.node.FetchConfiguration(ctx, address, next)
		if err == nil && len(entries) > len(newest) {
			newest = entries
		}
	}
	return newest
}

// randomPeers returns the peer addresses of a random selection of up to configurationPeerCount other routers that have joined
// the ledger.
func (p *peerService) randomPeers() []peer.Address {
	var incarnations []ledger.IncarnationView
	p.client.View(func(s *ledger.State) { incarnations = s.Incarnations() })
	addresses := []peer.Address{}
	for _, v := range incarnations {
		if v.Incarnation.Instance != p.settings.Instance && v.Join.PeerAddress != "" {
			addresses = append(addresses, peer.Address{Instance: v.Incarnation.Instance, Address: v.Join.PeerAddress})
		}
	}
	//nolint:gosec // the choice needs no secrecy
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), configurationPeerCount)]
}
