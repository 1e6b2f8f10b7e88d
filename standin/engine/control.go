package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// Load is a load report of the engine. It is at least Settings.LoadLag old when it is served.
type Load struct {
	// At is the time of the measurement.
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

func (e *Engine) registerControl(router chi.Router) {
	router.Get("/runs", e.Runs.ServeHTTP)
	router.Get("/load", func(w http.ResponseWriter, _ *http.Request) {
		var load Load
		e.withLock(func() { load = e.publishedLoad })
		serve.WriteJSON(w, http.StatusOK, load)
	})
	router.Get("/orders", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, struct{ Orders []Order }{e.Orders()})
	})
	router.Post("/orders", e.handleOrder)
	router.Get("/state", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, e.State()) })
	router.Post("/lose-order-answers", serve.ControlHandler(func(q *serve.Query) func() {
		count := q.Int("Count")
		return func() { e.DropOrderAnswers(count) }
	}))
	router.Post("/silence", e.Faults.HandleSilence)
	router.Post("/close-reused", e.Faults.HandleCloseReused)
	router.Post("/slow", serve.ControlHandler(func(q *serve.Query) func() {
		factor := q.Float("Factor")
		return func() { e.SetSlowFactor(factor) }
	}))
	router.Post("/crash-marker", serve.ControlHandler(func(q *serve.Query) func() {
		word := q.Values.Get("Word")
		return func() { e.withLock(func() { e.CrashMarker = word }) }
	}))
}

// SetSlowFactor sets the factor by which every delay is multiplied.
func (e *Engine) SetSlowFactor(factor float64) {
	e.once.Do(e.initialize)
	e.withLock(func() { e.slowFactor = factor })
}

// publishLoad measures the load once per LoadLag and publishes each measurement one period later, so that every report is at
// least LoadLag old.
func (e *Engine) publishLoad(ctx context.Context) {
	e.once.Do(e.initialize)
	ticker := time.NewTicker(e.LoadLag)
	defer ticker.Stop()
	measured := e.measureLoad()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.withLock(func() { e.publishedLoad = measured })
			measured = e.measureLoad()
		}
	}
}

// Start publishes load reports in the background until the context is done.
func (e *Engine) Start(ctx context.Context) { go e.publishLoad(ctx) }

func (e *Engine) measureLoad() Load {
	blocks, hits, lookups := e.cache.stats()
	models := e.servedNames()
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
		Models:       models,
		Role:         e.role,
	}
}
