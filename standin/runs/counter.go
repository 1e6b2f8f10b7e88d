// Package runs counts how often an endpoint ran the request of each Idempotency-Key.
package runs

import (
	"cmp"
	"net/http"
	"slices"
	"sync"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// Header names the request of a run.
const Header = "Idempotency-Key"

// Run says what happened to the requests with one key.
type Run struct {
	Key string
	// Started counts the runs that began, Finished those whose answer was written to its end.
	Started  int
	Finished int
	// Tokens is the usage of all runs together, prompts included.
	Tokens int64
}

// Counter counts runs by key. The zero value is empty.
type Counter struct {
	mutex sync.Mutex
	runs  map[string]*Run
}

// Start counts the beginning of a run and returns how many there were before.
func (c *Counter) Start(key string) int {
	before := 0
	c.update(key, func(r *Run) {
		before = r.Started
		r.Started++
	})
	return before
}

// End counts the usage of a run and whether its answer was written to its end.
func (c *Counter) End(key string, tokens int64, finished bool) {
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

// Runs returns what was counted, in the order of keys.
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

// ServeHTTP answers with what was counted.
func (c *Counter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, struct{ Runs []Run }{c.Runs()})
}
