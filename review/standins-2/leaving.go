package main

import (
	"sync"
	"time"
)

// playLeaving checks DRAIN: the open channels of the machines to the store go silent for good, and a runner leaves soon after. The
// store itself is well all the while. Once the channels' loss is over by contactTime, no machine may send the runner anything
// later than drainTime after its entry was removed.
func playLeaving(l *lab) (bool, error) {
	// lead is the time from the loss of the channels until the runner leaves, linger how much longer than drainTime it serves.
	const lead, linger = 300 * time.Millisecond, 1500 * time.Millisecond
	l.configure(1, []map[string]any{
		{"name": "deposit-confirm", "host": "lab.example", "path-prefix": "/deposit/", "kind": "non_idempotent", "timeout-ms": 1000, "target-latency-ms": 200, "priority": 2, "max-attempts": 1, "service": "atelier-app"},
		{"name": "order-status", "host": "lab.example", "path-prefix": "/status/", "kind": "idempotent", "timeout-ms": 1000, "target-latency-ms": 200, "priority": 2, "max-attempts": 2, "service": "atelier-app"},
	}, []map[string]any{{"name": "atelier-app", "health-path": "/health", "max-connections": 96}, {"name": "brush-llm", "health-path": "/health", "max-connections": 360}})
	zones := []string{"luzon-a", "visayas-a", "mindanao-a"}
	for i := range 12 {
		service := "brush-llm"
		if i < 3 {
			service = "atelier-app"
		}
		r, err := newRunner(l.store, service, i, zones[i%3])
		if err != nil {
			return false, err
		}
		l.runners = append(l.runners, r)
		go r.beat()
		time.Sleep(heartbeatTime / 12)
	}
	if err := l.startMachines(6); err != nil {
		return false, err
	}
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	done.Add(2)
	go l.clients.load(&request{kind: "deposit-confirm", method: "POST", path: "/deposit/7", deadline: 2 * time.Second}, 25*time.Millisecond, stop, done)
	go l.clients.load(&request{kind: "order-status", method: "GET", path: "/status/7", deadline: 2 * time.Second}, 50*time.Millisecond, stop, done)
	time.Sleep(8 * time.Second)
	lostAt := time.Now()
	if l.hasTrouble {
		l.noteAt(lostAt, "%d open channels to the store go silent; new ones work", l.store.silenceChannels())
	}
	time.Sleep(time.Until(lostAt.Add(lead)))
	leaver := l.runners[0]
	leftAt := leaver.leave()
	l.noteAt(leftAt, "the store has removed the entry of %s; the runner serves on", leaver.name)
	inTouchFrom := lostAt.Add(contactTime)
	time.Sleep(time.Until(leftAt.Add(drainTime + linger)))
	leaver.exit()
	l.note("%s has exited", leaver.name)
	time.Sleep(time.Second)
	close(stop)
	done.Wait()
	l.summarize()
	sent := make(map[string]*call)
	for _, c := range l.clients.snapshot() {
		sent[c.id] = c
	}
	late := 0
	for _, a := range leaver.snapshot() {
		c := sent[a.id]
		if c == nil || !a.ran || !a.at.After(leftAt.Add(drainTime)) || !c.sentAt.After(inTouchFrom) {
			continue
		}
		late++
		l.noteAt(a.at, "BROKEN: %s reached %s %.3f s after the store had acknowledged that the runner is gone; sent to %s %.3f s after the channels were lost",
			a.id, a.runner, a.at.Sub(leftAt).Seconds(), c.machine, c.sentAt.Sub(lostAt).Seconds())
	}
	l.note("%d requests reached the runner later than drain-ms from machines in touch", late)
	return late > 0, nil
}
