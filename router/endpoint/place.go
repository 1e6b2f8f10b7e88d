package endpoint

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// latencyPerPromptByte is the time to the first token that a long prompt explains.
const latencyPerPromptByte = 50 * time.Microsecond

// random is the random source of choices.
type random struct{}

// IntN returns a number in [0, n).
func (random) IntN(n int) int { return rand.IntN(n) } //nolint:gosec // spreads load, protects nothing

// waiter is a call that waits for a place at an endpoint.
type waiter struct {
	job *job
	// queue is where it waits.
	queue *endpoint.Queue[*waiter]
	// ready gets the endpoint, or the reason why there will be none. It has room for one.
	ready chan placed
}

// placed is the end of a wait.
type placed struct {
	peer   *peer
	reason verdict.Reason
}

// acquire reserves a place at an endpoint of the job's service, in the queue's order if none is free.
func (d *Dispatcher) acquire(ctx context.Context, j *job) (*peer, *verdict.Refusal) {
	now := time.Now()
	w := &waiter{job: j, ready: make(chan placed, 1)}
	entry, p, reason := d.place(ctx, now, w)
	switch {
	case reason != "":
		return nil, verdict.Refuse(reason, "")
	case p != nil:
		return p, nil
	}
	d.board.Count(queueWaited)
	timer := time.NewTimer(entry.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case end := <-w.ready:
		return end.result()
	case <-ctx.Done():
		return nil, d.abandon(j, entry, j.interrupted(ctx))
	case <-timer.C:
		return nil, d.abandon(j, entry, verdict.Refuse(verdict.Overloaded, ""))
	}
}

func (e placed) result() (*peer, *verdict.Refusal) {
	if e.peer == nil {
		return nil, verdict.Refuse(e.reason, "")
	}
	return e.peer, nil
}

// place picks an endpoint or queues the call.
func (d *Dispatcher) place(ctx context.Context, now time.Time, w *waiter) (*endpoint.Entry[*waiter], *peer, verdict.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	j := w.job
	if d.quarantine.QuarantineTimeLeft(now, j.call.Fingerprint) > 0 {
		return nil, nil, verdict.Quarantined
	}
	s := d.serviceLocked(j.route.Service)
	if j.lacks(s) {
		return nil, nil, verdict.NoEndpoint
	}
	if j.result.Attempts == 0 {
		s.retries.Deposit()
	}
	if !d.hopefulLocked(now, s, j.route.Model) {
		return nil, nil, verdict.NoEndpoint
	}
	w.queue = s.queueFor(j.route.Model)
	if w.queue.Len() == 0 {
		if p := d.pickLocked(now, s, j); p != nil {
			return nil, p, ""
		}
	}
	waiting := d.waiting(ctx, now, j)
	entry, dropped, reason := w.queue.Push(now, waiting, w)
	if dropped != nil {
		dropped.Value.ready <- placed{reason: verdict.Overloaded}
	}
	if reason == verdict.DeadlineTooShort && waiting.Deadline.Equal(now.Add(d.settings.QueueTimeout)) {
		// The queue's own bound is too short for the wait, not the caller's deadline.
		reason = verdict.Overloaded
	}
	return entry, nil, reason
}

// waiting describes the call to the queue.
func (d *Dispatcher) waiting(ctx context.Context, now time.Time, j *job) endpoint.Waiter {
	deadline := now.Add(d.settings.QueueTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	waiter := endpoint.Waiter{Team: j.call.Team, Deadline: deadline}
	if d.configuration != nil {
		waiter.Weight = d.configuration.Teams[j.call.Team].Limits.Weight
	}
	return waiter
}

// abandon ends a wait. A place that was given meanwhile goes back.
func (d *Dispatcher) abandon(j *job, entry *endpoint.Entry[*waiter], refusal *verdict.Refusal) *verdict.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.serviceLocked(j.route.Service)
	if entry.Value.queue.Remove(entry) {
		return refusal
	}
	select {
	case end := <-entry.Value.ready:
		if end.peer != nil {
			d.leaveLocked(end.peer, j)
			d.wakeLocked(s)
		}
	default:
		// The queue dropped the entry because its time was up.
	}
	return refusal
}

// hopefulLocked reports whether an endpoint that is fit for the model has work or may get some soon. It probes
// ejected endpoints whose time has come.
func (d *Dispatcher) hopefulLocked(now time.Time, s *service, model string) bool {
	hopeful := false
	for _, p := range s.peersFor(model) {
		d.probeIfDueLocked(now, p)
		hopeful = hopeful || !p.health.Ejected()
	}
	return hopeful
}

