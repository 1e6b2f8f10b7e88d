package cold

import (
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// RecordEntries records the entries that a router has read. Those of a snapshot are all that exist; in the first one, endpoints that haven't
// been seen before are not taken for new.
func (t *Tracker) RecordEntries(a endpoint.EntryArrival, entries []site.Endpoint, isSnapshot bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	former := t.processes
	if isSnapshot {
		t.processes = make(map[string]int64, len(entries))
	}
	for i := range entries {
		startedAt, isKnown := former[entries[i].Name]
		isReturn := isKnown && startedAt != entries[i].StartedAt || !isKnown && t.hasEntries
		t.recordEntryLocked(a, &entries[i], isReturn)
	}
	t.hasEntries = true
	for name, s := range t.endpoints {
		t.updateLocked(a.ReadAt, name, s)
	}
}

// recordEntryLocked records an entry. isReturn reports whether it is the first one, or the first one after a removal or by another process: the
// endpoint is presumed to be cold unless the entry says whether it is.
func (t *Tracker) recordEntryLocked(a endpoint.EntryArrival, e *site.Endpoint, isReturn bool) {
	t.processes[e.Name] = e.StartedAt
	isReturn = isReturn && !e.NamesCold
	if t.endpoints[e.Name] == nil && e.ColdFor == 0 && !isReturn {
		return
	}
	s := t.stateLocked(e.Name, e.Service)
	if e.NamesCold {
		wasLost := s.cold.IsLost()
		s.cold.RecordEntry(a, e.StartedAt, e.ColdFor)
		if wasLost && !s.cold.IsLost() {
			t.lost.Add(-1)
		}
	}
	if isReturn {
		s.cold.Presume(a.ReadAt, endpoint.ColdAfterReturn, t.services[e.Service].ColdTime)
	}
}

// RecordRemoval records that an endpoint's entry was removed.
func (t *Tracker) RecordRemoval(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.processes, name)
	if s := t.endpoints[name]; s != nil {
		t.forgetLossLocked(s)
	}
}

func (t *Tracker) forgetLossLocked(s *state) {
	if s.cold.IsLost() {
		t.lost.Add(-1)
		s.cold.ForgetLoss()
	}
}

// RecordAnswer records that an answer of an endpoint states for how much longer it is cold.
func (t *Tracker) RecordAnswer(now time.Time, e *site.Endpoint, coldFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endpoints[e.Name] == nil && coldFor == 0 {
		return
	}
	s := t.stateLocked(e.Name, e.Service)
	s.cold.RecordAnswer(now, coldFor)
	t.updateLocked(now, e.Name, s)
}

// RecordLoss records that a connection to an endpoint was refused or reset.
func (t *Tracker) RecordLoss(now time.Time, service, name string) {
	if !t.isUsed.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, isRated := t.services[service]; !isRated {
		return
	}
	s := t.stateLocked(name, service)
	if !s.cold.IsLost() {
		t.lost.Add(1)
	}
	s.cold.RecordLoss(now)
}

// RecordData records that data arrived on a connection that was opened at a time, so that a process which was there then hasn't ended.
func (t *Tracker) RecordData(now, openedAt time.Time, name string) {
	if t.lost.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.endpoints[name]; s != nil {
		t.recordConnectionLocked(now, openedAt, name, s)
	}
}

// recordConnectionLocked records a connection that works. After a loss, the endpoint is presumed to be cold.
func (t *Tracker) recordConnectionLocked(now, openedAt time.Time, name string, s *state) {
	if !s.cold.IsLost() {
		return
	}
	t.lost.Add(-1)
	s.cold.RecordConnection(now, openedAt, t.services[s.service].ColdTime)
	t.updateLocked(now, name, s)
}

// ForgetLosses records that this router was cut off from the endpoints of a service, so that none of them was lost.
func (t *Tracker) ForgetLosses(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.endpoints {
		if s.service == service {
			t.forgetLossLocked(s)
		}
	}
}

// RecordEvacuationEnd presumes that endpoints are cold because the evacuation of their availability zone ends.
func (t *Tracker) RecordEvacuationEnd(now time.Time, listed []site.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range listed {
		e := &listed[i]
		service, isRated := t.services[e.Service]
		if !isRated {
			continue
		}
		s := t.stateLocked(e.Name, e.Service)
		s.cold.Presume(now, endpoint.ColdAfterEvacuation, service.ColdTime)
		t.updateLocked(now, e.Name, s)
	}
}
