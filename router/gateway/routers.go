package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/eventstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// RouterTopic is the keyed topic with the routers' entries, by instance name, and their crash records.
const RouterTopic = "keyed.routers"

const (
	// rosterWait is the long-poll time of a read of the routers' entries, rosterReadDelay the delay between two reads,
	// so that the entries of many routers that start together are read at once. A router whose new certificate the
	// others have not read yet can't lend or borrow.
	rosterWait      = 1500 * time.Millisecond
	rosterReadDelay = 200 * time.Millisecond
	// rosterTimeout bounds fetching the routers' entries from another router: a handshake between regions and an answer
	// of some KB.
	rosterTimeout = 300 * time.Millisecond
	// maxRosterPeers bounds the routers that are asked for the routers' entries after one failed read.
	maxRosterPeers = 2
	// recordWriteTimeout bounds the write of one of the router's own records.
	recordWriteTimeout = 1 * time.Second
)

// Routers keeps the roster of the site's routers and exchanges messages with them.
type Routers struct {
	Self   peer.Router
	Roster *peer.Roster
	Node   *peer.Node
	Log    platform.KeyedLog
	Logger log.Interface
	// Payer transfers and lends tokens, ApplyNotice applies placement notices of other routers, and MergeCrashes and MergeLimits merge
	// the records of crashes and rate limits that a router wrote. All are set before Run.
	Payer        *allowance.Holder
	ApplyNotice  func(peer.PlacementNotice)
	MergeCrashes func(router string, value []byte)
	MergeLimits  func(router string, value []byte)

	// Partitions is the number of partitions of StreamTopic; zero counts as one. All routers must use the same number.
	Partitions int
	// ServeExchange carries out an exchange for another router. It is set before Run.
	ServeExchange func(ctx context.Context, from string, x *peer.Exchange, out *peer.ExchangeWriter)

	// Streams keeps the versions of other routers' streams. It is set before Run.
	Streams *streamTracker

	// Numberings is what this router has observed of the numbers of events; nil for nothing. It is set before Run.
	Numberings *eventstream.Numberings

	lenders lenderCache
	// isCurrent reports whether the last read of the routers' entries succeeded.
	isCurrent atomic.Bool
	// hasRoster is true once the routers' entries have been read since the start of this process.
	hasRoster atomic.Bool
	// readAt is the start of the newest successful read of the routers' entries.
	readAt atomic.Pointer[time.Time]

	// lastUnresponsive is, by instance, when a placement notice last could not be sent. Only the goroutine that sends
	// notices uses it.
	lastUnresponsive map[string]time.Time
}

// NewRouters returns a Routers with an empty roster and a peer node for the connections to other routers.
//
// It creates the router's certificate and sets the fingerprint of self.
func NewRouters(self peer.Router, keyed platform.KeyedLog, logger log.Interface, counters metrics.Registry) (*Routers, error) {
	roster := &peer.Roster{}
	identity, err := peer.NewPinned(self.Instance, roster)
	if err != nil {
		return nil, fmt.Errorf("creating the router's identity: %w", err)
	}
	self.Fingerprint = identity.Fingerprint
	r := &Routers{Self: self, Roster: roster, Log: keyed, Logger: logger, lastUnresponsive: make(map[string]time.Time)}
	r.Node = peer.NewNode(self.Address, identity, r, counters)
	return r, nil
}

// AcceptCopy implements peer.Handler. It refuses every copy because this kind of router doesn't relay records.
func (r *Routers) AcceptCopy(string, peer.Copy) error { return peer.ErrRefused }

// Configuration implements peer.Handler. It returns no entries because this kind of router reads no stream of change
// tickets.
func (r *Routers) Configuration(platform.Offset) []platform.Entry { return nil }

// GrantTokens implements peer.TokenHandler.
func (r *Routers) GrantTokens(from, team string, wanted int64, cutOff bool) int64 {
	return r.Payer.TransferOut(from, team, wanted, cutOff)
}

