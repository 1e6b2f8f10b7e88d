package ledgerstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	apex "github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Client represents one router in one ledger partition. It owns the router's incarnation, with the records that the
// incarnation appends, its shares of the budgets and its lease.
type Client struct {
	log      platform.Log
	stream   string
	settings Settings
	counters metrics.Registry
	// appendSignal and readSignal wake the append and the read loop when there may be something to append or to
	// read.
	appendSignal chan struct{}
	readSignal   chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	state  ledger.State
	// current is the outbox of the current incarnation; nil before the first Join is queued.
	current *outbox
	// former holds the outboxes of ended incarnations that still have records or open reservations.
	former   []*outbox
	accounts map[string]*account
	// accountsWithWaiting holds the accounts in which requests wait for a share, by budget.
	accountsWithWaiting map[string]*account
	attempts            uint64
	prepaid             map[string]prepaidCopy
	// refusedTickets holds, for each budget, the highest ticket whose prepaid total the ledger refused.
	refusedTickets map[string]uint64
	// reserves holds the budgets whose policy sets a reserve share. reserveQueue holds those whose reserve share is
	// to be checked because it may be incomplete.
	reserves         map[string]*reserveCheck
	reserveQueue     []*reserveCheck
	memberActivities map[ledger.Incarnation]*memberActivity

	// copySenders send this router's groups to other routers. heldCopies are the groups held for other routers, and
	// heldCopyBytes is their total size.
	copySenders []*copySender
	// avoidedUntil holds the instances that failed to accept a copy, with the time until which no copy is sent to
	// them.
	avoidedUntil  map[string]time.Time
	heldCopies    []*heldCopy
	heldCopyBytes int

	readContinuity decision.ReadContinuity
	// caughtUp is true once the stream was read to its end, and becomes false again when a snapshot is loaded. truncated
	// is true once the log no longer has the next offset to read, until a newer snapshot is loaded.
	caughtUp  bool
	truncated bool
	draining  bool
	// readsStarted is the number of reads started so far, and lastCompleteRead the number of the newest read that
	// reached the stream's end.
	readsStarted     uint64
	lastCompleteRead uint64
	readFailures     int
	appendFailures   int
	// lastFailureAt is the time of the newest failed call of the log.
	lastFailureAt time.Time
	reachable     bool
	// unreachableSignal is closed while the log is considered unreachable.
	unreachableSignal chan struct{}
	reachableSince    time.Time
	routers           int
	roundTrip         time.Duration

	configurationNext   platform.Offset
	configurationNumber uint64

	// onRemoteCrash receives the crashes that other incarnations report. crashLimiter limits this router's own
	// reports.
	onRemoteCrash func(ledger.Incarnation, *ledger.Crash)
	crashLimiter  *rate.Limiter
}

// Status is the state of a client as shown to operators.
type Status struct {
	Incarnation ledger.Incarnation
	Ready       bool
	Reachable   bool
	Truncated   bool
	Draining    bool
	// Next is the next offset to be read.
	Next platform.Offset
	// LeaseLeft is the time for which requests may still be dispatched; negative after the lease has lapsed.
	LeaseLeft time.Duration
	// Outbox is the number of records that have not been read back.
	Outbox int
	// Attempts is the number of open reservations of the current incarnation.
	Attempts int
	// Routers is the number of live incarnations.
	Routers int
	// Copies is the number of groups held for other routers.
	Copies int
	// RoundTrip is the moving average of the time from sealing a group to reading it back.
	RoundTrip time.Duration
}

