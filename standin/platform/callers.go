package platform

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// callers are the faults between named callers and the platform. A process belongs to the caller that the beginning of
// its base URL names, such as http://127.0.0.1:19000/callers/luzon-a for all routers of a region. The zero value has
// no faults.
type callers struct {
	mutex  sync.Mutex
	faults map[string]callerFault
}

// callerFault is what happens to the calls of one caller.
type callerFault struct {
	outage      bool
	outageUntil time.Time
	delay       time.Duration
}

// control registers the paths that switch the faults of a caller.
func (c *callers) control(router chi.Router) {
	router.Post("/outage", c.change(func(q *serve.Query, fault *callerFault) {
		fault.outage, fault.outageUntil = q.Bool("On"), time.Now().Add(q.Duration("For"))
	}))
	router.Post("/delay", c.change(func(q *serve.Query, fault *callerFault) { fault.delay = q.Duration("Duration") }))
}

// change reads the parameters into the fault of the caller that the path names.
func (c *callers) change(read func(*serve.Query, *callerFault)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := chi.URLParam(r, "caller")
		serve.Control(func(q *serve.Query) func() {
			fault := c.fault(name)
			read(q, &fault)
			return func() { c.set(name, fault) }
		})(w, r)
	}
}

func (c *callers) fault(name string) callerFault {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.faults[name]
}

func (c *callers) set(name string, fault callerFault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.faults == nil {
		c.faults = make(map[string]callerFault)
	}
	c.faults[name] = fault
}

// handler lets the calls of a caller through as its faults allow.
func (c *callers) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := chi.URLParam(r, "caller")
		select {
		case <-time.After(c.fault(name).delay):
		case <-r.Context().Done():
		}
		if fault := c.fault(name); fault.outage || time.Now().Before(fault.outageUntil) {
			serve.WriteError(w, http.StatusServiceUnavailable, fmt.Errorf("caller %s: %w", name, errCutOff))
			return
		}
		next.ServeHTTP(w, r)
	})
}

var errCutOff = errors.New("cut off from the platform")
