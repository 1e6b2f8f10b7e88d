package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// testKey is the bearer key of the test's team.
const testKey = "test-key"

// routerFixture is a router in this process with a log in memory and an endpoint that answers when it is told to.
type routerFixture struct {
	platformLog    *memory.Log
	endpoint       *httptest.Server
	requestArrived chan struct{}
	allowAnswer    chan struct{}
	signals        chan os.Signal
	runResult      chan error
	callerURL      string
}

func startRouterFixture(t *testing.T, drainDelay time.Duration) *routerFixture {
	t.Helper()
	s := &routerFixture{
		platformLog:    &memory.Log{},
		requestArrived: make(chan struct{}),
		allowAnswer:    make(chan struct{}),
		signals:        make(chan os.Signal, signalBuffer),
		runResult:      make(chan error, 1),
	}
	s.endpoint = httptest.NewServer(s)
	t.Cleanup(s.endpoint.Close)
	s.submitTicket(t)
	settings := fixtureSettings(t)
	settings.DrainDelay = drainDelay
	s.start(t, settings)
	return s
}

// fixtureSettings returns the settings of a router on free ports.
func fixtureSettings(tb testing.TB) *Settings {
	tb.Helper()
	return &Settings{
		Listen: freeAddress(tb), AdminListen: freeAddress(tb), Platform: "http://127.0.0.1:1",
		Instance: "r1", Region: "a", AvailabilityZone: "a-1",
		FleetAppendsPerSecond: 1000, DrainMaximum: time.Minute, LogLevel: "error",
	}
}

// startAttempts bounds the starts of a router whose ports were taken by others before it listened.
const startAttempts = 5

// start runs a router on the site's log until it is ready.
func (s *routerFixture) start(tb testing.TB, settings *Settings) {
	tb.Helper()
	for range startAttempts {
		container, err := build(settings, io.Discard)
		assert.Must(tb, err)
		err = container.Decorate(func(platform.Log) platform.Log { return s.platformLog })
		assert.Must(tb, err)
		go func() {
			s.runResult <- container.Invoke(func(p program) error { return p.run(context.Background(), s.signals) })
		}()
		s.callerURL = "http://" + settings.Listen
		err = s.waitUntilReady(settings)
		if err == nil {
			return
		}
		tb.Logf("the router ended at its start: %v", err)
		settings.Listen, settings.AdminListen = freeAddress(tb), freeAddress(tb)
	}
	tb.Fatal("the router never became ready")
}

// waitUntilReady returns nil once the router is ready, and its error if it ends before.
func (s *routerFixture) waitUntilReady(settings *Settings) error {
	for s.status("http://"+settings.AdminListen+"/readyz") != http.StatusOK {
		select {
		case err := <-s.runResult:
			return fmt.Errorf("starting the router: %w", err)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// stop ends the router gracefully and returns what it ended with.
func (s *routerFixture) stop() error {
	s.signals <- syscall.SIGTERM
	return <-s.runResult
}

// ServeHTTP lets the test hold a request back.
func (s *routerFixture) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.requestArrived <- struct{}{}
	<-s.allowAnswer
	_, _ = io.WriteString(w, "booked")
}

func (s *routerFixture) submitTicket(t *testing.T) {
	t.Helper()
	ticket := fmt.Sprintf(`
Number: 1
Teams: [{Name: studio, KeyDigests: [%s]}]
Budgets: [{Name: main, Team: studio, Prepaid: 1000}]
Routes: [{Name: seats, Service: app, PathPrefix: /seats, NonIdempotent: true, Limits: {CallCost: 5}}]
InstanceSets: [{Name: all, Endpoints: [{Name: app-1, Service: app, Kind: Plain, Address: "%s", AvailabilityZone: a-1, Region: a}]}]
`, operator.KeyDigest(testKey), s.endpoint.Listener.Addr())
	if _, err := s.platformLog.Append(context.Background(), platform.ConfigurationStream, []byte(ticket)); err != nil {
		t.Fatal(err)
	}
}

func (s *routerFixture) status(url string) int {
	r, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// sendBooking sends a booking and returns the status and the body of its answer; an error's text as the body.
func (s *routerFixture) sendBooking(key string) string {
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, s.callerURL+"/seats", nil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Idempotency-Key", key)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", string(body))
}

// readLedger folds what the log holds.
func (s *routerFixture) readLedger(t *testing.T) *ledger.State {
	t.Helper()
	entries, err := s.platformLog.Read(context.Background(), platform.LedgerStream(0), 0, 1_000_000)
	assert.Must(t, err)
	state := &ledger.State{}
	for _, e := range entries {
		state.Apply(e)
	}
	return state
}

func TestGracefulEnd(t *testing.T) {
	s := startRouterFixture(t, time.Millisecond)
	waitUntil(t, func() bool { _, found := s.readLedger(t).Budget("main"); return found })
	answer := make(chan string, 1)
	go func() { answer <- s.sendBooking("running") }()
	<-s.requestArrived
	s.signals <- syscall.SIGTERM
	// A request without a key is answered 401 until new work is refused.
	waitUntil(t, func() bool { return s.status(s.callerURL+"/seats") != http.StatusUnauthorized })
	close(s.allowAnswer)
	assert.Equal(t, "200 booked", <-answer)
	assert.Equal(t, nil, <-s.runResult)

	state := s.readLedger(t)
	budget, _ := state.Budget("main")
	assert.Equal(t, 5, budget.Spent)
	assert.Equal(t, 0, budget.Shared)
	assert.Equal(t, 0, budget.OpenRequests)
	assert.Equal(t, 0, len(state.Incarnations()))
}

func TestSecondSignal(t *testing.T) {
	s := startRouterFixture(t, time.Minute)
	s.signals <- syscall.SIGTERM
	s.signals <- syscall.SIGTERM
	if err := <-s.runResult; !errors.Is(err, errForced) {
		t.Errorf("got %v, want %v", err, errForced)
	}
}

func freeAddress(tb testing.TB) string {
	tb.Helper()
	server := httptest.NewServer(nil)
	defer server.Close()
	return server.Listener.Addr().String()
}

// waitUntil waits until a condition holds. It has no time limit of its own: the test's is the only one.
func waitUntil(tb testing.TB, condition func() bool) {
	tb.Helper()
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}