// NewClient returns a client of one partition's stream. It does nothing until Run is called.
func NewClient(log platform.Log, s Settings, counters metrics.Registry) *Client {
	s = s.withDefaults()
	seed := s.Seed
	if seed == 0 {
		seed = rand.Uint64() //nolint:gosec // jitter needs no secrecy
	}
	c := &Client{
		log:                 log,
		stream:              platform.LedgerStream(s.Partition),
		settings:            s,
		counters:            counters,
		appendSignal:        make(chan struct{}, 1),
		readSignal:          make(chan struct{}, 1),
		random:              rand.New(rand.NewPCG(seed, uint64(s.Partition))), //nolint:gosec // jitter needs no secrecy
		accounts:            map[string]*account{},
		accountsWithWaiting: map[string]*account{},
		avoidedUntil:        map[string]time.Time{},
		prepaid:             map[string]prepaidCopy{},
		refusedTickets:      map[string]uint64{},
		reserves:            map[string]*reserveCheck{},
		memberActivities:    map[ledger.Incarnation]*memberActivity{},
		readContinuity:      decision.ReadContinuity{GapLimit: s.gapLimit()},
		reachable:           true,
		unreachableSignal:   make(chan struct{}),
		routers:             1,
		crashLimiter:        rate.NewLimiter(fleetCrashesPerSecond, 1),
	}
	for rank := range copiesPerGroup {
		c.copySenders = append(c.copySenders, &copySender{client: c, rank: rank})
	}
	return c
}

// Run runs the client's loops until ctx ends, and returns after all of them have stopped.
func (c *Client) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { c.loopRead(ctx) })
	loops.Go(func() { c.loopAppend(ctx) })
	loops.Go(func() { c.loopTick(ctx) })
	loops.Go(func() { c.loopSnapshot(ctx) })
	if c.settings.Relay != nil {
		for _, r := range c.copySenders {
			loops.Go(func() { r.loop(ctx) })
		}
	}
	loops.Wait()
	return context.Cause(ctx)
}

// SetConfigurationPosition sets the position in the configuration that heartbeats report.
func (c *Client) SetConfigurationPosition(next platform.Offset, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configurationNext = next
	c.configurationNumber = number
}

// Ready reports whether new reservations are possible: the stream was read to its end without truncation, the
// incarnation has joined the ledger, and no drain has begun.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isReady()
}

func (c *Client) isReady() bool {
	return c.caughtUp && !c.truncated && !c.draining && c.current != nil && c.current.joined
}

// Incarnation returns the current incarnation; the zero value before the stream was read to its end.
func (c *Client) Incarnation() ledger.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return ledger.Incarnation{}
	}
	return c.current.incarnation
}

// View calls view with the folded state while it holds the client's lock.
func (c *Client) View(view func(*ledger.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	view(&c.state)
}

// Status returns the client's state for operators.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		Ready:     c.isReady(),
		Reachable: c.reachable,
		Truncated: c.truncated,
		Draining:  c.draining,
		Next:      c.state.Next(),
		Outbox:    c.outboxLength(),
		Routers:   c.routers,
		Copies:    len(c.heldCopies),
		RoundTrip: c.roundTrip,
	}
	if c.current != nil {
		s.Incarnation = c.current.incarnation
		s.LeaseLeft = c.current.lease.Left(time.Now())
		s.Attempts = len(c.current.attempts)
	}
	return s
}

// outboxLength returns the number of records of all of this process's incarnations that have not been read back.
func (c *Client) outboxLength() int {
	n := 0
	for _, o := range c.outboxes() {
		n += o.length()
	}
	return n
}

// outboxes returns the outboxes of the former incarnations and of the current one.
func (c *Client) outboxes() []*outbox {
	if c.current == nil {
		return c.former
	}
	return append(c.former[:len(c.former):len(c.former)], c.current)
}

// enqueue queues a record of the current incarnation and signals the append loop.
func (c *Client) enqueue(record ledger.Record) {
	c.enqueueIn(c.current, outboxEntry{record: record})
}

// enqueueIn queues a record in an outbox and signals the append loop.
func (c *Client) enqueueIn(o *outbox, entry outboxEntry) {
	o.add(time.Now(), entry)
	notify(c.appendSignal)
}

// logger returns the logger with the client's stream, instance and incarnation as fields.
func (c *Client) logger() apex.Interface {
	fields := apex.Fields{"Stream": c.stream, "Instance": c.settings.Instance}
	if c.current != nil {
		fields["Incarnation"] = c.current.incarnation.Number
	}
	return c.settings.Logger.WithFields(fields)
}

// notify wakes the loop that waits for signal. It does nothing if a signal is already pending.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
