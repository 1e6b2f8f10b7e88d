package endpoint

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// latencyPerPromptByte is the part of the time to the first token that is attributed to each byte of the prompt and
// not to queueing at the engine. It is multiplied by ModelCall.PromptBound, which counts the bytes of the prompt.
const latencyPerPromptByte = 50 * time.Microsecond

// randomSource provides the random numbers for the selection of endpoints.
type randomSource struct{}

// IntN returns a random number in [0, n).
func (randomSource) IntN(n int) int { return rand.IntN(n) } //nolint:gosec // spreads load, protects nothing

// waiter is a call that waits for a free slot at an endpoint.
type waiter struct {
	job *job
	// queue is the wait queue that holds the call.
	queue *endpoint.Queue[*waiter]
	// result receives the assigned endpoint or the reason for a refusal. It is buffered for one value, so that
	// sending never blocks.
	result chan waitResult
}

// waitResult is the result of a wait: an endpoint with a reserved slot, or the reason for a refusal if peer is nil.
type waitResult struct {
	peer   *peer
	reason verdict.Reason
}

// acquire reserves a slot at an endpoint of the job's service. If none is free, the call waits in the service's
// queue.
func (d *Dispatcher) acquire(ctx context.Context, j *job) (*peer, *verdict.Refusal) {
	now := time.Now()
	w := &waiter{job: j, result: make(chan waitResult, 1)}
	entry, p, reason := d.reserveOrQueue(ctx, now, w)
	switch {
	case reason != "":
		return nil, verdict.Refuse(reason, "")
	case p != nil:
		return p, nil
	}
	d.board.Count(callQueued)
	timer := time.NewTimer(entry.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case result := <-w.result:
		return result.unwrap()
	case <-ctx.Done():
		return nil, d.abandonWait(j, entry, j.contextRefusal(ctx))
	case <-timer.C:
		return nil, d.abandonWait(j, entry, verdict.Refuse(verdict.Overloaded, ""))
	}
}

func (r waitResult) unwrap() (*peer, *verdict.Refusal) {
	if r.peer == nil {
		return nil, verdict.Refuse(r.reason, "")
	}
	return r.peer, nil
}

// reserveOrQueue reserves a slot at an endpoint, or adds the call to a wait queue and returns its entry, or returns
// the reason for a refusal.
func (d *Dispatcher) reserveOrQueue(ctx context.Context, now time.Time, w *waiter) (*endpoint.Entry[*waiter], *peer, verdict.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	j := w.job
	if d.quarantine.QuarantineTimeLeft(now, j.call.Fingerprint) > 0 {
		return nil, nil, verdict.Quarantined
	}
	s := d.serviceLocked(j.route.Service)
	if j.markUnserved(s) {
		return nil, nil, verdict.NoEndpoint
	}
	if j.result.Attempts == 0 {
		s.retries.Deposit()
	}
	policy, err := j.policy()
	if err != nil {
		return nil, nil, verdict.RegionsDisjoint
	}
	if reason := d.refusalLocked(now, s, j.route.Model, &policy); reason != "" {
		return nil, nil, reason
	}
	w.queue = s.queueFor(j.route.Model, policy.Regions)
	if w.queue.Len() == 0 {
		if p := d.reserveLocked(now, s, j); p != nil {
			return nil, p, ""
		}
	}
	attributes := d.describeWaiter(ctx, now, j)
	entry, dropped, reason := w.queue.Push(now, attributes, w)
	if dropped != nil {
		dropped.Value.result <- waitResult{reason: verdict.Overloaded}
	}
	if reason == verdict.DeadlineTooShort && attributes.Deadline.Equal(now.Add(d.settings.QueueTimeout)) {
		// The estimated wait exceeds the queue timeout, not the caller's deadline.
		reason = verdict.Overloaded
	}
	return entry, nil, reason
}

