package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
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
	// crashKeySuffix follows a router's instance name in the key of its crash record.
	crashKeySuffix = "/crashes"
	// crashWriteDelay is the delay between a change of the crash record and its write, so that endpoints that crash at
	// about the same time are recorded in one write.
	crashWriteDelay = 150 * time.Millisecond
	// crashRetention is how long crashes stay in the record: as long as a request is quarantined.
	crashRetention = 10 * time.Minute
	// maxCrashLead is how far the clock of another router may be ahead.
	maxCrashLead = 24 * time.Hour
	// maxRecordedCrashes, maxRecordedRequests for each crash, maxRecordedOthers for all crashes and maxRecordedAnswers bound the
	// encoded crash record to a few tens of KB.
	maxRecordedCrashes  = 16
	maxRecordedRequests = 32
	maxRecordedOthers   = 512
	maxRecordedAnswers  = 128
	// maxPartExposures bounds the exchanges of a crash that count against parts of prompts.
	maxPartExposures = 128
	// maxRecordedBlocks bounds the blocked groups of parts in the crash record.
	maxRecordedBlocks = 32
	// maxRecordedSoundParts bounds the parts known to be sound in the crash record.
	maxRecordedSoundParts = 64
	// learningTime is the time after a start in which a router learns which parts of prompts are sound.
	learningTime = 3 * time.Second
	// trialSpacing is the mean time between the trials of a blocked part by two routers. A router learns of another's failed trial
	// in less.
	trialSpacing = 2 * time.Second
)

// crashRecord lists the endpoint crashes that a router has seen. The router writes it as JSON under a key of its own,
// where other routers read it. Times are Unix milliseconds.
type crashRecord struct {
	Crashes []recordedCrash
	// Answers lists the suspected requests that an endpoint answered.
	Answers []recordedAnswer
	// Blocked lists the groups of prompt parts that this router has blocked, Sound parts under which answers were sound.
	Blocked []recordedBlock
	Sound   []string
}

type recordedBlock struct {
	Parts []string
	At    int64
}

type recordedCrash struct {
	// Crash identifies the crash by the endpoint's name and start.
	Crash    string
	At       int64
	Requests []recordedRequest
	// Others are the further requests, without their parts.
	Others otherRequests `json:",omitempty"`
}

// recordedRequest is a request that was in progress at a crash. Begun is when the request was sent, Broke when its
// exchange broke off, in Unix milliseconds.
type recordedRequest struct {
	Fingerprint  ledger.Fingerprint
	Begun, Broke int64
	// Parts are the parts of the prompt that may have crashed the endpoint. Those known to be sound are left out, since a
	// router that starts takes all that it reads here for unknown.
	Parts []string `json:",omitempty"`
	// IsAnswering is true if the answer had been under way for endpoint.SoundAnswerTime.
	IsAnswering bool `json:",omitempty"`
}

type recordedAnswer struct {
	Fingerprint ledger.Fingerprint
	At          int64
}

// crashTracker quarantines requests that crash endpoints, so that no router sends them again. The crash records are
// stored on the platform, so that a quarantine outlasts restarts of routers.
type crashTracker struct {
	state  *Board
	logger log.Interface
	// hasSuspects is false while no request is suspected of crashing endpoints, so that no fingerprint needs to be
	// computed.
	hasSuspects atomic.Bool
	// hasBlockedParts is false while no parts of prompts are blocked.
	hasBlockedParts atomic.Bool

	mu       sync.Mutex
	suspects endpoint.Suspects
	parts    endpoint.PartSuspects
	// learningUntil is the time before which crashes don't count against parts of prompts, as this router has not yet seen
	// which of them are sound.
	learningUntil time.Time
	// spread, from 0 to 1, differs between routers and delays this router's trials of blocked parts. countRouters returns
	// the number of routers; nil if there are no others.
	spread       float64
	countRouters func() int
	ownRecord    crashRecord
	// mergedUntil is, by router, the timestamp of the newest merged crash or answer in Unix milliseconds. It is at least
	// 1 once the router's crash record has been merged.
	mergedUntil map[string]int64
	// lastTimestamp is the newest timestamp in the router's own crash record, in Unix milliseconds.
	lastTimestamp int64
	// writePending signals the writer goroutine that the router's own crash record has changed.
	writePending chan struct{}
}

