package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/router/headers"
)

func TestPass(t *testing.T) {
	t.Run("the request arrives as it was sent", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("whole answer"))
		got := g.call(http.MethodPost, "/order/a%2Fb?x=%20y", "body", func(r *http.Request) {
			r.Header.Set("Own", "forged")
			r.Header.Set("Team", "forged")
			r.Header.Set("Custom", "kept")
			r.Header.Set("Connection", "Hop")
			r.Header.Set("Hop", "dropped")
		})
		assert.Equal(t, http.StatusOK, got.status)
		assert.Equal(t, "whole answer", got.body)
		assert.Equal(t, "seal-1", got.header.Get("Seal"))
		request, body := g.endpoints[0].request(0)
		assert.Equal(t, "body", body)
		assert.Equal(t, "/order/a%2Fb?x=%20y", request.RequestURI)
		assert.Equal(t, "h", request.Host)
		for name, want := range map[string]string{
			"Own": "", "Team": "studio", "Custom": "kept", "Hop": "", "Authorization": "", "Id": "id-1", "Meant": "plaina",
			"User-Agent": "Go-http-client/1.1",
		} {
			assert.Equal(t, want, request.Header.Get(name))
		}
	})
	t.Run("a path that begins with two slashes is kept", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("answer"))
		configuration := *g.state.Configuration.Load()
		root := site.Route{Name: "root", Host: "h", Prefix: "/", Attempts: 1, Services: []site.WeightedService{{Service: "plain", Weight: 1}}}
		configuration.Routes = append(slices.Clone(configuration.Routes), root)
		configuration.Index()
		g.state.Configuration.Store(&configuration)
		assert.Equal(t, "answer", g.call(http.MethodPost, "//order/7/confirm?a=1", "", nil).body)
		request, _ := g.endpoints[0].request(0)
		assert.Equal(t, "//order/7/confirm?a=1", request.RequestURI)
		invalid := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
		invalid.Host, invalid.RequestURI = "h", "//order/{7}"
		invalid.Header.Set("Authorization", "Bearer key")
		recorder := httptest.NewRecorder()
		g.server.ServeHTTP(recorder, invalid)
		assert.Equal(t, http.StatusBadRequest, recorder.Code)
		g.assertRequestCounts(1)
	})
	t.Run("an endpoint's status and seal are kept", func(t *testing.T) {
		g := newGatewayTest(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			w.WriteHeader(http.StatusTeapot)
		})
		got := g.call(http.MethodPost, "/order/", "", nil)
		assert.Equal(t, http.StatusTeapot, got.status)
		assert.Equal(t, "s", got.header.Get("Seal"))
	})
	t.Run("a stream passes event by event and counts them", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
		got := g.call(http.MethodPost, "/chat/", "", func(r *http.Request) { r.Header.Set("Demand", "subject") })
		assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.body)
		assert.Equal(t, false, got.truncated)
	})
	t.Run("an answer that breaks off is truncated", func(t *testing.T) {
		g := newGatewayTest(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			_, _ = io.WriteString(w, "id: 1\n\nid: 2\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		got := g.call(http.MethodPost, "/chat/", "", nil)
		assert.Equal(t, true, got.truncated)
		assert.Equal(t, "id: 1\n\n", got.body)
	})
}

// manyFields adds short fields to a request.
func manyFields(count int) func(*http.Request) {
	return func(r *http.Request) {
		for i := range count {
			r.Header.Set(fmt.Sprintf("A%d", i), "1")
		}
	}
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name, path, body string
		change           func(*http.Request)
		status           int
		code             string
	}{
		{"no route", "/nowhere/", "", nil, http.StatusNotFound, "route_unknown"},
		{"other host", "/order/", "", func(r *http.Request) { r.Host = "g" }, http.StatusNotFound, "route_unknown"},
		{"unknown key", "/order/", "", func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") }, http.StatusUnauthorized, "invalid_key"},
		{"no key", "/order/", "", func(r *http.Request) { r.Header.Del("Authorization") }, http.StatusUnauthorized, "invalid_key"},
		{"long headers", "/order/", "", func(r *http.Request) { r.Header.Set("Long", strings.Repeat("x", 3000)) }, http.StatusRequestHeaderFieldsTooLarge, "headers_too_large"},
		{"many short headers", "/order/", "", manyFields(headers.MaxFields), http.StatusRequestHeaderFieldsTooLarge, "too_many_headers"},
		{"many short headers without a route", "/nowhere/", "", manyFields(headers.MaxFields), http.StatusRequestHeaderFieldsTooLarge, "too_many_headers"},
		{"a header with many values", "/order/", "", func(r *http.Request) {
			for range headers.MaxFields {
				r.Header.Add("A", "1")
			}
		}, http.StatusRequestHeaderFieldsTooLarge, "too_many_headers"},
		{"long body", "/order/", strings.Repeat("x", 1001), nil, http.StatusRequestEntityTooLarge, "body_too_large"},
		{"bad demand", "/chat/", "", func(r *http.Request) { r.Header.Set("Demand", "bad") }, http.StatusBadRequest, "invalid_header"},
		{"no endpoint", "/empty/", "", nil, http.StatusServiceUnavailable, "no_endpoint"},
		{"no tokens", "/chat/", "", func(r *http.Request) {
			r.Header.Set("Authorization", "Bearer none")
			r.Header.Set("Demand", "s")
		}, http.StatusServiceUnavailable, "prepaid_elsewhere"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, answerSealed("never"))
			got := g.call(http.MethodPost, c.path, c.body, c.change)
			assert.Equal(t, c.status, got.status)
			assert.Equal(t, true, strings.Contains(got.body, c.code))
			assert.Equal(t, c.status == http.StatusServiceUnavailable, got.header.Get("Retry-After") != "")
			assert.Equal(t, "", got.header.Get("Seal"))
			g.assertRequestCounts(0)
		})
	}
	t.Run("as many headers as are allowed", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("answer"))
		// The identifier, the key, the user agent and the wish to close the connection are fields too.
		assert.Equal(t, http.StatusOK, g.call(http.MethodGet, "/read/", "", manyFields(headers.MaxFields-4)).status)
	})
	t.Run("public routes need no key", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("open"))
		got := g.call(http.MethodPost, "/open/", "", func(r *http.Request) { r.Header.Del("Authorization") })
		assert.Equal(t, http.StatusOK, got.status)
		request, _ := g.endpoints[0].request(0)
		assert.Equal(t, "", request.Header.Get("Team"))
	})
	t.Run("a router that knows no configuration", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed("never"))
		g.state.Configuration.Store(nil)
		assert.Equal(t, http.StatusServiceUnavailable, g.call(http.MethodGet, "/order/", "", nil).status)
	})
}