// describeWaiter returns the team, weight and deadline by which the queue orders the call.
func (d *Dispatcher) describeWaiter(ctx context.Context, now time.Time, j *job) endpoint.Waiter {
	deadline := now.Add(d.settings.QueueTimeout)
	if callDeadline, ok := ctx.Deadline(); ok && callDeadline.Before(deadline) {
		deadline = callDeadline
	}
	waiter := endpoint.Waiter{Team: j.call.Team, Deadline: deadline}
	if d.configuration != nil {
		waiter.Weight = d.configuration.Teams[j.call.Team].Limits.Weight
	}
	return waiter
}

// abandonWait removes a call from its queue and returns the refusal. If a slot was assigned in the meantime,
// abandonWait frees it.
func (d *Dispatcher) abandonWait(j *job, entry *endpoint.Entry[*waiter], refusal *verdict.Refusal) *verdict.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.serviceLocked(j.route.Service)
	if entry.Value.queue.Remove(entry) {
		return refusal
	}
	select {
	case result := <-entry.Value.result:
		if result.peer != nil {
			d.freeSlotLocked(result.peer, j)
			d.assignQueuedLocked(s)
		}
	default:
		// The queue discarded the entry because its deadline had passed.
	}
	return refusal
}

// refusalLocked returns why no endpoint can get a call of a model, and an empty reason if one can that is not ejected; it may be full.
// refusalLocked also starts the probes of ejected endpoints that are due.
func (d *Dispatcher) refusalLocked(now time.Time, s *service, model string, policy *locality.Policy) verdict.Reason {
	isUsable := false
	peers := s.eligibleOrAllPeers(model)
	for _, p := range peers {
		d.startDueProbeLocked(now, p)
		isUsable = isUsable || !p.health.Ejected() && policy.Allows(*p.place.Load())
	}
	if isUsable {
		return ""
	}
	return cmp.Or(refusePlaces(policy, peers), policy.Exhausted())
}

// reserveLocked selects an endpoint and reserves a slot there, preferably at an endpoint that has not failed this call
// before. reserveLocked returns nil if no endpoint has a free slot for the call.
func (d *Dispatcher) reserveLocked(now time.Time, s *service, j *job) *peer {
	p := d.choosePeerLocked(now, s, j, j.triedPeers)
	if p == nil && len(j.triedPeers) > 0 {
		p = d.choosePeerLocked(now, s, j, nil)
	}
	if p == nil {
		return nil
	}
	p.inFlight++
	p.load.hadRequests = true
	j.isSuspect = d.quarantine.IsSuspect(now, j.call.Fingerprint)
	if j.isSuspect {
		p.suspectsInFlight++
	}
	return p
}

func (d *Dispatcher) choosePeerLocked(now time.Time, s *service, j *job, excluded []*peer) *peer {
	isSuspect := d.quarantine.IsSuspect(now, j.call.Fingerprint)
	s.candidates, s.candidatePeers = s.candidates[:0], s.candidatePeers[:0]
	policy, err := j.policy()
	if err != nil {
		return nil
	}
	for _, p := range allowed(&policy, s.eligibleOrAllPeers(j.route.Model)) {
		if !p.health.Available() || isSuspect && p.suspectsInFlight > 0 || slices.Contains(excluded, p) {
			continue
		}
		s.candidates = append(s.candidates, p.candidate(now))
		s.candidatePeers = append(s.candidatePeers, p)
	}
	prefix := uint64(0)
	if j.call.Model != nil {
		prefix = j.call.Model.PrefixHash
	}
	i, ok := d.settings.Policy.Choose(s.candidates, prefix, randomSource{})
	if !ok {
		return nil
	}
	return s.candidatePeers[i]
}

// freeSlotLocked frees the slot that an attempt occupied at an endpoint.
func (d *Dispatcher) freeSlotLocked(p *peer, j *job) {
	p.inFlight--
	if j.isSuspect {
		p.suspectsInFlight--
		j.isSuspect = false
	}
}

// release applies the outcome of an attempt, frees its slot and assigns free capacity to queued calls.
func (d *Dispatcher) release(p *peer, j *job, out outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyOutcomeLocked(p, j, out)
	d.freeSlotLocked(p, j)
	d.assignQueuedLocked(d.serviceLocked(p.service))
}