func newCrashTracker(state *Board, logger log.Interface) *crashTracker {
	return &crashTracker{
		state: state, logger: logger, mergedUntil: make(map[string]int64), writePending: make(chan struct{}, 1),
		spread:        rand.Float64(), //nolint:gosec // spreads load
		learningUntil: time.Now().Add(learningTime),
	}
}

// recordCrash records an endpoint's crash that this router has detected, with the requests in progress at the endpoint.
func (c *crashTracker) recordCrash(now time.Time, name string, exposures []endpoint.InterruptedExchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.learningUntil) {
		exposures = omitParts(exposures, func(string) bool { return true })
	}
	exposures = endpoint.RankExposures(name, exposures, &c.suspects, &c.parts)
	unknown := omitParts(exposures, c.parts.IsSound)
	record := recordedCrash{Crash: name, At: c.nextTimestampLocked(now)}
	count := min(len(unknown), maxRecordedRequests)
	for _, e := range unknown[:count] {
		record.Requests = append(record.Requests, recordedRequest{e.Fingerprint, e.SentAt.UnixMilli(), e.InterruptedAt.UnixMilli(), e.Parts, e.IsAnswering})
	}
	record.Others = encodeOthers(record.At, unknown[count:])
	if suspectedParts(unknown) != "" {
		exposures = unknown
	}
	c.logger.WithFields(log.Fields{
		"Crash": name, "InProgress": len(exposures), "Recorded": count + record.Others.len(), "Parts": suspectedParts(exposures[:count]),
	}).Warn("endpoint crashed")
	c.ownRecord.Crashes = append(c.ownRecord.Crashes, record)
	c.ownRecord.prune(now)
	c.scheduleWrite()
	c.addSuspectsLocked(now, name, "", exposures)
}

// trialDelay returns the time by which this router delays the trials of blocked parts.
func (c *crashTracker) trialDelay() time.Duration {
	if c.countRouters == nil {
		return 0
	}
	return time.Duration(c.spread * float64(c.countRouters()) * float64(trialSpacing))
}

func (c *crashTracker) addSuspectsLocked(now time.Time, name, from string, exposures []endpoint.InterruptedExchange) {
	c.parts.TrialDelay = c.trialDelay()
	for _, f := range c.suspects.RecordCrash(now, name, exposures) {
		c.state.Count(requestQuarantined)
		c.logger.WithFields(log.Fields{fieldFingerprint: formatFingerprint(f), "Crash": name, fieldFrom: from}).Warn("request is held")
	}
	c.hasSuspects.Store(c.suspects.Len() > 0)
	for _, parts := range c.parts.RecordCrash(now, name, exposures[:min(len(exposures), maxPartExposures)]) {
		c.state.Count(partsBlocked)
		c.logBlock(parts, name, from)
		if from != "" {
			// The router that saw the crash records the block.
			continue
		}
		c.ownRecord.Blocked = append(c.ownRecord.Blocked, recordedBlock{parts, c.nextTimestampLocked(now)})
		c.ownRecord.prune(now)
		c.scheduleWrite()
	}
	c.hasBlockedParts.Store(c.parts.Len() > 0)
}

// omitParts returns the exposures without the parts for which omit returns true.
func omitParts(exposures []endpoint.InterruptedExchange, omit func(part string) bool) []endpoint.InterruptedExchange {
	rest := slices.Clone(exposures)
	for i := range rest {
		rest[i].Parts = slices.DeleteFunc(slices.Clone(rest[i].Parts), omit)
	}
	return rest
}