// AcceptTokens implements peer.TokenHandler.
func (r *Routers) AcceptTokens(from, team string, tokens int64) bool {
	return r.Payer.AcceptTransfer(from, team, tokens)
}

// LendTokens implements peer.TokenHandler.
func (r *Routers) LendTokens(ctx context.Context, from string, request peer.LoanRequest) (peer.Loan, error) {
	return r.Payer.Lend(ctx, from, request)
}

// VoidLoan implements peer.TokenHandler.
func (r *Routers) VoidLoan(from, team string, identifier uint64) bool {
	return r.Payer.Void(from, team, identifier)
}

// AcceptRepayment implements peer.TokenHandler.
func (r *Routers) AcceptRepayment(from, team string, tokens int64) bool {
	return r.Payer.Repay(from, team, tokens)
}

// KeepVersions implements peer.StreamKeeper.
func (r *Routers) KeepVersions(list []peer.StreamVersion) { r.Streams.KeepVersions(list) }

// Version implements peer.StreamKeeper.
func (r *Routers) Version(stream uint64, service string) (peer.StreamVersion, bool) {
	return r.Streams.Version(stream, service)
}

// SendVersions implements streamPeers.
func (r *Routers) SendVersions(ctx context.Context, instance string, list []peer.StreamVersion) error {
	to, err := r.peerAddress(instance)
	if err != nil {
		return err
	}
	return r.Node.SendVersions(ctx, to, list)
}

// FetchVersion implements streamPeers.
func (r *Routers) FetchVersion(ctx context.Context, instance string, stream uint64, service string) (peer.StreamVersion, bool, error) {
	to, err := r.peerAddress(instance)
	if err != nil {
		return peer.StreamVersion{}, false, err
	}
	return r.Node.FetchVersion(ctx, to, stream, service)
}

// ShareHolders implements allowance.Lenders.
func (r *Routers) ShareHolders(team string) []string {
	return r.lenders.get(team, r.Self, r.Roster).holders
}

// FallbackLenders implements allowance.Lenders.
func (r *Routers) FallbackLenders(team string) []string {
	return r.lenders.get(team, r.Self, r.Roster).others
}

// peerAddress looks up the address of an instance in the roster.
func (r *Routers) peerAddress(instance string) (peer.Address, error) {
	listed, ok := r.Roster.Router(instance)
	if !ok {
		return peer.Address{}, fmt.Errorf("finding %s in the roster: %w", instance, peer.ErrUntrusted)
	}
	return peer.Address{Instance: instance, Address: listed.Address}, nil
}

// Borrow implements allowance.Lenders.
func (r *Routers) Borrow(ctx context.Context, instance string, request peer.LoanRequest) (peer.Loan, error) {
	to, err := r.peerAddress(instance)
	if err != nil {
		return peer.Loan{}, err
	}
	return r.Node.BorrowTokens(ctx, to, request)
}

// Void implements allowance.Lenders.
func (r *Routers) Void(ctx context.Context, instance, team string, identifier uint64) error {
	to, err := r.peerAddress(instance)
	if err != nil {
		return err
	}
	return r.Node.VoidLoan(ctx, to, team, identifier)
}

// Repay implements allowance.Lenders.
func (r *Routers) Repay(ctx context.Context, instance, team string, tokens int64) error {
	to, err := r.peerAddress(instance)
	if err != nil {
		return err
	}
	return r.Node.RepayTokens(ctx, to, team, tokens)
}

// Transfer implements allowance.Lenders.
func (r *Routers) Transfer(ctx context.Context, instance, team string, tokens int64) error {
	to, err := r.peerAddress(instance)
	if err != nil {
		return err
	}
	return r.Node.TransferTokens(ctx, to, team, tokens)
}

// RequestTransfer implements allowance.Lenders.
func (r *Routers) RequestTransfer(ctx context.Context, instance, team string, wanted int64, cutOff bool) (int64, error) {
	to, err := r.peerAddress(instance)
	if err != nil {
		return 0, err
	}
	return r.Node.RequestTokens(ctx, to, team, wanted, cutOff)
}

