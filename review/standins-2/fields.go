package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// fieldCount is the number of short header fields of a request, which take 15,750 bytes on the wire.
	fieldCount = 2_250
	// fieldClients is the number of clients at each of two machines, fieldTime how long they send one request after the other.
	fieldClients = 280
	fieldTime    = 20 * time.Second
)

// shortFields returns header fields of one letter each under names of three.
func shortFields(count int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var fields strings.Builder
	for i := range count {
		fmt.Fprintf(&fields, "%c%c%c:1\r\n", letters[i/676%26], letters[i/26%26], letters[i%26])
	}
	return fields.String()
}

// playFields checks Fault: many clients at once send requests whose heads are of legal size, but made of very many short fields.
func playFields(l *lab) (bool, error) {
	const headerBytes, events = 16_384, 100
	l.configure(1, []map[string]any{
		{"name": "portrait-brief", "host": "lab.example", "path-prefix": "/brief/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 800, "target-gap-ms": 250, "priority": 1, "max-attempts": 1, "sticky": true, "service": "brush-llm"},
	}, []map[string]any{{"name": "brush-llm", "health-path": "/health", "max-connections": 360,
		"engine-kind": map[string]any{"slot-count": 64, "kv-capacity-tokens": 490530, "stride": 5}}})
	zones := []string{"luzon-a", "visayas-a", "mindanao-a"}
	for i := range 9 {
		r, err := newRunner(l.store, "brush-llm", i, zones[i%3])
		if err != nil {
			return false, err
		}
		r.slots, r.events, r.step, r.work = 64, events, 1, 50*time.Millisecond
		r.inSlots = make(chan struct{}, r.slots)
		l.runners = append(l.runners, r)
		go r.beat()
	}
	if err := l.startMachines(3); err != nil {
		return false, err
	}
	watch := newMemoryWatch(l)
	time.Sleep(contactTime)
	fields := ""
	if l.hasTrouble {
		fields = shortFields(fieldCount)
	}
	l.note("each request has %d bytes of short header fields; %d bytes are allowed for all", len(fields), headerBytes)
	end, open := time.Now().Add(fieldTime), &sync.WaitGroup{}
	for i, m := range l.machines[:2] {
		for n := range fieldClients {
			k := &request{
				kind: "portrait-brief", method: http.MethodPost, path: "/brief/7", deadline: 15 * time.Second,
				headers: fmt.Sprintf("Model: m\r\nToken-Counts: 6610,500\r\nPrompt-Prefix: 5c1e07a2:5000,%06x:1610\r\n", i*fieldClients+n) + fields,
			}
			open.Add(1)
			go func() {
				defer open.Done()
				for time.Now().Before(end) {
					if c := l.clients.send(m, k); c.status != http.StatusOK {
						time.Sleep(2 * time.Second)
					}
				}
			}()
		}
	}
	open.Wait()
	l.summarize()
	return watch.judge(), nil
}
