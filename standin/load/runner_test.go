package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/standin/engine"
	"github.com/dragonflyworks/dragonflyworks/standin/runs"
	"github.com/dragonflyworks/dragonflyworks/standin/service"
)

// requests is the number of requests that each test sends.
const requests = 20

func TestSoundEndpoints(t *testing.T) {
	for kind, handler := range map[Kind]http.Handler{
		Stream: newEngine(), Whole: newEngine(), Plain: (&service.Service{}).Handler(), NonIdempotent: (&service.Service{}).Handler(),
	} {
		t.Run(string(kind), func(t *testing.T) {
			report := sendLoad(t, kind, handler)
			assert.Equal(t, map[Outcome]int{Completed: requests}, report.Outcomes)
			assert.Equal(t, int64(requests), report.Latency.Count)
		})
	}
}

// TestDirect guards against a direct load that sends a kind of request to an endpoint that doesn't serve it, and against
// distributions that include requests refused by the routers.
func TestDirect(t *testing.T) {
	engine, service := httptest.NewServer(newEngine()), httptest.NewServer((&service.Service{}).Handler())
	t.Cleanup(engine.Close)
	t.Cleanup(service.Close)
	settings := newSettings(Stream, "http://127.0.0.1:1")
	settings.Mix[NonIdempotent] = 1
	direct, err := settings.Direct([]string{engine.URL}, []string{service.URL})
	assert.NoError(t, err)
	report, err := (&Runner{Settings: direct}).Run(t.Context())
	assert.NoError(t, err)
	assert.Equal(t, map[Outcome]int{Completed: requests}, report.Outcomes)
	routed := &Report{Requests: []Request{{index: 0, Outcome: Completed}, {index: 1, Outcome: Refused}, {index: 2, Outcome: Completed}}}
	routed.AddDirect(report)
	assert.Equal(t, 2, routed.Direct.Latency.Count)
	_, err = settings.Direct([]string{engine.URL}, nil)
	assert.Fails(t, err)
	_, err = settings.Direct(nil, []string{service.URL})
	assert.Fails(t, err)
}

// TestFaultyAnswers guards against a load that counts a wrong or incomplete answer as completed. Each case fails without the
// checks in answer.go.
func TestFaultyAnswers(t *testing.T) {
	for name, fault := range map[string]struct {
		kind Kind
		from string
		to   string
		want Outcome
	}{
		"nonce of another request in a stream":     {Stream, engine.NoncePrefix, engine.NoncePrefix + "f", WrongAnswer},
		"nonce of another request in an answer":    {Whole, engine.NoncePrefix, engine.NoncePrefix + "f", WrongAnswer},
		"nonce of another request in a plain call": {Plain, engine.NoncePrefix, engine.NoncePrefix + "f", WrongAnswer},
		"second nonce":                                     {Whole, " word-2", " nonce-2", WrongAnswer},
		"word missing from a stream":                       {Stream, " word-2", "", CutAnswer},
		"word duplicated in a stream":                      {Stream, " word-2", " word-2 word-2", CutAnswer},
		"word missing from an answer":                      {Whole, " word-3", "", CutAnswer},
		"stream without an end":                            {Stream, "data: [DONE]\n\n", "", CutAnswer},
		"data after the end":                               {Stream, "[DONE]\n\n", "[DONE]\n\ndata: {}\n\n", WrongAnswer},
		"usage of another answer":                          {Whole, `"completion_tokens":4`, `"completion_tokens":5`, CutAnswer},
		"length reported as finish reason below the limit": {Whole, `"finish_reason":"stop"`, `"finish_reason":"length"`, CutAnswer},
		"no finish reason":                                 {Stream, `"finish_reason":"stop"`, `"finish_reason":null`, CutAnswer},
		"malformed body":                                   {Plain, "}", "", CutAnswer},
		"error within a stream":                            {Stream, "data: [DONE]", `data: {"error":{"code":"endpoint_failed"}}`, Broken},
	} {
		t.Run(name, func(t *testing.T) {
			handler := newEngine()
			if fault.kind == Plain {
				handler = (&service.Service{}).Handler()
			}
			report := sendLoad(t, fault.kind, replaceInAnswers(handler, fault.from, fault.to))
			assert.Equal(t, map[Outcome]int{fault.want: requests}, report.Outcomes)
		})
	}
}

