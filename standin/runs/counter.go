// Package runs counts how many times an endpoint ran the request with each Idempotency-Key.
package runs

import (
	"cmp"
	"net/http"
	"slices"
	"sync"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// Header is the HTTP header with the idempotency key.
const Header = "Idempotency-Key"

// Run holds the counts of all runs with one key.
type Run struct {
	Key string
	// Started is the number of runs that began, Finished the number of runs whose answer was written completely.
	Started  int
	Finished int
	// Tokens is the total usage of all runs, including prompts.
	Tokens int64
}

// Counter counts runs by idempotency key. The zero value is an empty counter.
type Counter struct {
	mutex sync.Mutex
	runs  map[string]*Run
}

// Start counts the start of a run and returns the number of earlier runs with the key.
func (c *Counter) Start(key string) int {
	before := 0
	c.update(key, func(r *Run) {
		before = r.Started
		r.Started++
	})
	return before
}

// Finish adds the usage of a run, and counts the run as finished if its answer was written completely.
func (c *Counter) Finish(key string, tokens int64, finished bool) {
	c.update(key, func(r *Run) {
		r.Tokens += tokens
		if finished {
			r.Finished++
		}
	})
}

func (c *Counter) update(key string, change func(*Run)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.runs == nil {
		c.runs = make(map[string]*Run)
	}
	r := c.runs[key]
	if r == nil {
		r = &Run{Key: key}
		c.runs[key] = r
	}
	change(r)
}

// Runs returns the counts of all keys, sorted by key.
func (c *Counter) Runs() []Run {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counted := make([]Run, 0, len(c.runs))
	for _, r := range c.runs {
		counted = append(counted, *r)
	}
	slices.SortFunc(counted, func(a, b Run) int { return cmp.Compare(a.Key, b.Key) })
	return counted
}

// ServeHTTP answers with the counts of all keys as JSON.
func (c *Counter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, struct{ Runs []Run }{c.Runs()})
}
