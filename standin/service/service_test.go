package service

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/standin/runs"
)

// noAnswerTimeout is the time for which a test waits for an answer before it takes the connection for silent.
const noAnswerTimeout = 50 * time.Millisecond

func TestService(t *testing.T) {
	t.Run("answer carries nonce and body", func(t *testing.T) {
		f := newFixture(t)
		assert.Equal(t, `{"Service":"","Method":"POST","Path":"/deposits/7?a=b","Key":"k","Nonce":"n","Body":"text","Run":1}`+"\n",
			f.call(t.Context(), "/deposits/7?a=b"))
		assert.Equal(t, []runs.Run{{Key: "k", Started: 1, Finished: 1, Tokens: 1}}, f.service.Runs.Runs())
	})
	t.Run("open connections become silent, new ones work", func(t *testing.T) {
		f := newFixture(t)
		f.call(t.Context(), "/")
		f.service.Faults.SilenceOpen(nil)
		f.assertSilent()
		f.client.CloseIdleConnections()
		f.call(t.Context(), "/")
		f.assertRuns(2)
	})
	t.Run("new connections become silent", func(t *testing.T) {
		f := newFixture(t)
		f.service.Faults.SilenceNew(true)
		f.assertSilent()
		f.service.Faults.SilenceNew(false)
		f.call(t.Context(), "/")
		f.assertRuns(1)
	})
	t.Run("reused connection closed before the run", func(t *testing.T) {
		f := newFixture(t)
		f.service.Faults.AbortReused(1, 0)
		f.call(t.Context(), "/")
		f.assertClosed()
		f.call(t.Context(), "/")
		f.assertRuns(2)
	})
	t.Run("reused connection closed after the run", func(t *testing.T) {
		f := newFixture(t)
		f.service.Faults.AbortReused(0, 1)
		f.call(t.Context(), "/")
		f.assertClosed()
		f.assertRuns(2)
	})
}

// fixture is a running service with a client that never resends a request by itself.
type fixture struct {
	t       *testing.T
	url     string
	service *Service
	client  *http.Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := &Service{}
	server := httptest.NewUnstartedServer(s.Handler())
	server.Listener = s.Faults.WrapListener(server.Listener)
	server.Config.ConnContext = s.Faults.ConnContext
	server.Start()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(server.Close)
	t.Cleanup(client.CloseIdleConnections)
	return &fixture{t: t, url: server.URL, service: s, client: client}
}

func (f *fixture) send(ctx context.Context, path string) (string, error) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, strings.NewReader("text"))
	if err != nil {
		f.t.Fatal(err)
	}
	request.GetBody = nil
	request.Header.Set(runs.Header, "k")
	request.Header.Set(NonceHeader, "n")
	response, err := f.client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func (f *fixture) call(ctx context.Context, path string) string {
	f.t.Helper()
	body, err := f.send(ctx, path)
	if err != nil {
		f.t.Fatalf("call: %v", err)
	}
	return body
}

func (f *fixture) assertSilent() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), noAnswerTimeout)
	defer cancel()
	if _, err := f.send(ctx, "/"); !errors.Is(err, context.DeadlineExceeded) {
		f.t.Errorf("error %v, want %v", err, context.DeadlineExceeded)
	}
}

func (f *fixture) assertClosed() {
	f.t.Helper()
	if body, err := f.send(f.t.Context(), "/"); err == nil {
		f.t.Errorf("answer %q on a closed connection", body)
	}
}

func (f *fixture) assertRuns(want int) {
	f.t.Helper()
	started := 0
	for _, run := range f.service.Runs.Runs() {
		started += run.Started
	}
	assert.Equal(f.t, want, started)
}
