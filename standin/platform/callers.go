package platform

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// callers are the faults between named callers and the platform. A process belongs to the caller that the beginning of
// its base URL names, such as http://127.0.0.1:19000/callers/luzon-a for all routers of a region. The zero value has
// no faults.
type callers struct {
	mutex  sync.Mutex
	faults map[string]*memory.Faults
}

// control registers the paths that switch the faults of a caller.
func (c *callers) control(router chi.Router) {
	router.Post("/outage", c.change(outage))
	router.Post("/delay", c.change(delay))
}

// change returns a handler that switches a fault of the caller that the path names.
func (c *callers) change(fault func(*memory.Faults) http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { fault(c.of(r))(w, r) }
}

// of returns the faults of the caller that a request's path names.
func (c *callers) of(r *http.Request) *memory.Faults {
	name := chi.URLParam(r, "caller")
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.faults == nil {
		c.faults = make(map[string]*memory.Faults)
	}
	if c.faults[name] == nil {
		c.faults[name] = &memory.Faults{}
	}
	return c.faults[name]
}

// handler lets the calls of a caller through as its faults allow.
func (c *callers) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := c.of(r).Enter(r.Context()); err != nil {
			serve.WriteError(w, http.StatusServiceUnavailable, fmt.Errorf("caller %s: %w", chi.URLParam(r, "caller"), err))
			return
		}
		next.ServeHTTP(w, r)
	})
}
