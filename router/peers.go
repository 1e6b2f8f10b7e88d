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

// peers joins this router's node with what it serves: the ledger's client takes copies, the blackboard
// gives configuration. Without --peer-listen there is no node.
type peers struct {
	settings *Settings
	board    *blackboard.Board
	node     *peer.Node
	// client is set once, when the ledger's client is built.
	client *ledgerstream.Client
}

func newPeers(settings *Settings, board *blackboard.Board, registry metrics.Registry) *peers {
	p := &peers{settings: settings, board: board}
	if settings.PeerListen != "" {
		p.node = peer.NewNode(settings.PeerListen, settings.credentials(), p, registry)
	}
	return p
}

// listen opens the socket for other routers.
func (p *peers) listen(ctx context.Context) error {
	if p.node == nil {
		return nil
	}
	_, err := p.node.Listen(ctx)
	return err
}

// Run answers other routers until ctx ends.
func (p *peers) Run(ctx context.Context) error {
	if p.node == nil {
		<-ctx.Done()
		return nil
	}
	return p.node.Run(ctx)
}

// AcceptCopy implements peer.Handler.
func (p *peers) AcceptCopy(from string, c peer.Copy) error {
	if err := p.client.AcceptCopy(from, c); err != nil {
		return fmt.Errorf("copy of %s: %w", from, err)
	}
	return nil
}

// Configuration implements peer.Handler.
func (p *peers) Configuration(next platform.Offset) []platform.Entry {
	return p.board.Entries.From(next)
}

// configurationPeers is how many routers are asked for configuration at a time.
const configurationPeers = 2

// NewestConfiguration implements controller.ConfigurationPeers. It asks a few random routers, so that a router
// behind the same cut is not asked each time.
func (p *peers) NewestConfiguration(ctx context.Context, next platform.Offset) []platform.Entry {
	if p.node == nil {
		return nil
	}
	newest := []platform.Entry{}
	for _, to := range p.others() {
		entries, err := p.node.FetchConfiguration(ctx, to, next)
		if err == nil && len(entries) > len(newest) {
			newest = entries
		}
	}
	return newest
}

// others returns a few of the routers that the ledger shows.
func (p *peers) others() []peer.Address {
	var incarnations []ledger.IncarnationView
	p.client.View(func(s *ledger.State) { incarnations = s.Incarnations() })
	list := []peer.Address{}
	for _, v := range incarnations {
		if v.Incarnation.Instance != p.settings.Instance && v.Join.PeerAddress != "" {
			list = append(list, peer.Address{Instance: v.Incarnation.Instance, Address: v.Join.PeerAddress})
		}
	}
	//nolint:gosec // the choice needs no secrecy
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), configurationPeers)]
}
