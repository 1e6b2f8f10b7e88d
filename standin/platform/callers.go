package platform

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// callerFaults holds network faults per caller of the platform. A process chooses its caller name through its base URL, such
// as http://127.0.0.1:19000/callers/luzon-a for all routers of a region. The zero value has no faults.
type callerFaults struct {
	mutex  sync.Mutex
	faults map[string]*memory.Faults
}

// registerControl registers the control paths that set the faults of a caller.
func (c *callerFaults) registerControl(router chi.Router) {
	router.Post("/outage", c.handle(controlOutage))
	router.Post("/delay", c.handle(controlDelay))
}

// handle returns a handler that sets a fault of the caller named in the request path.
func (c *callerFaults) handle(fault func(*memory.Faults) http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { fault(c.faultsOf(r))(w, r) }
}

// faultsOf returns the faults of the caller named in the request path.
func (c *callerFaults) faultsOf(r *http.Request) *memory.Faults {
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

// middleware applies the faults of the caller to its requests. It answers with status 503 during an outage.
func (c *callerFaults) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := c.faultsOf(r).Apply(r.Context()); err != nil {
			serve.WriteError(w, http.StatusServiceUnavailable, fmt.Errorf("caller %s: %w", chi.URLParam(r, "caller"), err))
			return
		}
		next.ServeHTTP(w, r)
	})
}
