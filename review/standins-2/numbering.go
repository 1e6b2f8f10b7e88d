package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// playNumbering checks LOST around a planned stop. The ids of the runners' events increase by the tokens that an event holds.
func playNumbering(l *lab) (bool, error) {
	const events, step = 20, 5
	l.configure(1, []map[string]any{
		{"name": "portrait-brief", "host": "lab.example", "path-prefix": "/brief/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 800, "target-gap-ms": 250, "priority": 1, "max-attempts": 1, "sticky": true, "service": "brush-llm"},
	}, []map[string]any{{"name": "brush-llm", "health-path": "/health", "max-connections": 360,
		"engine-kind": map[string]any{"slot-count": 64, "kv-capacity-tokens": 490530, "stride": step}}})
	zones := []string{"luzon-a", "visayas-a", "mindanao-a"}
	for i := range 9 {
		r, err := newRunner(l.store, "brush-llm", i, zones[i%3])
		if err != nil {
			return false, err
		}
		r.slots, r.events, r.step, r.work = 64, events, step, 15*time.Millisecond
		l.runners = append(l.runners, r)
		go r.beat()
	}
	if err := l.startMachines(3); err != nil {
		return false, err
	}
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	done.Add(1)
	go l.clients.load(&request{
		kind: "portrait-brief", method: "POST", path: "/brief/7", deadline: 15 * time.Second,
		headers: "Model: m\r\nToken-Counts: 1460,100\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
	}, 62*time.Millisecond, stop, done)
	time.Sleep(12 * time.Second)
	stopped := l.machines[0]
	var stoppedAt time.Time
	if l.hasTrouble {
		stoppedAt = time.Now()
		stopped.signal(syscall.SIGTERM)
		l.noteAt(stoppedAt, "SIGTERM to %s", stopped.name)
	}
	time.Sleep(graceTime + 3*time.Second)
	close(stop)
	done.Wait()
	l.summarize()
	reached := make(map[string]arrival)
	for _, a := range l.arrivals() {
		if a.ran {
			reached[a.id] = a
		}
	}
	cut := 0
	for _, c := range l.clients.snapshot() {
		a, wasPassedOn := reached[c.id]
		isAround := l.hasTrouble && c.machine == stopped.name && !c.endedAt.Before(stoppedAt) && c.endedAt.Before(stoppedAt.Add(graceTime+time.Second))
		isServed := c.status == 200 && c.isWhole && c.seal == seal(c.id) && c.body == eventsOf(c.id, events, step, 0)
		if !isAround || !wasPassedOn || isServed || c.isWhole {
			continue
		}
		cut++
		l.noteAt(c.endedAt, "BROKEN: %s was passed on to %s and its channel ended after %d of %d events (%s), %.3f s after the SIGTERM of %s",
			c.id, a.runner, strings.Count(c.body, "data: "), events, c.failure, c.endedAt.Sub(stoppedAt).Seconds(), c.machine)
	}
	l.note("%d requests that were passed on were cut around the planned stop; %s was started %d times", cut, stopped.name, stopped.startCount())
	return cut > 0, nil
}
