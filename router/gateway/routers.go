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
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// RouterTopic is the keyed topic that holds the routers' entries, by the names of their instances, and what they wrote of crashes.
const RouterTopic = "keyed.routers"

const (
	// rosterWait is how long a read of the routers' entries waits for a change, rosterPause lies between two reads, so that
	// many that start at once are read together. A router whose new certificate is not known can't lend or borrow.
	rosterWait  = 1500 * time.Millisecond
	rosterPause = 200 * time.Millisecond
	// rosterTimeout bounds a question for the entries that another router reads: a handshake between regions and an answer of
	// some KB.
	rosterTimeout = 300 * time.Millisecond
	// askedForRoster bounds the routers that are asked in a round.
	askedForRoster = 2
	// announceTimeout bounds the write of one of the router's own records.
	announceTimeout = 1 * time.Second
)

// Routers keeps the roster of the site's routers and speaks to them.
type Routers struct {
	Self   peer.Router
	Roster *peer.Roster
	Node   *peer.Node
	Log    platform.KeyedLog
	Logger log.Interface
	// Payer hands over tokens, Noted takes notes of other routers in, Crashed what a router wrote of crashes; all are set before
	// Run.
	Payer   *allowance.Holder
	Noted   func(peer.Note)
	Crashed func(router string, value []byte)

	holders holders
	// current says that the entries were read at the last try.
	current atomic.Bool
	// begun says that they were read since the start.
	begun atomic.Bool

	// unanswered is when a router last could not be told of a prompt. Only the goroutine that sends notes uses it.
	unanswered map[string]time.Time
}

// NewRouters returns the roster and this router's end of the connections to the others.
//
// The fingerprint of self is set here.
func NewRouters(self peer.Router, keyed platform.KeyedLog, logger log.Interface, counters metrics.Registry) (*Routers, error) {
	roster := &peer.Roster{}
	identity, err := peer.NewPinned(self.Instance, roster)
	if err != nil {
		return nil, fmt.Errorf("making the router's identity: %w", err)
	}
	self.Fingerprint = identity.Fingerprint
	r := &Routers{Self: self, Roster: roster, Log: keyed, Logger: logger, unanswered: make(map[string]time.Time)}
	r.Node = peer.NewNode(self.Address, identity, r, counters)
	return r, nil
}

// AcceptCopy implements peer.Handler: this router relays nothing.
func (r *Routers) AcceptCopy(string, peer.Copy) error { return peer.ErrRefused }

// Configuration implements peer.Handler: this router knows no stream of tickets.
func (r *Routers) Configuration(platform.Offset) []platform.Entry { return nil }

// GiveTokens implements peer.Giver.
func (r *Routers) GiveTokens(from, team string, wanted int64, cutOff bool) int64 {
	return r.Payer.Give(from, team, wanted, cutOff)
}

// TakeTokens implements peer.Giver.
func (r *Routers) TakeTokens(from, team string, tokens int64) bool {
	return r.Payer.Take(from, team, tokens)
}

// LendTokens implements peer.Giver.
func (r *Routers) LendTokens(ctx context.Context, from string, asked peer.LoanRequest) (peer.Loan, error) {
	return r.Payer.Lend(ctx, from, asked)
}

// VoidLoan implements peer.Giver.
func (r *Routers) VoidLoan(from, team string, identifier uint64) bool {
	return r.Payer.Void(from, team, identifier)
}

// RepayTokens implements peer.Giver.
func (r *Routers) RepayTokens(from, team string, tokens int64) bool {
	return r.Payer.Repay(from, team, tokens)
}

// Holders implements allowance.Lenders.
func (r *Routers) Holders(team string) []string {
	return r.holders.of(team, r.Self, r.Roster).before
}

// Others implements allowance.Lenders.
func (r *Routers) Others(team string) []string { return r.holders.of(team, r.Self, r.Roster).others }

// address returns where an instance is reached.
func (r *Routers) address(instance string) (peer.Address, error) {
	listed, ok := r.Roster.Router(instance)
	if !ok {
		return peer.Address{}, fmt.Errorf("finding %s: %w", instance, peer.ErrUntrusted)
	}
	return peer.Address{Instance: instance, Address: listed.Address}, nil
}

// Borrow implements allowance.Lenders.
func (r *Routers) Borrow(ctx context.Context, instance string, asked peer.LoanRequest) (peer.Loan, error) {
	to, err := r.address(instance)
	if err != nil {
		return peer.Loan{}, err
	}
	return r.Node.BorrowTokens(ctx, to, asked)
}

