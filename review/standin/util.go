package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }

// tallyInterval is the interval at which a tally is recorded.
const tallyInterval = 5 * time.Second

// tally counts requests and their answers, which are recorded together.
type tally struct {
	site *site
	name string

	mu      sync.Mutex
	sent    int
	answers map[string]int
}

// send sends a request and counts it.
func (t *tally) send(a *attempt, address string) {
	t.mu.Lock()
	t.sent++
	t.mu.Unlock()
	a.send(address)
	outcome := fmt.Sprint(a.status)
	switch {
	case a.status == 0:
		outcome = "no answer"
	case !a.isComplete:
		outcome += " cut off"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answers == nil {
		t.answers = map[string]int{}
	}
	t.answers[outcome]++
}

func (t *tally) run() {
	for t.site.ctx.Err() == nil {
		time.Sleep(tallyInterval)
		t.report()
	}
}

// report records the counts since the start, with the runs of all runners.
func (t *tally) report() {
	runs := len(t.site.allRuns())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.site.record("%s so far: %d sent, answers %v; %d runs of all requests", t.name, t.sent, t.answers, runs)
}
