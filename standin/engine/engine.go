// Package engine is a model engine with the OpenAI interface. Its answers are made of the nonces of
// the prompt and numbered words, so that a caller can tell its own whole answer from any other.
package engine

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/standin/connection"
	"github.com/dragonflyworks/dragonflyworks/standin/runs"
)

// Defaults of the settings that are left at zero.
const (
	DefaultConcurrency  = 64
	DefaultAnswerTokens = 32
	DefaultCacheBlocks  = 4096
	DefaultLoadLag      = 500 * time.Millisecond
)

// Settings are what an engine is started with; a zero takes its default.
type Settings struct {
	Name string
	// Models are the models served from the start on.
	Models []string
	// FirstTokenDelay passes before the first token of a prompt that is not cached.
	FirstTokenDelay time.Duration
	// TokenDelay passes before each later token.
	TokenDelay time.Duration
	// LoadModelDelay is how long an order that loads takes.
	LoadModelDelay time.Duration
	// Concurrency bounds the requests that run; the others wait.
	Concurrency int
	// AnswerTokens is the length of an answer that no limit cuts.
	AnswerTokens int
	// CacheBlocks bounds the prefix cache, in blocks of blockWords words.
	CacheBlocks int
	// LoadLag is how old a load report is at the least.
	LoadLag time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// CrashMarker is a word that crashes the engine; empty for none.
	CrashMarker string
}

// Engine is the stand-in engine. Its zero value serves no model.
type Engine struct {
	Settings
	// Crash ends the process; it is called on a prompt that holds the marker.
	Crash  func()
	Faults connection.Faults
	Runs   runs.Counter

	once  sync.Once
	slots chan struct{}
	cache prefixCache
	calls atomic.Int64

	mutex    sync.Mutex
	slow     float64
	queued   int
	running  int
	canceled int
	reported Load
	role     string
	// loaded is what is served; accepted is the fencing number of the newest order.
	loaded     []Artifact
	accepted   uint64
	orders     []Order
	executions []execution
	// loseAnswers counts the answers to orders that are still to be broken off.
	loseAnswers int
}

// Handler returns the engine's paths.
func (e *Engine) Handler() http.Handler {
	e.once.Do(e.start)
	router := chi.NewRouter()
	router.Use(e.Faults.Handler)
	router.Post("/v1/chat/completions", e.chat)
	router.Post("/v1/completions", e.text)
	router.Get("/v1/models", e.models)
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Route("/control", e.control)
	return router
}

func (e *Engine) start() {
	e.Concurrency = cmp.Or(e.Concurrency, DefaultConcurrency)
	e.AnswerTokens = cmp.Or(e.AnswerTokens, DefaultAnswerTokens)
	e.LoadLag = cmp.Or(e.LoadLag, DefaultLoadLag)
	e.cache.limit = cmp.Or(e.CacheBlocks, DefaultCacheBlocks)
	e.slots = make(chan struct{}, e.Concurrency)
	e.slow = 1
	for _, name := range e.Models {
		e.loaded = append(e.loaded, Artifact{Model: name})
	}
}

func (e *Engine) serves(model string) bool {
	return slices.Contains(e.names(), model)
}

// enter waits for a free slot.
func (e *Engine) enter(ctx context.Context) error {
	e.count(func() { e.queued++ })
	defer e.count(func() { e.queued-- })
	select {
	case e.slots <- struct{}{}:
		e.count(func() { e.running++ })
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) leave() {
	e.count(func() { e.running-- })
	<-e.slots
}

func (e *Engine) count(change func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change()
}

// wait passes a delay, stretched by the slow factor.
func (e *Engine) wait(ctx context.Context, delay time.Duration) error {
	e.mutex.Lock()
	delay = time.Duration(float64(delay) * e.slow)
	e.mutex.Unlock()
	if !clock.Sleep(ctx, delay) {
		return ctx.Err()
	}
	return nil
}