func TestAttempts(t *testing.T) {
	foreign := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", "another")
		answerSealed("another's answer")(w, r)
	}
	unsealed := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "who said that") }
	misdirected := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	for _, c := range []struct {
		name   string
		path   string
		answer http.HandlerFunc
		status int
		runs   int
	}{
		{"not run is tried elsewhere", "/order/", answerNotRun, http.StatusServiceUnavailable, 3},
		{"another endpoint at the address is not run", "/order/", misdirected, http.StatusServiceUnavailable, 3},
		{"may have run is not repeated", "/order/", abortConnection, http.StatusBadGateway, 1},
		{"may have run is repeated if idempotent", "/read/", abortConnection, http.StatusBadGateway, 3},
		{"no more attempts than the route allows", "/single/", abortConnection, http.StatusBadGateway, 1},
		{"an error that ran is passed on", "/order/", answerError, http.StatusInternalServerError, 1},
		{"an error that ran is repeated if idempotent", "/read/", answerError, http.StatusInternalServerError, 3},
		{"an answer to another request is dropped", "/order/", foreign, http.StatusBadGateway, 1},
		{"a success without a seal is dropped", "/order/", unsealed, http.StatusBadGateway, 1},
		{"a stream is not repeated", "/chat/", abortConnection, http.StatusBadGateway, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, c.answer, c.answer, c.answer, c.answer)
			got := g.call(http.MethodPost, c.path, "", nil)
			assert.Equal(t, c.status, got.status)
			runs := 0
			for _, f := range g.endpoints {
				assert.Equal(t, true, f.requestCount() <= 1)
				runs += f.requestCount()
			}
			assert.Equal(t, c.runs, runs)
			if c.status == http.StatusInternalServerError {
				assert.Equal(t, "endpoint's error", got.body)
				assert.Equal(t, "seal-2", got.header.Get("Seal"))
			}
		})
	}
	t.Run("a working endpoint is found", func(t *testing.T) {
		g := newGatewayTest(t, abortConnection, abortConnection, answerSealed("found"))
		assert.Equal(t, "found", g.call(http.MethodGet, "/read/", "", nil).body)
	})
	t.Run("no endpoint listens", func(t *testing.T) {
		g := newGatewayTest(t)
		g.state.Directory.Store(site.NewDirectory([]site.Endpoint{{Name: "gone", Service: "plain", Address: unreachable(t)}}))
		got := g.call(http.MethodPost, "/order/", "", nil)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
	})
	t.Run("no further endpoint after one that may have run it", func(t *testing.T) {
		g := newGatewayTest(t, abortConnection)
		got := g.call(http.MethodGet, "/read/", "", nil)
		assert.Equal(t, http.StatusBadGateway, got.status)
		assert.Equal(t, "", got.header.Get("Retry-After"))
	})
	t.Run("the route's timeout is over", func(t *testing.T) {
		g := newGatewayTest(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		got := g.call(http.MethodPost, "/quick/", "", nil)
		assert.Equal(t, http.StatusBadGateway, got.status)
	})
	t.Run("retries stay within their budget", func(t *testing.T) {
		g := newGatewayTest(t, abortConnection, abortConnection, abortConnection)
		g.server.retries.budgets = nil
		g.server.retries.setLimits(endpoint.RepeatBounds{Ratio: 0.2, Slack: 4, Window: time.Minute})
		for range 10 {
			g.call(http.MethodGet, "/read/", "", nil)
		}
		runs := 0
		for _, f := range g.endpoints {
			runs += f.requestCount()
		}
		assert.Equal(t, 11, runs)
	})
}

