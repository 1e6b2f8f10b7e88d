package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// playWhole checks BUDGET: a version of the config adds a route on which the model runners answer in one piece.
func playWhole(l *lab) (bool, error) {
	const promptTokens, outputTokens, prepaid, events, step = 40, 400, 40_000, 80, 5
	brief := map[string]any{"name": "portrait-brief", "host": "lab.example", "path-prefix": "/brief/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 800, "target-gap-ms": 250, "priority": 1, "max-attempts": 1, "sticky": true, "service": "brush-llm"}
	whole := map[string]any{"name": "photo-tagging", "host": "lab.example", "path-prefix": "/whole/", "kind": "idempotent", "timeout-ms": 3000, "target-latency-ms": 400, "priority": 2, "max-attempts": 1, "sticky": true, "service": "brush-llm"}
	services := []map[string]any{{"name": "brush-llm", "health-path": "/health", "max-connections": 360,
		"engine-kind": map[string]any{"slot-count": 64, "kv-capacity-tokens": 490530, "stride": step}}}
	tenant := map[string]any{"name": "studio", "api-keys": []string{"key-of-studio"}, "prepaid-tokens": prepaid}
	l.configureTenant(1, []map[string]any{brief}, services, tenant)
	zones := []string{"luzon-a", "visayas-a", "mindanao-a"}
	for i := range 9 {
		r, err := newRunner(l.store, "brush-llm", i, zones[i%3])
		if err != nil {
			return false, err
		}
		r.slots, r.events, r.step, r.work, r.answersWhole = 64, events, 1, 2*time.Millisecond, true
		l.runners = append(l.runners, r)
		go r.beat()
	}
	if err := l.startMachines(3); err != nil {
		return false, err
	}
	path := "/brief/7"
	if l.hasTrouble {
		l.configureTenant(3, []map[string]any{brief, whole}, services, tenant)
		path = "/whole/7"
	}
	time.Sleep(3 * time.Second)
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	done.Add(1)
	go l.clients.load(&request{
		kind: "tagging", method: http.MethodPost, path: path, deadline: 3 * time.Second,
		headers: "Model: m\r\nToken-Counts: 40,400\r\nPrompt-Prefix: 5c1e07a2:30,e4402b7d:10\r\n",
	}, 50*time.Millisecond, stop, done)
	time.Sleep(20 * time.Second)
	close(stop)
	done.Wait()
	l.summarize()
	ran := make(map[string]bool)
	for _, a := range l.arrivals() {
		ran[a.id] = ran[a.id] || a.ran
	}
	used := 0
	for _, c := range l.clients.snapshot() {
		if ran[c.id] {
			used += promptTokens + strings.Count(c.body, "token ") + step*strings.Count(c.body, "data: ")
		}
	}
	l.note("the tenant got %d of %d prepaid tokens", used, prepaid)
	return used > prepaid, nil
}