func TestRetries(t *testing.T) {
	t.Run("connection closed within a stream", func(t *testing.T) {
		var keys sync.Map
		handler := newEngine()
		report := sendLoad(t, Stream, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, again := keys.LoadOrStore(r.Header.Get(runs.Header), true); !again {
				_, _ = io.WriteString(w, "data: {}\n\n")
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(w, r)
		}))
		assert.Equal(t, map[Outcome]int{Completed: requests}, report.Outcomes)
		assert.Equal(t, map[string]int{"connection": requests}, report.Retries)
	})
	t.Run("target that refuses connections", func(t *testing.T) {
		closed := httptest.NewServer(newEngine())
		closed.Close()
		server := httptest.NewServer(newEngine())
		t.Cleanup(server.Close)
		settings := newSettings(Whole, closed.URL)
		settings.Targets = append(settings.Targets, server.URL)
		settings.Concurrency = 1
		report, err := (&Runner{Settings: settings}).Run(t.Context())
		assert.Must(t, err)
		assert.Equal(t, map[Outcome]int{Completed: requests}, report.Outcomes)
		assert.Equal(t, map[string]int{"connection": 1}, report.Retries)
	})
	t.Run("busy with Retry-After", func(t *testing.T) {
		report := sendLoad(t, Whole, refuseWith(http.StatusServiceUnavailable, "0"))
		assert.Equal(t, map[string]int{"overloaded": requests}, report.Refusals)
		assert.Equal(t, map[string]int{"overloaded": 2 * requests}, report.Retries)
		assert.Equal(t, true, report.Requests[0].IsNotRun())
	})
	t.Run("other refusals are final", func(t *testing.T) {
		report := sendLoad(t, Whole, refuseWith(http.StatusBadGateway, "0"))
		assert.Equal(t, map[Outcome]int{Refused: requests}, report.Outcomes)
		assert.Equal(t, map[string]int{}, report.Retries)
	})
}

func TestPlanIsRepeatable(t *testing.T) {
	settings := newSettings(Stream, "http://127.0.0.1:1")
	settings.Mix = map[Kind]int{Stream: 1, Whole: 1, Plain: 1, NonIdempotent: 1}
	for index := range requests {
		first, second := newJob(&settings, index), newJob(&settings, index)
		assert.Equal(t, []string{first.key, first.nonce, first.method, first.path, first.body},
			[]string{second.key, second.nonce, second.method, second.path, second.body})
	}
}

func newEngine() http.Handler {
	e := &engine.Engine{Settings: engine.Settings{Models: []string{"brush"}, AnswerTokens: 4}}
	return e.Handler()
}

func newSettings(kind Kind, target string) Settings {
	return Settings{
		Targets:     []string{target},
		Teams:       []Team{{Name: "a", BearerKey: "k"}, {Name: "b", BearerKey: "l", Budgets: []string{"b", "c"}}},
		Requests:    requests,
		Duration:    time.Minute,
		Concurrency: 4,
		Seed:        1,
		KeyPrefix:   "test",
		Mix:         map[Kind]int{kind: 1},
		Model:       "brush",
		MaxTokens:   1000,
		PromptWords: 4,
		Attempts:    3,
		Timeout:     10 * time.Second,
	}
}

func sendLoad(t *testing.T, kind Kind, handler http.Handler) *Report {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	runner := &Runner{Settings: newSettings(kind, server.URL)}
	report, err := runner.Run(t.Context())
	if err != nil {
		t.Fatalf("load: %v", err)
	}
	assert.Equal(t, requests, len(report.Requests))
	return report
}

// replaceInAnswers replaces a text in the body of every answer, to simulate a faulty endpoint or router.
func replaceInAnswers(handler http.Handler, from, to string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		w.WriteHeader(recorder.Code)
		_, _ = io.WriteString(w, strings.ReplaceAll(recorder.Body.String(), from, to))
	})
}

func refuseWith(status int, retryAfter string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", retryAfter)
		w.Header().Set("Dragonfly-Verdict", "NotRun")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"error":{"code":"overloaded"}}`)
	})
}