// pickLocked reserves a place, at an endpoint that has not failed the call before if there is one.
func (d *Dispatcher) pickLocked(now time.Time, s *service, j *job) *peer {
	p := d.pickAmongLocked(now, s, j, j.tried)
	if p == nil && len(j.tried) > 0 {
		p = d.pickAmongLocked(now, s, j, nil)
	}
	if p == nil {
		return nil
	}
	p.inFlight++
	p.load.used = true
	j.suspect = d.quarantine.IsSuspect(now, j.call.Fingerprint)
	if j.suspect {
		p.suspects++
	}
	return p
}

func (d *Dispatcher) pickAmongLocked(now time.Time, s *service, j *job, without []*peer) *peer {
	suspect := d.quarantine.IsSuspect(now, j.call.Fingerprint)
	s.candidates, s.places = s.candidates[:0], s.places[:0]
	for _, p := range s.peersFor(j.route.Model) {
		if !p.health.Available() || suspect && p.suspects > 0 || slices.Contains(without, p) {
			continue
		}
		s.candidates = append(s.candidates, p.candidate(now))
		s.places = append(s.places, p)
	}
	prefix := uint64(0)
	if j.call.Model != nil {
		prefix = j.call.Model.PrefixHash
	}
	i, ok := d.settings.Policy.Choose(s.candidates, prefix, random{})
	if !ok {
		return nil
	}
	return s.places[i]
}

// leaveLocked gives a place back.
func (d *Dispatcher) leaveLocked(p *peer, j *job) {
	p.inFlight--
	if j.suspect {
		p.suspects--
		j.suspect = false
	}
}

// release gives the place of an attempt back and takes its outcome in.
func (d *Dispatcher) release(p *peer, j *job, out outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learnLocked(p, j, out)
	d.leaveLocked(p, j)
	d.wakeLocked(d.serviceLocked(p.service))
}

// learnLocked takes the outcome of an attempt in.
func (d *Dispatcher) learnLocked(p *peer, j *job, out outcome) {
	now := time.Now()
	if out.errored {
		d.observeLocked(p, &endpoint.Errored{Request: j.call.Fingerprint})
		return
	}
	if out.cause == nil {
		d.quarantine.RecordCompletion(j.call.Fingerprint)
		if !j.call.streams() {
			// Such an answer takes as long as its contents need, which tells nothing of a queue.
			p.limit.Observe(now, 0, p.inFlight)
		}
		d.observeLocked(p, &endpoint.Answered{})
		return
	}
	if out.reason == verdict.EndpointRefused {
		p.limit.ObserveRefusal(now, now.Sub(out.begun))
		d.observeLocked(p, &endpoint.Answered{})
		return
	}
	if out.fault == "" {
		return
	}
	if out.fault == endpoint.Unresponsive {
		p.dropPool()
	}
	if out.crash {
		p.broken = append(p.broken, j.call.Fingerprint)
	}
	d.observeLocked(p, &endpoint.Failed{Kind: out.fault, StartedAt: out.begun})
	if out.crash && p.health.Ejected() {
		d.countCrashLocked(now, p)
	}
}

// noteFirstByte takes the time to the first event of a stream in, less what the prompt may have needed.
func (d *Dispatcher) noteFirstByte(p *peer, call *Call, latency time.Duration) {
	latency -= time.Duration(call.Model.PromptBound) * latencyPerPromptByte
	d.mu.Lock()
	defer d.mu.Unlock()
	p.limit.Observe(time.Now(), max(latency, time.Millisecond), p.inFlight)
}

// wakeLocked gives free places to waiting calls, or sends them away if there will be none.
func (d *Dispatcher) wakeLocked(s *service) {
	now := time.Now()
	for model, q := range s.queues {
		d.wakeQueueLocked(now, s, model, q)
	}
}

func (d *Dispatcher) wakeQueueLocked(now time.Time, s *service, model string, q *endpoint.Queue[*waiter]) {
	for q.Len() > 0 {
		if !d.hopefulLocked(now, s, model) {
			sendAway(now, q)
			return
		}
		if !hasRoom(now, s.peersFor(model)) {
			return
		}
		entry, ok := q.Pop(now)
		if !ok {
			return
		}
		p := d.pickLocked(now, s, entry.Value.job)
		if p == nil {
			// None of the free places is fit for this call.
			q.Requeue(entry)
			return
		}
		entry.Value.ready <- placed{peer: p}
	}
}

func sendAway(now time.Time, q *endpoint.Queue[*waiter]) {
	for {
		entry, ok := q.Pop(now)
		if !ok {
			return
		}
		entry.Value.ready <- placed{reason: verdict.NoEndpoint}
	}
}

func hasRoom(now time.Time, peers []*peer) bool {
	for _, p := range peers {
		c := p.candidate(now)
		if p.health.Available() && c.HasRoom() {
			return true
		}
	}
	return false
}