// applyOutcomeLocked updates the endpoint's health and concurrency limit and the quarantine after an attempt.
func (d *Dispatcher) applyOutcomeLocked(p *peer, j *job, out outcome) {
	now := time.Now()
	if out.isEndpointError {
		d.observeLocked(p, &endpoint.Errored{Request: j.call.Fingerprint})
		return
	}
	if out.cause == nil {
		d.quarantine.RecordCompletion(j.call.Fingerprint)
		if !j.call.isStreaming() {
			// The duration of a response without streaming depends on its content and does not indicate a queue at
			// the endpoint, so the latency is given as zero.
			p.limit.Observe(now, 0, p.inFlight)
		}
		d.observeLocked(p, &endpoint.Answered{})
		return
	}
	if out.reason == verdict.EndpointRefused {
		p.limit.ObserveRefusal(now, now.Sub(out.startedAt))
		d.observeLocked(p, &endpoint.Answered{})
		return
	}
	if out.failureKind == "" {
		return
	}
	if out.failureKind == endpoint.Unresponsive {
		p.resetConnections()
	}
	if out.isInterrupted {
		p.interrupted = append(p.interrupted, j.call.Fingerprint)
	}
	d.observeLocked(p, &endpoint.Failed{Kind: out.failureKind, StartedAt: out.startedAt})
	if out.isInterrupted && p.health.Ejected() {
		d.handleCrashLocked(now, p)
	}
}

// recordFirstByte adapts the concurrency limit to the time to the first event of a stream, minus the time that the
// length of the prompt explains.
func (d *Dispatcher) recordFirstByte(p *peer, call *Call, latency time.Duration) {
	latency -= time.Duration(call.Model.PromptBound) * latencyPerPromptByte
	d.mu.Lock()
	defer d.mu.Unlock()
	p.limit.Observe(time.Now(), max(latency, time.Millisecond), p.inFlight)
}

// assignQueuedLocked assigns free slots of a service to its queued calls, and refuses the calls of a queue whose
// endpoints are all ejected.
func (d *Dispatcher) assignQueuedLocked(s *service) {
	now := time.Now()
	for key, q := range s.queues {
		d.assignQueueLocked(now, s, key.model, q)
	}
}

func (d *Dispatcher) assignQueueLocked(now time.Time, s *service, model string, q *endpoint.Queue[*waiter]) {
	for q.Len() > 0 {
		if d.refusalLocked(now, s, model, &locality.Policy{}) != "" {
			refuseQueued(now, q)
			return
		}
		if !hasCapacity(now, s.eligibleOrAllPeers(model)) {
			return
		}
		entry, ok := q.Pop(now)
		if !ok {
			return
		}
		// The regions and the evacuations may have changed while the call waited.
		policy, err := entry.Value.job.policy()
		if err != nil {
			entry.Value.result <- waitResult{reason: verdict.RegionsDisjoint}
			continue
		}
		if reason := d.refusalLocked(now, s, model, &policy); reason != "" {
			entry.Value.result <- waitResult{reason: reason}
			continue
		}
		p := d.reserveLocked(now, s, entry.Value.job)
		if p == nil {
			// The call may use none of the free slots, for example because it is suspected of crashing endpoints and
			// another suspect is in flight at each endpoint with a free slot.
			q.Requeue(entry)
			return
		}
		entry.Value.result <- waitResult{peer: p}
	}
}

func refuseQueued(now time.Time, q *endpoint.Queue[*waiter]) {
	for {
		entry, ok := q.Pop(now)
		if !ok {
			return
		}
		entry.Value.result <- waitResult{reason: verdict.NoEndpoint}
	}
}

func hasCapacity(now time.Time, peers []*peer) bool {
	for _, p := range peers {
		c := p.candidate(now)
		if p.health.Available() && c.HasRoom() {
			return true
		}
	}
	return false
}
