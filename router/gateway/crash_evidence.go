package gateway

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	// crashCheckDelay is the time between the end of an exchange and the check whether the endpoint has crashed: the sockets of
	// a process that ends are not closed at once.
	crashCheckDelay = 20 * time.Millisecond
	// maxRecentAnswers bounds the answers that are remembered for each endpoint.
	maxRecentAnswers = 16
)

// recordExposureLocked records requests whose exchanges broke off. The endpoint counts as crashed if it then refuses
// connections or restarts, if it is no longer listed or if another endpoint answers at its address. An answer to a later
// request shows that the endpoint has not crashed, unless it turns out that the endpoint had restarted before.
func (t *targets) recordExposureLocked(e *target, j *job, startedAt time.Time, result attemptResult) {
	now := time.Now()
	t.concludeAnswersLocked(now, e)
	switch {
	case result.endpointFailed && result.writeCount > 0:
		t.recordInterruptionLocked(now, e, j, startedAt)
	case result.cause == nil && !j.attemptFirstByte.IsZero() && len(j.demand.Parts) > 1:
		e.recordAnswer(recentAnswer{parts: j.demand.SharedParts(), sentAt: startedAt, begunAt: j.attemptFirstByte})
		t.concludeAnswersLocked(now, e)
	}
	switch {
	case t.byName[e.Name] != e || result.misdirected:
		t.reportCrashLocked(e)
	case errors.Is(result.cause, syscall.ECONNREFUSED):
		t.reportRefusalLocked(now, e, j.through == "")
	case result.responded && !result.endpointFailed && startedAt.After(e.lastBroken) && e.answeredSince.IsZero():
		e.answeredSince = startedAt
	}
}

// recordInterruptionLocked records that the exchange of a request broke off, with the answers that the endpoint had begun
// shortly before and completed.
func (t *targets) recordInterruptionLocked(now time.Time, e *target, j *job, startedAt time.Time) {
	if !e.answeredSince.IsZero() {
		e.exposures, e.answeredSince = nil, time.Time{}
	}
	e.lastBroken = now
	exposure := endpoint.InterruptedExchange{Fingerprint: j.requestFingerprint(), SentAt: startedAt, InterruptedAt: now}
	if parts := j.demand.SharedParts(); j.attemptFirstByte.IsZero() || now.Sub(j.attemptFirstByte) < endpoint.SoundAnswerTime {
		exposure.Parts = parts
	} else {
		exposure.IsAnswering = true
		t.reportSoundParts(now, parts)
	}
	e.exposures.Add(now, exposure)
	for _, a := range e.recentAnswers {
		e.exposures.Add(now, endpoint.InterruptedExchange{Parts: a.parts, SentAt: a.sentAt, InterruptedAt: now})
	}
	e.recentAnswers = nil
	if len(j.demand.Parts) > 1 && !e.isBeingChecked {
		e.isBeingChecked = true
		go (&crashCheck{targets: t, target: e}).run()
	}
}

// reportRefusalLocked reports a crash of an endpoint that refused a connection. If it was a connection of this router, and that may be
// cut off, a crashCheck decides.
func (t *targets) reportRefusalLocked(now time.Time, e *target, isDirect bool) {
	if !isDirect || !t.reachLocked(e.Service).IsDoubtful(now) {
		t.reportCrashLocked(e)
		return
	}
	if len(e.exposures) > 0 && !e.isBeingChecked {
		e.isBeingChecked = true
		go (&crashCheck{targets: t, target: e}).run()
	}
}

// concludeAnswersLocked reports the parts of answers that the endpoint has survived for long enough.
func (t *targets) concludeAnswersLocked(now time.Time, e *target) {
	for len(e.recentAnswers) > 0 && now.Sub(e.recentAnswers[0].begunAt) >= endpoint.SoundAnswerTime {
		t.reportSoundParts(now, e.recentAnswers[0].parts)
		e.recentAnswers = e.recentAnswers[1:]
	}
}

func (t *targets) reportSoundParts(now time.Time, parts []string) {
	if t.onSound != nil && len(parts) > 0 {
		t.onSound(now, parts)
	}
}

// recordAnswer adds an answer, in the order in which answers were begun.
func (e *target) recordAnswer(added recentAnswer) {
	i, _ := slices.BinarySearchFunc(e.recentAnswers, added.begunAt, func(a recentAnswer, t time.Time) int { return a.begunAt.Compare(t) })
	e.recentAnswers = slices.Insert(e.recentAnswers, i, added)
	e.recentAnswers = e.recentAnswers[max(0, len(e.recentAnswers)-maxRecentAnswers):]
}

// crashCheck finds out whether an endpoint that broke off an exchange refuses connections, before the next request is sent
// there.
type crashCheck struct {
	targets *targets
	target  *target
}

func (c *crashCheck) run() {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckDelay+dialTimeout)
	defer cancel()
	clock.Sleep(ctx, crashCheckDelay)
	connection, err := c.target.transport.DialContext(ctx, "tcp", c.target.Address)
	if err == nil {
		_ = connection.Close()
	}
	isRefused := errors.Is(err, syscall.ECONNREFUSED) && !c.isCutOff()
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.target.isBeingChecked = false
	if isRefused {
		c.targets.reportCrashLocked(c.target)
	}
}

// isCutOff reports whether the router can't reach any of some other endpoints of the service either.
func (c *crashCheck) isCutOff() bool {
	t := c.targets
	t.mu.Lock()
	isDoubtful := t.reachLocked(c.target.Service).IsDoubtful(time.Now())
	t.mu.Unlock()
	if !isDoubtful {
		return false
	}
	others := slices.DeleteFunc(t.pickEndpoints(c.target.Service, endpoint.ReachabilityChecked+1), func(e site.Endpoint) bool {
		return e.Name == c.target.Name
	})
	return len(others) > 0 && !slices.ContainsFunc(others, func(e site.Endpoint) bool { return t.canConnect(e.Address) })
}

// reviewEndpoints reports the crashes that a new directory shows: of processes that were replaced, or are not listed any more. The next request to their service
// may come much later.
func (t *targets) reviewEndpoints(directory *site.Directory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, known := range t.byName {
		if len(known.exposures) == 0 {
			continue
		}
		listed, ok := directory.Endpoint(known.Service, name)
		switch {
		case !ok && known.inFlight == 0:
			t.reportCrashLocked(known)
		case ok && listed.StartedAt != known.StartedAt:
			t.reportRestartLocked(known, time.UnixMilli(listed.StartedAt))
		}
	}
}

// reportRestartLocked reports that an endpoint's process has been replaced by one that started at a time. That was a crash
// unless the former process answered after exchanges had broken off.
func (t *targets) reportRestartLocked(e *target, startedAt time.Time) {
	if !e.answeredSince.Before(startedAt) && e.lastBroken.Before(startedAt) {
		e.answeredSince = time.Time{}
	}
	t.reportCrashLocked(e)
}

// reportCrashLocked reports an endpoint's crash if requests were in progress there and it has not answered since.
func (t *targets) reportCrashLocked(e *target) {
	if len(e.exposures) == 0 || t.onCrash == nil || !e.answeredSince.IsZero() {
		return
	}
	t.onCrash(time.Now(), e.Name+"/"+strconv.FormatInt(e.StartedAt, 10), e.exposures)
	e.exposures = nil
}
