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

// Client keeps one router's incarnation in one ledger partition: its records, its shares and its lease.
type Client struct {
	log      platform.Log
	stream   string
	settings Settings
	counters metrics.Registry
	// appendSignal and wakeReader are signalled when there is something to append or to read.
	appendSignal chan struct{}
	readSignal   chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	state  ledger.State
	// current is the outbox of the incarnation in use, nil before the first Join is queued.
	current *outbox
	// former are outboxes of ended incarnations that still hold records.
	former   []*outbox
	accounts map[string]*account
	// accountsWithWaiting are the accounts in which requests wait for a share.
	accountsWithWaiting   map[string]*account
	attempts uint64
	prepaid  map[string]prepaidCopy
	// refusedTickets are the highest tickets whose totals the ledger refused.
	refusedTickets map[string]uint64
	// reserves are the budgets whose policy names a reserve share, reserveQueue those of them whose share may not be held.
	reserves     map[string]*reserveCheck
	reserveQueue []*reserveCheck
	activities     map[ledger.Incarnation]*memberActivity

	// copySenders hand this router's groups to others; copies are held for others, copyBytes is their size.
	copySenders []*copySender
	// avoidedUntil are the instances that took no copy lately.
	avoidedUntil map[string]time.Time
	heldCopies       []*heldCopy
	heldCopyBytes    int

	observation decision.Observation
	// caughtUp is set once the stream was read to its end; truncated once the log no longer keeps
	// the next offset.
	caughtUp  bool
	truncated bool
	draining  bool
	// completeReads counts the reads that reached the stream's end; readsStarted counts all.
	readsStarted     uint64
	lastCompleteRead   uint64
	readFailures   int
	appendFailures int
	// lastFailureAt is when a call of the log failed last.
	lastFailureAt  time.Time
	reachable bool
	// unreachableSignal is closed while the log counts as unreachable.
	unreachableSignal           chan struct{}
	reachableSince time.Time
	routers        int
	roundTrip      time.Duration

	configurationNext   platform.Offset
	configurationNumber uint64

	// onRemoteCrash gets the crashes that others report, crashes bounds this router's reports.
	onRemoteCrash func(ledger.Incarnation, *ledger.Crash)
	crashLimiter    *rate.Limiter
}

// Status is a summary for operators.
type Status struct {
	Incarnation ledger.Incarnation
	Ready       bool
	Reachable   bool
	Truncated   bool
	Draining    bool
	// Next is the next offset that will be read.
	Next platform.Offset
	// LeaseLeft is the time for which requests may still be dispatched; negative once it has lapsed.
	LeaseLeft time.Duration
	// Outbox is the number of records that were not read back yet.
	Outbox int
	// Attempts is the number of open reservations.
	Attempts int
	// Routers is the number of live incarnations.
	Routers int
	// Copies is the number of groups held for other routers.
	Copies int
	// RoundTrip is the usual time from cutting a group to reading it back.
	RoundTrip time.Duration
}

// NewClient returns a client of one partition's stream; Run starts it.
func NewClient(log platform.Log, s Settings, counters metrics.Registry) *Client {
	s = s.withDefaults()
	seed := s.Seed
	if seed == 0 {
		seed = rand.Uint64() //nolint:gosec // jitter needs no secrecy
	}
	c := &Client{
		log:            log,
		stream:         platform.LedgerStream(s.Partition),
		settings:       s,
		counters:       counters,
		appendSignal:   make(chan struct{}, 1),
		readSignal:     make(chan struct{}, 1),
		random:         rand.New(rand.NewPCG(seed, uint64(s.Partition))), //nolint:gosec // jitter needs no secrecy
		accounts:       map[string]*account{},
		accountsWithWaiting:         map[string]*account{},
		avoidedUntil:   map[string]time.Time{},
		prepaid:        map[string]prepaidCopy{},
		refusedTickets: map[string]uint64{},
		reserves:       map[string]*reserveCheck{},
		activities:       map[ledger.Incarnation]*memberActivity{},
		observation:    decision.Observation{GapLimit: s.gapLimit()},
		reachable:      true,
		unreachableSignal:           make(chan struct{}),
		routers:        1,
		crashLimiter:        rate.NewLimiter(fleetCrashesPerSecond, 1),
	}
	for rank := range copiesPerGroup {
		c.copySenders = append(c.copySenders, &copySender{client: c, rank: rank})
	}
	return c
}

// Run reads and appends until ctx ends, and returns when its loops have stopped.
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

// SetConfigurationPosition sets what heartbeats report of the configuration.
func (c *Client) SetConfigurationPosition(next platform.Offset, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configurationNext = next
	c.configurationNumber = number
}

// Ready says whether the client has read the stream to its end and joined the ledger.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isReady()
}

func (c *Client) isReady() bool {
	return c.caughtUp && !c.truncated && !c.draining && c.current != nil && c.current.joined
}

// Incarnation returns the incarnation in use; zero before the stream was read to its end.
func (c *Client) Incarnation() ledger.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return ledger.Incarnation{}
	}
	return c.current.incarnation
}

// View calls a function with the folded state, under the client's lock.
func (c *Client) View(view func(*ledger.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	view(&c.state)
}

// Status returns a summary for operators.
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

// outboxLength returns the number of records of all incarnations that were not read back yet.
func (c *Client) outboxLength() int {
	n := 0
	for _, o := range c.outboxes() {
		n += o.length()
	}
	return n
}

// outboxes returns the outboxes of the former incarnations and of the one in use.
func (c *Client) outboxes() []*outbox {
	if c.current == nil {
		return c.former
	}
	return append(c.former[:len(c.former):len(c.former)], c.current)
}

// enqueue queues a record of the incarnation in use and wakes the appender.
func (c *Client) enqueue(record ledger.Record) {
	c.enqueueIn(c.current, outboxEntry{record: record})
}

// enqueueIn queues a record in an outbox and wakes the appender.
func (c *Client) enqueueIn(o *outbox, entry outboxEntry) {
	o.add(time.Now(), entry)
	notify(c.appendSignal)
}

// logger returns the logger with this client's fields.
func (c *Client) logger() apex.Interface {
	fields := apex.Fields{"Stream": c.stream, "Instance": c.settings.Instance}
	if c.current != nil {
		fields["Incarnation"] = c.current.incarnation.Number
	}
	return c.settings.Logger.WithFields(fields)
}

// notify signals a loop that may be waiting; a signal that is already pending suffices.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
