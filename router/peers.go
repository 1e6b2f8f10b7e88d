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

// peerService joins this router's node with what it serves: the ledger's client takes copies, the blackboard
// gives configuration. Without --peer-listen there is no node.
type peerService struct {
	settings *Settings
	board    *blackboard.Board
	node     *peer.Node
	// client is set once, when the ledger's client is built.
	client *ledgerstream.Client
}

func newPeers(settings *Settings, board *blackboard.Board, registry metrics.Registry) *peerService {
	p := &peerService{settings: settings, board: board}
	if settings.PeerListen != "" {
		p.node = peer.NewNode(settings.PeerListen, settings.credentials(), p, registry)
	}
	return p
}

// listen opens the socket for other routers.
func (p *peerService) listen(ctx context.Context) error {
	if p.node == nil {
		return nil
	}
	_, err := p.node.Listen(ctx)
	return err
}

// Run answers other routers until ctx ends.
func (p *peerService) Run(ctx context.Context) error {
	if p.node == nil {
		<-ctx.Done()
		return nil
	}
	return p.node.Run(ctx)
}

// AcceptCopy implements peer.Handler.
func (p *peerService) AcceptCopy(from string, c peer.Copy) error {
	if err := p.client.AcceptCopy(from, c); err != nil {
		return fmt.Errorf("copy of %s: %w", from, err)
	}
	return nil
}

// Configuration implements peer.Handler.
func (p *peerService) Configuration(next platform.Offset) []platform.Entry {
	return p.board.Entries.From(next)
}

// configurationPeerCount is how many routers are asked for configuration at a time.
const configurationPeerCount = 2

// NewestConfiguration implements controller.ConfigurationPeers. It asks a few random routers, so that a router
// behind the same cut is not asked each time.
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

// randomPeers returns a few of the routers that the ledger shows.
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
