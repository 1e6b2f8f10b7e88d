package engine

import (
	"context"
	"net/http"
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

func (e *Engine) control(router chi.Router) {
	router.Get("/runs", e.Runs.ServeHTTP)
	router.Get("/load", func(w http.ResponseWriter, _ *http.Request) {
		var load Load
		e.count(func() { load = e.reported })
		serve.WriteJSON(w, http.StatusOK, load)
	})
	router.Get("/orders", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, struct{ Orders []Order }{e.Orders()})
	})
	router.Post("/orders", e.takeOrder)
	router.Get("/state", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, e.State()) })
	router.Post("/lose-order-answers", serve.Control(func(q *serve.Query) func() {
		count := q.Int("Count")
		return func() { e.LoseAnswers(count) }
	}))
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
	models := e.names()
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
