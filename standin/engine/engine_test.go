package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/standin/runs"
)

func TestCompletions(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		e := newEngine()
		body := call(t, e, "/v1/chat/completions", `{"model":"brush","max_tokens":3,"messages":[{"content":"a nonce-1 b"}]}`).Body.String()
		assertContains(t, body, `"content":"nonce-1 word-1 word-2"`, `"finish_reason":"length"`, `"prompt_tokens":3,"completion_tokens":3`)
		assert.Equal(t, []runs.Run{{Key: "k", Started: 1, Finished: 1, Tokens: 6}}, e.Runs.Runs())
	})
	t.Run("parts of content", func(t *testing.T) {
		body := call(t, newEngine(), "/v1/chat/completions",
			`{"model":"brush","messages":[{"content":[{"type":"text","text":"nonce-1"},{"type":"text","text":"b"}]}]}`).Body.String()
		assertContains(t, body, `"content":"nonce-1 word-1 word-2 word-3"`, `"finish_reason":"stop"`)
	})
	t.Run("stream", func(t *testing.T) {
		body := call(t, newEngine(), "/v1/completions",
			`{"model":"brush","stream":true,"stream_options":{"include_usage":true},"prompt":"nonce-1 a"}`).Body.String()
		var pieces []string
		for line := range strings.SplitSeq(body, "\n\n") {
			if _, text, found := strings.Cut(line, `"text":"`); found {
				piece, _, _ := strings.Cut(text, `"`)
				pieces = append(pieces, piece)
			}
		}
		assert.Equal(t, []string{"nonce-1", " word-1", " word-2", " word-3", ""}, pieces)
		assertContains(t, body, `"finish_reason":"stop"`, `"choices":[],"usage":{"prompt_tokens":2,"completion_tokens":4`, "data: [DONE]\n\n")
	})
	t.Run("refusals", func(t *testing.T) {
		assert.Equal(t, http.StatusNotFound, call(t, newEngine(), "/v1/completions", `{"model":"other"}`).Code)
		assert.Equal(t, http.StatusBadRequest, call(t, newEngine(), "/v1/completions", `{"model":"brush","max_tokens":0}`).Code)
		assert.Equal(t, http.StatusBadRequest, call(t, newEngine(), "/v1/completions", `{"model":`).Code)
	})
	t.Run("crash marker", func(t *testing.T) {
		e := newEngine()
		crashes := 0
		e.CrashMarker, e.Crash = "marker", func() { crashes++ }
		call(t, e, "/v1/completions", `{"model":"brush","prompt":"nonce-1 marker-free"}`)
		assert.Equal(t, 0, crashes)
		call(t, e, "/v1/completions", `{"model":"brush","prompt":"nonce-1 marker"}`)
		assert.Equal(t, 1, crashes)
	})
	t.Run("cached prefix", func(t *testing.T) {
		e := newEngine()
		prompt := strings.Repeat("word ", wordsPerBlock)
		for _, cached := range []int{0, wordsPerBlock} {
			body := call(t, e, "/v1/completions", fmt.Sprintf(`{"model":"brush","prompt":%q}`, prompt+"tail")).Body.String()
			assertContains(t, body, fmt.Sprintf(`"cached_tokens":%d`, cached))
		}
	})
}

func TestDelays(t *testing.T) {
	for factor, want := range map[float64]time.Duration{1: 13 * time.Second, 3: 39 * time.Second} {
		t.Run(fmt.Sprintf("slow factor %g", factor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEngine()
				e.FirstTokenDelay, e.TokenDelay = 10*time.Second, time.Second
				e.SetSlowFactor(factor)
				began := time.Now()
				call(t, e, "/v1/completions", `{"model":"brush","prompt":"nonce-1"}`)
				assert.Equal(t, want, time.Since(began))
			})
		})
	}
	t.Run("canceled by the caller", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := newEngine()
			e.TokenDelay = time.Second
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			assertAborts(t, func() { send(ctx, e, "/v1/completions", `{"model":"brush","prompt":"a"}`) })
			assert.Equal(t, []runs.Run{{Key: "k", Started: 1, Finished: 0, Tokens: 3}}, e.Runs.Runs())
		})
	})
	t.Run("load lags", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := newEngine()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			e.Start(ctx)
			synctest.Wait()
			e.withLock(func() { e.queued = 5 })
			time.Sleep(DefaultLoadLag * 3 / 2)
			assertContains(t, control(t, e, "/control/load"), `"Queued":0`)
			time.Sleep(DefaultLoadLag)
			assertContains(t, control(t, e, "/control/load"), `"Queued":5`)
		})
	})
}

// TestOrders guards against an engine that mishandles an order with an older fencing number that arrives while a newer one is
// loading: it must refuse the order if it checks fencing numbers and apply it otherwise.
func TestOrders(t *testing.T) {
	order := func(t *testing.T, e *Engine, number int, model string) int {
		t.Helper()
		return call(t, e, "/control/orders", fmt.Sprintf(`{"FencingNumber":%d,"Wanted":[{"Model":%q,"Version":"1"}],"Role":"Decode"}`, number, model)).Code
	}
	for checks, want := range map[bool]struct {
		status int
		state  State
	}{
		true:  {http.StatusConflict, State{Accepted: 7, Loaded: []Artifact{{Model: "a", Version: "1"}}, Role: "Decode"}},
		false: {http.StatusAccepted, State{Accepted: 6, Loaded: []Artifact{{Model: "b", Version: "1"}}, Role: "Decode"}},
	} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEngine()
				e.ChecksFencing, e.LoadModelDelay = checks, time.Minute
				assert.Equal(t, http.StatusAccepted, order(t, e, 7, "a"))
				assertContains(t, control(t, e, "/control/state"), `"Accepted":7,"Busy":true,"Loaded":[],"Role":""`)
				time.Sleep(time.Second)
				assert.Equal(t, want.status, order(t, e, 6, "b"))
				time.Sleep(2 * time.Minute)
				assert.Equal(t, want.state, e.State())
				assert.Equal(t, checks, e.serves("a"))
			})
		})
	}
	t.Run("answer dropped after the order was accepted", func(t *testing.T) {
		e := newEngine()
		call(t, e, "/control/lose-order-answers?Count=1", "")
		assertAborts(t, func() { order(t, e, 7, "a") })
		assert.Equal(t, true, e.serves("a"))
		assert.Equal(t, http.StatusAccepted, order(t, e, 7, "a"))
	})
}

func newEngine() *Engine {
	return &Engine{Settings: Settings{Models: []string{"brush"}, AnswerTokens: 4}}
}

func send(ctx context.Context, e *Engine, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	request.Header.Set(runs.Header, "k")
	recorder := httptest.NewRecorder()
	e.Handler().ServeHTTP(recorder, request)
	return recorder
}

func call(t *testing.T, e *Engine, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	return send(t.Context(), e, path, body)
}

func control(t *testing.T, e *Engine, path string) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	e.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
	body, err := io.ReadAll(recorder.Body)
	assert.Must(t, err)
	return string(body)
}

// assertAborts asserts that a handler aborts the connection, so that the caller can't take a partial answer for a complete one.
func assertAborts(t *testing.T, run func()) {
	t.Helper()
	defer func() { assert.Equal[any](t, http.ErrAbortHandler.Error(), fmt.Sprint(recover())) }()
	run()
}

func assertContains(t *testing.T, text string, wanted ...string) {
	t.Helper()
	for _, want := range wanted {
		if !strings.Contains(text, want) {
			t.Errorf("%s is not in\n%s", want, text)
		}
	}
}
