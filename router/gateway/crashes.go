package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const (
	// crashSuffix follows a router's name in the key of its record of crashes.
	crashSuffix = "/crashes"
	// crashPause lies between a change of the record and its write, so that endpoints that crash together are written together.
	crashPause = 150 * time.Millisecond
	// crashMemory is how long crashes stay in the record: as long as a request is held.
	crashMemory = 10 * time.Minute
	// recordedCrashes, recordedRequests and recordedAnswers bound the record, to some ten KB.
	recordedCrashes  = 16
	recordedRequests = 32
	recordedAnswers  = 32
)

// crashRecord is what a router tells the others of crashes, under a key of its own. Times are Unix milliseconds.
type crashRecord struct {
	Crashes []recordedCrash
	// Answers are requests under suspicion that an endpoint answered.
	Answers []recordedAnswer
}

type recordedCrash struct {
	// Crash names the endpoint and its start.
	Crash    string
	At       int64
	Requests []recordedRequest
}

type recordedRequest struct {
	Fingerprint  ledger.Fingerprint
	Begun, Broke int64
}

type recordedAnswer struct {
	Fingerprint ledger.Fingerprint
	At          int64
}

// crashes keeps requests that crash endpoints from being sent again, by any router. What is known of them lies on the
// platform, so that it stays when routers start again.
type crashes struct {
	board  *Board
	logger log.Interface
	// any says that there may be a request under suspicion: if not, no request needs a fingerprint.
	any atomic.Bool

	mu       sync.Mutex
	suspects endpoint.Suspects
	own      crashRecord
	// taken is the newest crash or answer that was taken in, by router.
	taken map[string]int64
	// stamp is the newest time in the own record.
	stamp int64
	// changed says that the record is to be written, and wakes who writes it.
	changed chan struct{}
}

func newCrashes(board *Board, logger log.Interface) *crashes {
	return &crashes{board: board, logger: logger, taken: make(map[string]int64), changed: make(chan struct{}, 1)}
}

// crash takes a crash in that this router has seen.
func (c *crashes) crash(now time.Time, name string, exposures []endpoint.Exposure) {
	exposures = exposures[:min(len(exposures), recordedRequests)]
	record := recordedCrash{Crash: name}
	for _, e := range exposures {
		record.Requests = append(record.Requests, recordedRequest{e.Fingerprint, e.Begun.UnixMilli(), e.Broke.UnixMilli()})
	}
	c.logger.WithFields(log.Fields{"Crash": name, "InProgress": len(exposures)}).Warn("endpoint crashed")
	c.mu.Lock()
	defer c.mu.Unlock()
	record.At = c.stampLocked(now)
	c.own.Crashes = append(c.own.Crashes, record)
	c.own.prune(now)
	c.wake()
	c.suspectLocked(now, name, "", exposures)
}

func (c *crashes) suspectLocked(now time.Time, name, from string, exposures []endpoint.Exposure) {
	for _, f := range c.suspects.Crash(now, name, exposures) {
		c.board.Count(requestHeld)
		c.logger.WithFields(log.Fields{fieldFingerprint: formatFingerprint(f), "Crash": name, "From": from}).Warn("request is held")
	}
	c.any.Store(c.suspects.Len() > 0)
}

// formatFingerprint writes a fingerprint as lines show it.
func formatFingerprint(f ledger.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// answered clears a request that an endpoint answered.
func (c *crashes) answered(now time.Time, f ledger.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspects.Complete(f, now) {
		return
	}
	c.any.Store(c.suspects.Len() > 0)
	c.own.Answers = append(c.own.Answers, recordedAnswer{f, c.stampLocked(now)})
	c.own.prune(now)
	c.wake()
}

// stampLocked returns a time above all in the own record, by which other routers tell what is new to them.
func (c *crashes) stampLocked(now time.Time) int64 {
	c.stamp = max(now.UnixMilli(), c.stamp+1)
	return c.stamp
}

func (c *crashes) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// held returns for how long a request is not to be sent.
func (c *crashes) held(now time.Time, f ledger.Fingerprint) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Held(now, f)
}

// take takes a router's record in. The router's own is one that a former process of it wrote.
func (c *crashes) take(now time.Time, router string, own bool, value []byte) {
	var record crashRecord
	if err := json.Unmarshal(value, &record); err != nil {
		c.logger.WithField("Instance", router).WithError(err).Warn("router's record of crashes can't be read")
		return
	}
	record.prune(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if own {
		if c.taken[router] > 0 {
			return
		}
		c.own.Crashes = append(slices.Clone(record.Crashes), c.own.Crashes...)
		c.own.Answers = append(slices.Clone(record.Answers), c.own.Answers...)
	}
	newest := max(1, c.taken[router])
	for _, crash := range record.Crashes {
		if crash.At > c.taken[router] {
			newest = max(newest, crash.At)
			c.suspectLocked(now, crash.Crash, router, crash.exposures())
		}
	}
	for _, a := range record.Answers {
		if a.At > c.taken[router] {
			newest = max(newest, a.At)
			c.suspects.Complete(a.Fingerprint, time.UnixMilli(a.At))
		}
	}
	c.taken[router] = newest
	if own {
		c.stamp = max(c.stamp, newest)
	}
	c.any.Store(c.suspects.Len() > 0)
}

func (c *recordedCrash) exposures() []endpoint.Exposure {
	var exposures []endpoint.Exposure
	for _, r := range c.Requests {
		exposures = append(exposures, endpoint.Exposure{
			Fingerprint: r.Fingerprint, Begun: time.UnixMilli(r.Begun), Broke: time.UnixMilli(r.Broke),
		})
	}
	return exposures
}

// prune drops what is old or too much.
func (r *crashRecord) prune(now time.Time) {
	oldest := now.Add(-crashMemory).UnixMilli()
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c recordedCrash) bool { return c.At < oldest })
	r.Answers = slices.DeleteFunc(r.Answers, func(a recordedAnswer) bool { return a.At < oldest })
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-recordedCrashes):]
	r.Answers = r.Answers[max(0, len(r.Answers)-recordedAnswers):]
}

// run writes the record whenever it changes, until the context ends.
func (c *crashes) run(ctx context.Context, routers *Routers) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.changed:
		}
		clock.Sleep(ctx, crashPause)
		if err := c.write(ctx, routers); err != nil {
			c.logger.WithError(err).Warn("crashes not written")
			c.wake()
		}
	}
}

// errRosterUnread keeps a router from writing over the record of a former process that it has not read yet.
var errRosterUnread = errors.New("routers' entries not read yet")

func (c *crashes) write(ctx context.Context, routers *Routers) error {
	if !routers.begun.Load() {
		return errRosterUnread
	}
	c.mu.Lock()
	// What is read under the own name from here on is what this process wrote.
	c.taken[routers.Self.Instance] = max(1, c.taken[routers.Self.Instance])
	value, err := json.Marshal(c.own)
	c.mu.Unlock()
	if err != nil {
		return fmt.Errorf("encoding crashes: %w", err)
	}
	return routers.write(ctx, platform.KeyedRecord{Key: routers.Self.Instance + crashSuffix, Value: value})
}