// suspectedParts lists the parts of the exposures' prompts.
func suspectedParts(exposures []endpoint.InterruptedExchange) string {
	var parts []string
	for _, e := range exposures {
		parts = append(parts, e.Parts...)
	}
	slices.Sort(parts)
	return strings.Join(slices.Compact(parts), ",")
}

// recordSound records parts of prompts on which an endpoint's answer was sound.
func (c *crashTracker) recordSound(now time.Time, parts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts.RecordSound(now, parts)
	c.hasBlockedParts.Store(c.parts.Len() > 0)
}

// partsBlockTimeLeft returns for how long a prompt with these parts must not be sent; zero if it may be sent.
// isTrial reports whether it is sent on trial.
func (c *crashTracker) partsBlockTimeLeft(now time.Time, parts []string) (wait time.Duration, isTrial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.BlockTimeLeft(now, parts)
}

// formatFingerprint formats a fingerprint in hexadecimal, as log messages show it.
func formatFingerprint(f ledger.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

// recordAnswer clears a request of suspicion because an endpoint answered it, and records the answer for other routers.
func (c *crashTracker) recordAnswer(now time.Time, f ledger.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspects.RecordCompletion(f, now) {
		return
	}
	c.hasSuspects.Store(c.suspects.Len() > 0)
	c.ownRecord.Answers = append(c.ownRecord.Answers, recordedAnswer{f, c.nextTimestampLocked(now)})
	c.ownRecord.prune(now)
	c.scheduleWrite()
}

// nextTimestampLocked returns a timestamp above all in the router's own crash record, in Unix milliseconds. Other
// routers recognize new entries by it.
func (c *crashTracker) nextTimestampLocked(now time.Time) int64 {
	c.lastTimestamp = max(now.UnixMilli(), c.lastTimestamp+1)
	return c.lastTimestamp
}

func (c *crashTracker) scheduleWrite() {
	select {
	case c.writePending <- struct{}{}:
	default:
	}
}

// quarantineRemaining returns for how long a request stays quarantined; zero if it may be sent.
func (c *crashTracker) quarantineRemaining(now time.Time, f ledger.Fingerprint) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.BlockTimeLeft(now, f)
}

