// Package engine simulates a model engine with the OpenAI API. Its answers consist of the nonces of the prompt and numbered
// words, so that a caller can detect an incomplete answer or the answer to another request.
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

// Defaults for settings that are zero.
const (
	DefaultConcurrency  = 64
	DefaultAnswerTokens = 32
	DefaultCacheBlocks  = 4096
	DefaultLoadLag      = 500 * time.Millisecond
)

// Settings configure an engine. Zero values of Concurrency, AnswerTokens, CacheBlocks and LoadLag stand for the defaults.
type Settings struct {
	Name string
	// Models are the names of the models that are loaded at the start.
	Models []string
	// FirstTokenDelay is the time to the first token of an uncached prompt.
	FirstTokenDelay time.Duration
	// TokenDelay is the time before each further token.
	TokenDelay time.Duration
	// LoadModelDelay is the duration of an order that loads at least one artifact.
	LoadModelDelay time.Duration
	// Concurrency is the maximum number of requests that run at the same time. Further requests are queued.
	Concurrency int
	// AnswerTokens is the length in tokens of an answer to a request without a lower limit.
	AnswerTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks of wordsPerBlock words.
	CacheBlocks int
	// LoadLag is the minimum age of a load report.
	LoadLag time.Duration
	// ChecksFencing reports whether the engine refuses orders whose fencing number is lower than the last accepted one.
	ChecksFencing bool
	// CrashMarker is a word in a prompt that crashes the engine. Empty disables crashes.
	CrashMarker string
}

// Engine is the simulated engine. The zero value serves no model.
type Engine struct {
	Settings
	// Crash is called for a prompt with the crash marker and is expected to end the process.
	Crash  func()
	Faults connection.Faults
	Runs   runs.Counter

	once  sync.Once
	slots chan struct{}
	cache prefixCache
	calls atomic.Int64

	mutex         sync.Mutex
	slowFactor    float64
	queued        int
	running       int
	canceled      int
	publishedLoad Load
	role          string
	// loaded holds the artifacts that are served. acceptedFencingNumber is the fencing number of the last accepted order.
	loaded                []Artifact
	acceptedFencingNumber uint64
	orders                []Order
	pendingOrders         []pendingOrder
	// answersToDrop is the number of upcoming order answers that are dropped by aborting the connection.
	answersToDrop int
}

// Handler returns the HTTP handler for all paths of the engine.
func (e *Engine) Handler() http.Handler {
	e.once.Do(e.initialize)
	router := chi.NewRouter()
	router.Use(e.Faults.Middleware)
	router.Post("/v1/chat/completions", e.handleChat)
	router.Post("/v1/completions", e.handleText)
	router.Get("/v1/models", e.handleModels)
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Route("/control", e.registerControl)
	return router
}

func (e *Engine) initialize() {
	e.Concurrency = cmp.Or(e.Concurrency, DefaultConcurrency)
	e.AnswerTokens = cmp.Or(e.AnswerTokens, DefaultAnswerTokens)
	e.LoadLag = cmp.Or(e.LoadLag, DefaultLoadLag)
	e.cache.limit = cmp.Or(e.CacheBlocks, DefaultCacheBlocks)
	e.slots = make(chan struct{}, e.Concurrency)
	e.slowFactor = 1
	for _, name := range e.Models {
		e.loaded = append(e.loaded, Artifact{Model: name})
	}
}

func (e *Engine) serves(model string) bool {
	return slices.Contains(e.servedNames(), model)
}

// acquireSlot waits for one of the concurrency slots, or fails once the context is done.
func (e *Engine) acquireSlot(ctx context.Context) error {
	e.withLock(func() { e.queued++ })
	defer e.withLock(func() { e.queued-- })
	select {
	case e.slots <- struct{}{}:
		e.withLock(func() { e.running++ })
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) releaseSlot() {
	e.withLock(func() { e.running-- })
	<-e.slots
}

func (e *Engine) withLock(change func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change()
}

// sleep waits for a delay multiplied by the slow factor, or fails once the context is done.
func (e *Engine) sleep(ctx context.Context, delay time.Duration) error {
	e.mutex.Lock()
	delay = time.Duration(float64(delay) * e.slowFactor)
	e.mutex.Unlock()
	if !clock.Sleep(ctx, delay) {
		return ctx.Err()
	}
	return nil
}