// Run writes the router's own entry and follows those of the others until the context ends.
func (r *Routers) Run(ctx context.Context) error {
	f := &follower{log: r.Log, topic: RouterTopic, longPollWait: rosterWait, retryTimeout: shortReadTimeout}
	var outages outageLog
	announced := false
	for ctx.Err() == nil {
		if !announced {
			announced = r.announce(ctx)
		}
		startedAt := time.Now()
		received, err := f.read(ctx)
		outages.update(r.Logger, "roster", err)
		r.isCurrent.Store(err == nil)
		if err == nil {
			r.applyRecords(received)
			r.hasRoster.Store(true)
			r.readAt.Store(&startedAt)
		} else {
			r.fetchRosterFromPeers(ctx)
		}
		delay := rosterReadDelay
		if err != nil || !announced {
			delay = retryDelay
		}
		clock.Sleep(ctx, delay)
	}
	return nil
}

// announce writes the router's own entry and reports whether no further attempt is needed: the entry was written or
// can't be encoded.
func (r *Routers) announce(ctx context.Context) bool {
	value, err := json.Marshal(r.Self)
	if err != nil {
		r.Logger.WithError(err).Error("cannot encode the router's entry")
		return true
	}
	return r.writeRecord(ctx, platform.KeyedRecord{Key: r.Self.Instance, Value: value}) == nil
}

// writeRecord writes one of the router's own records to RouterTopic.
func (r *Routers) writeRecord(ctx context.Context, record platform.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	_, err := r.Log.AppendAt(ctx, RouterTopic, 0, platform.AnyOffset, []platform.KeyedRecord{record})
	return err
}

// ListRouters implements peer.RouterLister.
func (r *Routers) ListRouters() ([]peer.Router, bool) { return r.Roster.Routers(), r.isCurrent.Load() }

// fetchRosterFromPeers fetches the routers' entries from another router while the platform is unreachable: without
// them, a router that was restarted in the meantime would not be trusted. The routers that are asked are trusted
// already, and could have written the entries themselves.
func (r *Routers) fetchRosterFromPeers(ctx context.Context) {
	others := slices.DeleteFunc(r.Roster.Routers(), func(other peer.Router) bool { return other.Instance == r.Self.Instance })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // spreads questions
	for _, other := range others[:min(maxRosterPeers, len(others))] {
		fetchContext, cancel := context.WithTimeout(ctx, rosterTimeout)
		routers, err := r.Node.FetchRouters(fetchContext, peer.Address{Instance: other.Instance, Address: other.Address})
		cancel()
		if err != nil {
			continue
		}
		before := r.Roster.ChangeCount()
		for _, listed := range routers {
			if listed.Instance != r.Self.Instance {
				r.Roster.Put(listed)
			}
		}
		if after := r.Roster.ChangeCount(); after != before {
			r.Logger.WithFields(log.Fields{fieldFrom: other.Instance, "Changes": after - before}).Info("roster fetched from another router")
		}
		return
	}
}

// applyRecords applies a batch of routers' entries to the roster and merges crash records. Entries that can't be
// decoded are skipped.
func (r *Routers) applyRecords(received batch) {
	for _, record := range received.records {
		if router, ok := strings.CutSuffix(record.Key, crashKeySuffix); ok {
			r.MergeCrashes(router, record.Value)
			continue
		}
		if router, ok := strings.CutSuffix(record.Key, limitKeySuffix); ok {
			r.MergeLimits(router, record.Value)
			continue
		}
		var listed peer.Router
		if err := json.Unmarshal(record.Value, &listed); err != nil || listed.Instance != record.Key {
			r.Logger.WithField("Instance", record.Key).Warn("cannot decode a router's entry")
			continue
		}
		r.Roster.Put(listed)
	}
}
