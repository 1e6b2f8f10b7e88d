package main

import (
	"net/http"
	"sync"
	"time"
)

// playGrey checks REFUSED: one runner fails part of its requests while all else is well. It has begun to work on them, and answers
// 503 without Not-Executed. No client may be told by a 503 that a request that has run has not.
func playGrey(l *lab) (bool, error) {
	const share, greyTime = 0.4, 6500 * time.Millisecond
	l.configure(1, []map[string]any{
		{"name": "deposit-confirm", "host": "lab.example", "path-prefix": "/deposit/", "kind": "non_idempotent", "timeout-ms": 1000, "target-latency-ms": 200, "priority": 2, "max-attempts": 1, "service": "atelier-app"},
	}, []map[string]any{{"name": "atelier-app", "health-path": "/health", "max-connections": 96}})
	zones := []string{"luzon-a", "visayas-a", "mindanao-a"}
	for i := range 3 {
		r, err := newRunner(l.store, "atelier-app", i, zones[i])
		if err != nil {
			return false, err
		}
		l.runners = append(l.runners, r)
		go r.beat()
	}
	if err := l.startMachines(6); err != nil {
		return false, err
	}
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	done.Add(1)
	go l.clients.load(&request{kind: "deposit-confirm", method: http.MethodPost, path: "/deposit/7", deadline: 2 * time.Second}, 67*time.Millisecond, stop, done)
	time.Sleep(5 * time.Second)
	grey := l.runners[0]
	if l.hasTrouble {
		grey.setFailures(share, http.StatusServiceUnavailable)
		l.note("%s fails %.1f of its requests after it has run them", grey.name, share)
	}
	time.Sleep(greyTime)
	grey.setFailures(0, 0)
	time.Sleep(2 * time.Second)
	close(stop)
	done.Wait()
	l.summarize()
	ran := make(map[string]arrival)
	for _, a := range l.arrivals() {
		if a.ran {
			ran[a.id] = a
		}
	}
	refused := 0
	for _, c := range l.clients.snapshot() {
		a, hasRun := ran[c.id]
		if !hasRun || c.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		l.noteAt(c.endedAt, "BROKEN: %s was answered %d by %s and has run on %s", c.id, c.status, c.machine, a.runner)
	}
	l.note("%d requests that aren't idempotent were answered 503 and have run", refused)
	return refused > 0, nil
}
