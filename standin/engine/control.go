package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// Load is the engine's load as it was some time ago.
type Load struct {
	// At is when the load was measured.
	At           time.Time
	Running      int
	Queued       int
	Canceled     int
	Concurrency  int
	CacheBlocks  int
	CacheHits    int
	CacheLookups int
	Models       []string
	Role         string
}

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	LoadModel  OrderKind = "LoadModel"
	ChangeRole OrderKind = "ChangeRole"
)

// Order changes what an engine serves.
type Order struct {
	FencingNumber uint64
	Kind          OrderKind
	Model         string
	Role          string
}

func (e *Engine) control(router chi.Router) {
	router.Get("/runs", e.Runs.ServeHTTP)
	router.Get("/load", func(w http.ResponseWriter, _ *http.Request) {
		var load Load
		e.count(func() { load = e.reported })
		serve.WriteJSON(w, http.StatusOK, load)
	})
	router.Get("/orders", func(w http.ResponseWriter, _ *http.Request) {
		var orders []Order
		e.count(func() { orders = slices.Clone(e.orders) })
		serve.WriteJSON(w, http.StatusOK, struct{ Orders []Order }{orders})
	})
	router.Post("/orders", e.order)
	router.Post("/silence", e.Faults.Silence)
	router.Post("/close-reused", e.Faults.Close)
	router.Post("/slow", serve.Control(func(q *serve.Query) func() {
		factor := q.Float("Factor")
		return func() { e.SetSlow(factor) }
	}))
	router.Post("/crash-marker", serve.Control(func(q *serve.Query) func() {
		word := q.Values.Get("Word")
		return func() { e.count(func() { e.CrashMarker = word }) }
	}))
}

// SetSlow stretches every delay by a factor.
func (e *Engine) SetSlow(factor float64) {
	e.once.Do(e.start)
	e.count(func() { e.slow = factor })
}

// loop publishes the load of one period at the end of the next one, so that every report lags.
func (e *Engine) loop(ctx context.Context) {
	e.once.Do(e.start)
	ticker := time.NewTicker(e.LoadLag)
	defer ticker.Stop()
	measured := e.load()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.count(func() { e.reported = measured })
			measured = e.load()
		}
	}
}

// Start runs the engine's load reports until the context ends.
func (e *Engine) Start(ctx context.Context) { go e.loop(ctx) }

func (e *Engine) load() Load {
	blocks, hits, lookups := e.cache.counts()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return Load{
		At:           time.Now(),
		Running:      e.running,
		Queued:       e.queued,
		Canceled:     e.canceled,
		Concurrency:  e.Concurrency,
		CacheBlocks:  blocks,
		CacheHits:    hits,
		CacheLookups: lookups,
		Models:       slices.Clone(e.Models),
		Role:         e.role,
	}
}

// order carries out an order unless its fencing number is old and the engine checks it. The number is
// compared before the model is loaded and again before it is served.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	order := Order{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		serve.WriteError(w, http.StatusBadRequest, fmt.Errorf("decode order: %w", err))
		return
	}
	if order.Kind != LoadModel && order.Kind != ChangeRole {
		serve.WriteError(w, http.StatusBadRequest, fmt.Errorf("order %q is unknown", order.Kind))
		return
	}
	if err := e.admit(order); err != nil {
		serve.WriteError(w, http.StatusConflict, err)
		return
	}
	if order.Kind == LoadModel && e.wait(r.Context(), e.LoadModelDelay) != nil {
		return
	}
	if err := e.carryOut(order); err != nil {
		serve.WriteError(w, http.StatusConflict, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// admit records the order if its fencing number is not old.
func (e *Engine) admit(order Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.checkFencing(order); err != nil {
		return err
	}
	e.orders = append(e.orders, order)
	return nil
}

func (e *Engine) carryOut(order Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.checkFencing(order); err != nil {
		return err
	}
	switch order.Kind {
	case LoadModel:
		if !slices.Contains(e.Models, order.Model) {
			e.Models = append(e.Models, order.Model)
		}
	case ChangeRole:
		e.role = order.Role
	}
	return nil
}

func (e *Engine) checkFencing(order Order) error {
	if !e.ChecksFencing {
		return nil
	}
	for _, former := range e.orders {
		if former.FencingNumber > order.FencingNumber {
			return fmt.Errorf("fencing number %d is below %d", order.FencingNumber, former.FencingNumber)
		}
	}
	return nil
}