// mergeRecord merges a router's crash record. With isOwn, the record was written by a previous process of this router
// and is restored at most once.
func (c *crashTracker) mergeRecord(now time.Time, router string, isOwn bool, value []byte) {
	var record crashRecord
	if err := json.Unmarshal(value, &record); err != nil {
		c.logger.WithField("Instance", router).WithError(err).Warn("cannot decode a router's crash record")
		return
	}
	record.prune(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if isOwn && c.mergedUntil[router] > 0 {
		return
	}
	if c.mergedUntil[router] == 0 {
		// Later records name parts that this router has seen itself, or will.
		c.parts.RememberSound(record.Sound)
	}
	c.parts.TrialDelay = c.trialDelay()
	if isOwn {
		c.ownRecord.Crashes = append(slices.Clone(record.Crashes), c.ownRecord.Crashes...)
		c.ownRecord.Answers = append(slices.Clone(record.Answers), c.ownRecord.Answers...)
		c.ownRecord.Blocked = append(slices.Clone(record.Blocked), c.ownRecord.Blocked...)
	}
	newest := max(1, c.mergedUntil[router])
	for _, crash := range record.Crashes {
		if crash.At > c.mergedUntil[router] {
			newest = max(newest, crash.At)
			c.addSuspectsLocked(now, crash.Crash, router, crash.exposures())
		}
	}
	for _, a := range record.Answers {
		if a.At > c.mergedUntil[router] {
			newest = max(newest, a.At)
			c.suspects.RecordCompletion(a.Fingerprint, time.UnixMilli(a.At))
		}
	}
	for _, b := range record.Blocked {
		if b.At > c.mergedUntil[router] {
			newest = max(newest, b.At)
			c.mergeBlockLocked(now, router, b.Parts)
		}
	}
	c.mergedUntil[router] = newest
	if isOwn {
		c.lastTimestamp = max(c.lastTimestamp, newest)
	}
	c.hasSuspects.Store(c.suspects.Len() > 0)
}

// mergeBlockLocked blocks parts that another router has blocked, unless one of them is known to be sound here.
func (c *crashTracker) mergeBlockLocked(now time.Time, router string, parts []string) {
	if slices.ContainsFunc(parts, c.parts.IsSound) || !c.parts.Block(now, parts) {
		return
	}
	c.hasBlockedParts.Store(true)
	c.logBlock(parts, "", router)
}

// logBlock logs that parts of prompts are blocked. crash is empty if another router reported the block itself.
func (c *crashTracker) logBlock(parts []string, crash, from string) {
	c.logger.WithFields(log.Fields{"Parts": strings.Join(parts, ","), "Crash": crash, fieldFrom: from}).Warn("prompt parts are held")
}

func (c *recordedCrash) exposures() []endpoint.InterruptedExchange {
	var exposures []endpoint.InterruptedExchange
	for _, r := range c.Requests {
		exposures = append(exposures, endpoint.InterruptedExchange{
			Fingerprint: r.Fingerprint, Parts: r.Parts, SentAt: time.UnixMilli(r.Begun), InterruptedAt: time.UnixMilli(r.Broke), IsAnswering: r.IsAnswering,
		})
	}
	return append(exposures, c.Others.exposures(c.At)...)
}

// prune drops entries older than crashRetention or more than maxCrashLead ahead, then the oldest ones above the size limits.
func (r *crashRecord) prune(now time.Time) {
	oldest, newest := now.Add(-crashRetention).UnixMilli(), now.Add(maxCrashLead).UnixMilli()
	isOutside := func(at int64) bool { return at < oldest || at > newest }
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c recordedCrash) bool { return isOutside(c.At) })
	r.Answers = slices.DeleteFunc(r.Answers, func(a recordedAnswer) bool { return isOutside(a.At) })
	r.Blocked = slices.DeleteFunc(r.Blocked, func(b recordedBlock) bool { return isOutside(b.At) })
	r.Blocked = r.Blocked[max(0, len(r.Blocked)-maxRecordedBlocks):]
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-maxRecordedCrashes):]
	r.Answers = r.Answers[max(0, len(r.Answers)-maxRecordedAnswers):]
	left := maxRecordedOthers
	for i := len(r.Crashes) - 1; i >= 0; i-- {
		r.Crashes[i].Others = r.Crashes[i].Others.first(left)
		left -= r.Crashes[i].Others.len()
	}
}

// run writes the router's own crash record after each change until the context ends. Failed writes are retried.
func (c *crashTracker) run(ctx context.Context, routers *Routers) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.writePending:
		}
		clock.Sleep(ctx, crashWriteDelay)
		if err := c.writeRecord(ctx, routers); err != nil {
			c.logger.WithError(err).Warn("cannot write the crash record; retrying")
			c.scheduleWrite()
		}
	}
}

// errRosterUnread prevents a router from overwriting the crash record of its previous process before it has been read.
var errRosterUnread = errors.New("routers' entries have not been read yet")

func (c *crashTracker) writeRecord(ctx context.Context, routers *Routers) error {
	if !routers.hasRoster.Load() {
		return errRosterUnread
	}
	c.mu.Lock()
	// From the first write on, a crash record read under the router's own key is this process's own and must not be
	// merged.
	c.mergedUntil[routers.Self.Instance] = max(1, c.mergedUntil[routers.Self.Instance])
	c.ownRecord.Sound = c.parts.SoundParts(maxRecordedSoundParts)
	for i := range c.ownRecord.Crashes {
		c.ownRecord.Crashes[i].Others = c.ownRecord.Crashes[i].Others.filter(c.suspects.Contains)
	}
	value, err := json.Marshal(c.ownRecord)
	c.mu.Unlock()
	if err != nil {
		return fmt.Errorf("encoding the crash record: %w", err)
	}
	return routers.writeRecord(ctx, platform.KeyedRecord{Key: routers.Self.Instance + crashKeySuffix, Value: value})
}