func TestDeadline(t *testing.T) {
	g := newGatewayTest(t, answerSealed("ok"))
	g.call(http.MethodPost, "/order/", "", func(r *http.Request) { r.Header.Set("Left", "900") })
	request, _ := g.endpoints[0].request(0)
	timeLeft := request.Header.Get("Left")
	assert.Equal(t, true, len(timeLeft) == 3 && timeLeft <= "900")
}

func TestLogLines(t *testing.T) {
	g := newGatewayTest(t, answerSealed("ok"))
	g.call(http.MethodPost, "/order/", "", nil)
	g.listener.Close()
	line := g.lines.Entries[len(g.lines.Entries)-1]
	assert.Equal(t, "request ended", line.Message)
	for name, want := range map[string]any{
		"Request": "id-1", "Route": "order", "Endpoint": "plaina", "Status": 200, "Outcome": "answered", "Attempts": 1, "Framing": "length", "InEvent": false,
	} {
		assert.Equal(t, want, line.Fields.Get(name))
	}
}

// TestResume guards against a resumable stream that is truncated or repeats events when its endpoint fails: another
// endpoint must continue it after the last complete event, within one answer.
func TestResume(t *testing.T) {
	truncating := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") != "" {
			answerResumed(w, r)
			return
		}
		w.Header().Set("Seal", "first")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	t.Run("within one answer", func(t *testing.T) {
		g := newGatewayTest(t, truncating, truncating)
		got := g.call(http.MethodPost, "/talk/", "prompt", nil)
		assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.body)
		assert.Equal(t, "first", got.header.Get("Seal"))
		assert.Equal(t, false, got.truncated)
		g.assertRequestCounts(1, 1)
		var attempts []any
		for _, line := range g.lines.Entries {
			if line.Message == "attempt failed" || line.Message == "request ended" {
				attempts = append(attempts, line.Fields.Get("ContinuesAfter"), line.Fields.Get("FirstEvent"), line.Fields.Get("LastEvent"))
			}
		}
		assert.Equal(t, []any{nil, "1", "1", "1", "2", "2"}, attempts)
	})
	t.Run("not if the other endpoint fails", func(t *testing.T) {
		failingResume := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("After") != "" {
				answerError(w, r)
				return
			}
			truncating(w, r)
		}
		g := newGatewayTest(t, failingResume, failingResume)
		got := g.call(http.MethodPost, "/talk/", "prompt", nil)
		assert.Equal(t, "id: 1\ndata: a\n\n", got.body)
		assert.Equal(t, true, got.truncated)
	})
	t.Run("not if the route does not allow it", func(t *testing.T) {
		g := newGatewayTest(t, truncating, truncating)
		assert.Equal(t, true, g.call(http.MethodPost, "/chat/", "prompt", nil).truncated)
	})
}

// answerResumed answers with the rest of the stream if the request resumes it after event 1.
func answerResumed(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("After") == "1" {
		answerSealed("id: 2\ndata: b\n\n")(w, r)
	}
}

// TestUnreachable guards against endpoints that can't be reached counting as attempts of the route.
func TestUnreachable(t *testing.T) {
	g := newGatewayTest(t, answerSealed("found"))
	listed := []site.Endpoint{{Name: "a", Service: "plain", Address: strings.TrimPrefix(g.endpoints[0].server.URL, "http://")}}
	for _, name := range []string{"b", "c"} {
		listed = append(listed, site.Endpoint{Name: name, Service: "plain", Address: unreachable(t)})
	}
	g.state.Directory.Store(site.NewDirectory(listed))
	for range 4 {
		assert.Equal(t, "found", g.call(http.MethodPost, "/single/", "", nil).body)
	}
}
