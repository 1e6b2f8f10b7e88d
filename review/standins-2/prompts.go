package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// ownTokens are the tokens of a prompt that no other request has: twice the mean of portrait-brief, a quarter of its most.
	// blockTokens are those of a block of an engine's memory, as in the site file.
	ownTokens, blockTokens = 13_220, 16
	// promptInterval is the interval between two requests: 100 a second, the 59.3 of the sheet in a burst of 1.7 times.
	promptInterval = 10 * time.Millisecond
	promptTime     = 90 * time.Second
)

// promptPrefix returns the parts of a prompt that begins with two shared ones. Its own tokens are one part, or parts of one block each.
func promptPrefix(inBlocks bool) string {
	document := rand.IntN(60)
	prefix := fmt.Sprintf("%08x:512,%08x:4870", document%3, 16+document)
	if !inBlocks {
		return prefix + fmt.Sprintf(",%08x:%d", rand.Uint32(), ownTokens)
	}
	var own strings.Builder
	for left := ownTokens; left > 0; left -= blockTokens {
		fmt.Fprintf(&own, ",%08x:%d", rand.Uint32(), min(left, blockTokens))
	}
	return prefix + own.String()
}

// playPrompts checks Fault: a burst of long prompts, whose own parts are listed block by block. With TROUBLE=0 the same prompts come
// with their own part in one piece.
func playPrompts(l *lab) (bool, error) {
	const events = 10
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
		r.slots, r.events, r.step, r.work = 64, events, 1, 5*time.Millisecond
		l.runners = append(l.runners, r)
		go r.beat()
	}
	if err := l.startMachines(2); err != nil {
		return false, err
	}
	watch := newMemoryWatch(l)
	time.Sleep(contactTime)
	l.note("a prompt's parts take %d bytes of the head; 16384 are allowed for all fields", len(promptPrefix(l.hasTrouble)))
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	done.Add(1)
	go l.clients.loadEach(func() *request {
		return &request{
			kind: "portrait-brief", method: http.MethodPost, path: "/brief/7", deadline: 15 * time.Second,
			headers: "Model: m\r\nToken-Counts: 18602,380\r\nPrompt-Prefix: " + promptPrefix(l.hasTrouble) + "\r\n",
		}
	}, promptInterval, stop, done)
	for range int(promptTime / (5 * time.Second)) {
		time.Sleep(5 * time.Second)
		for _, m := range l.machines {
			l.note("%s has %d MB after %d requests of all", m.name, residentBytes(m.pid())>>20, l.clients.count())
		}
	}
	close(stop)
	done.Wait()
	l.summarize()
	return watch.judge(), nil
}