// Void implements allowance.Lenders.
func (r *Routers) Void(ctx context.Context, instance, team string, identifier uint64) error {
	to, err := r.address(instance)
	if err != nil {
		return err
	}
	return r.Node.VoidLoan(ctx, to, team, identifier)
}

// Repay implements allowance.Lenders.
func (r *Routers) Repay(ctx context.Context, instance, team string, tokens int64) error {
	to, err := r.address(instance)
	if err != nil {
		return err
	}
	return r.Node.RepayTokens(ctx, to, team, tokens)
}

// Hand implements allowance.Lenders.
func (r *Routers) Hand(ctx context.Context, instance, team string, tokens int64) error {
	to, err := r.address(instance)
	if err != nil {
		return err
	}
	return r.Node.GiveTokens(ctx, to, team, tokens)
}

// Ask implements allowance.Lenders.
func (r *Routers) Ask(ctx context.Context, instance, team string, wanted int64, cutOff bool) (int64, error) {
	to, err := r.address(instance)
	if err != nil {
		return 0, err
	}
	return r.Node.AskTokens(ctx, to, team, wanted, cutOff)
}

// Run announces the router and follows the others' entries until the context ends.
func (r *Routers) Run(ctx context.Context) error {
	f := &follower{log: r.Log, topic: RouterTopic, wait: rosterWait, again: entriesTimeout}
	var reach reachability
	announced := false
	for ctx.Err() == nil {
		if !announced {
			announced = r.announce(ctx)
		}
		read, err := f.read(ctx)
		reach.note(r.Logger, "roster", err)
		r.current.Store(err == nil)
		if err == nil {
			r.take(read)
			r.begun.Store(true)
		} else {
			r.askForRoster(ctx)
		}
		pause := rosterPause
		if err != nil || !announced {
			pause = failurePause
		}
		clock.Sleep(ctx, pause)
	}
	return nil
}

// announce writes the router's own entry and reports whether it surely stands.
func (r *Routers) announce(ctx context.Context) bool {
	value, err := json.Marshal(r.Self)
	if err != nil {
		r.Logger.WithError(err).Error("router's entry can't be written")
		return true
	}
	return r.write(ctx, platform.KeyedRecord{Key: r.Self.Instance, Value: value}) == nil
}

// write writes one of the router's own records.
func (r *Routers) write(ctx context.Context, record platform.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := r.Log.AppendAt(ctx, RouterTopic, 0, platform.AnyOffset, []platform.KeyedRecord{record})
	return err
}

// ListRouters implements peer.Lister.
func (r *Routers) ListRouters() ([]peer.Router, bool) { return r.Roster.All(), r.current.Load() }

// askForRoster takes the entries from another router while the platform can't be reached: without them a router that was
// started again meanwhile would not be trusted. Who is asked is trusted already, and might have written the entries.
func (r *Routers) askForRoster(ctx context.Context) {
	others := slices.DeleteFunc(r.Roster.All(), func(other peer.Router) bool { return other.Instance == r.Self.Instance })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // spreads questions
	for _, other := range others[:min(askedForRoster, len(others))] {
		one, cancel := context.WithTimeout(ctx, rosterTimeout)
		routers, err := r.Node.FetchRouters(one, peer.Address{Instance: other.Instance, Address: other.Address})
		cancel()
		if err != nil {
			continue
		}
		before := r.Roster.Changes()
		for _, listed := range routers {
			if listed.Instance != r.Self.Instance {
				r.Roster.Put(listed)
			}
		}
		if after := r.Roster.Changes(); after != before {
			r.Logger.WithFields(log.Fields{"From": other.Instance, "Changes": after - before}).Info("roster taken from another router")
		}
		return
	}
}

// take folds a batch into the roster. An entry that can't be read is left out.
func (r *Routers) take(read batch) {
	for _, record := range read.records {
		if router, ok := strings.CutSuffix(record.Key, crashSuffix); ok {
			r.Crashed(router, record.Value)
			continue
		}
		var listed peer.Router
		if err := json.Unmarshal(record.Value, &listed); err != nil || listed.Instance != record.Key {
			r.Logger.WithField("Instance", record.Key).Warn("router's entry can't be read")
			continue
		}
		r.Roster.Put(listed)
	}
}
