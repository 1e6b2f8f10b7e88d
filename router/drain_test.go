package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// testKey is the bearer key of the team in the tests' tickets.
const testKey = "test-key"

// routerFixture is a router in the test process with an in-memory log. It is also the handler of an endpoint that delays its
// answers until allowAnswer is closed.
type routerFixture struct {
	platformLog    *memory.Log
	endpoint       *httptest.Server
	requestArrived chan struct{}
	allowAnswer    chan struct{}
	signals        chan os.Signal
	runResult      chan error
	// callerURL is the URL of the callers' listener, adminAddress the address of the operators' one.
	callerURL, adminAddress string
	// fail ends the context of the router's loops, as the failure of one of them does.
	fail context.CancelFunc
}

func startRouterFixture(t *testing.T, drainDelay time.Duration) *routerFixture {
	t.Helper()
	return startRouterFixtureWith(t, func(settings *Settings) { settings.DrainDelay = drainDelay })
}

// startRouterFixtureWith starts a router with changed settings.
func startRouterFixtureWith(t *testing.T, change func(*Settings)) *routerFixture {
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
	change(settings)
	s.start(t, settings)
	return s
}

// fixtureSettings returns the settings of a router that listens on unused ports.
func fixtureSettings(tb testing.TB) *Settings {
	tb.Helper()
	return &Settings{
		Listen: freeAddress(tb), AdminListen: freeAddress(tb), Platform: "http://127.0.0.1:1",
		Instance: "r1", Region: "a", AvailabilityZone: "a-1",
		FleetAppendsPerSecond: 1000, DrainMaximum: time.Minute, LogLevel: "error",
	}
}

// startAttempts is the maximum number of attempts to start a router. An attempt fails if another process takes one of the ports
// between freeAddress and the router's Listen.
const startAttempts = 5

// start runs a router with the fixture's log in the background and returns once the router is ready.
func (s *routerFixture) start(tb testing.TB, settings *Settings) {
	tb.Helper()
	for range startAttempts {
		container, err := build(settings, io.Discard)
		assert.Must(tb, err)
		err = container.Decorate(func(platform.Log) platform.Log { return s.platformLog })
		assert.Must(tb, err)
		ctx, fail := context.WithCancel(context.Background())
		s.fail = fail
		go func() {
			defer fail()
			s.runResult <- container.Invoke(func(p program) error { return p.run(ctx, s.signals) })
		}()
		s.callerURL, s.adminAddress = "http://"+settings.Listen, settings.AdminListen
		err = s.waitUntilReady(settings)
		if err == nil {
			return
		}
		tb.Logf("router ended before it was ready: %v", err)
		settings.Listen, settings.AdminListen = freeAddress(tb), freeAddress(tb)
	}
	tb.Fatal("router not ready after all attempts")
}

// waitUntilReady returns nil once the router is ready, or the router's error if it ends before that.
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

// stop shuts the router down gracefully and returns its error.
func (s *routerFixture) stop() error {
	s.signals <- syscall.SIGTERM
	return <-s.runResult
}

// ServeHTTP answers the endpoint's requests. It signals requestArrived and waits until the test closes allowAnswer.
func (s *routerFixture) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.requestArrived <- struct{}{}
	<-s.allowAnswer
	_, _ = io.WriteString(w, "booked")
}

// submitTicket appends a change ticket to the log with one team, its budget, and a non-idempotent route to the fixture's
// endpoint.
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

// status returns the HTTP status of a GET request, or 0 if the request failed.
func (s *routerFixture) status(url string) int {
	r, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// sendBooking sends a non-idempotent request and returns the answer's status and body, or the text of the error.
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

// readLedger returns the ledger state folded from all entries in the log.
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

// TestGracefulEnd guards against a graceful shutdown that cuts a request in flight, leaves it unbilled, or keeps shares of the
// budget.
func TestGracefulEnd(t *testing.T) {
	s := startRouterFixture(t, time.Millisecond)
	waitUntil(t, func() bool { _, found := s.readLedger(t).Budget("main"); return found })
	answer := make(chan string, 1)
	go func() { answer <- s.sendBooking("running") }()
	<-s.requestArrived
	s.signals <- syscall.SIGTERM
	// While the router accepts requests, one without a bearer key gets 401, so any other status shows that draining began.
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

// TestEndAnswersEveryRequest guards against a router that ends without an answer to a request whose endpoint gives none.
func TestEndAnswersEveryRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		maximum time.Duration
		signals int
		want    error
	}{
		{"the drain maximum is over", time.Second, 1, context.DeadlineExceeded},
		{"a second signal", time.Minute, 2, errForced},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startRouterFixtureWith(t, func(settings *Settings) {
				settings.DrainDelay, settings.DrainMaximum = time.Millisecond, c.maximum
			})
			waitUntil(t, func() bool { _, found := s.readLedger(t).Budget("main"); return found })
			answer := make(chan string, 1)
			go func() { answer <- s.sendBooking("waiting") }()
			<-s.requestArrived
			for range c.signals {
				s.signals <- syscall.SIGTERM
			}
			assert.Equal(t, "502", strings.SplitN(<-answer, " ", 2)[0])
			if err := <-s.runResult; !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			close(s.allowAnswer)
		})
	}
}

// TestFailureAnswersEveryRequest guards against a router that cuts the requests in progress when one of its loops fails, before or during a
// stop.
func TestFailureAnswersEveryRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		signals int
		want    error
	}{{"in operation", 0, nil}, {"during a stop", 1, context.Canceled}} {
		t.Run(c.name, func(t *testing.T) {
			s := startRouterFixture(t, time.Minute)
			waitUntil(t, func() bool { _, found := s.readLedger(t).Budget("main"); return found })
			answer := make(chan string, 1)
			go func() { answer <- s.sendBooking("waiting") }()
			<-s.requestArrived
			for range c.signals {
				s.signals <- syscall.SIGTERM
			}
			s.fail()
			assert.Equal(t, "502", strings.SplitN(<-answer, " ", 2)[0])
			if err := <-s.runResult; !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			close(s.allowAnswer)
		})
	}
}

// TestLeavingRouterEndsKeptConnections guards against callers that go on using a connection until the drain closes it, while their next request is
// on its way.
func TestLeavingRouterEndsKeptConnections(t *testing.T) {
	s := startRouterFixture(t, time.Minute)
	for _, c := range []struct {
		name      string
		isLeaving bool
	}{{"in operation", false}, {"leaving", true}} {
		t.Run(c.name, func(t *testing.T) {
			if c.isLeaving {
				s.signals <- syscall.SIGTERM
				waitUntil(t, func() bool { return s.status("http://"+s.adminAddress+"/readyz") == http.StatusServiceUnavailable })
			}
			for _, path := range []string{"/seats", "/v1/models"} {
				response, err := http.Get(s.callerURL + path)
				assert.Must(t, err)
				_ = response.Body.Close()
				assert.Equal(t, http.StatusUnauthorized, response.StatusCode)
				assert.Equal(t, c.isLeaving, response.Close)
			}
		})
	}
	s.signals <- syscall.SIGTERM
	if err := <-s.runResult; !errors.Is(err, errForced) {
		t.Errorf("got %v, want %v", err, errForced)
	}
}

// TestHangup guards against a router that ends, or drains, when its terminal or supervisor sends SIGHUP, and against signals to stop that are
// lost because SIGHUPs came before them.
func TestHangup(t *testing.T) {
	s := startRouterFixture(t, time.Minute)
	signals, release := receiveSignals()
	t.Cleanup(release)
	waitUntil(t, func() bool { _, found := s.readLedger(t).Budget("main"); return found })
	close(s.allowAnswer)
	go func() {
		for range s.requestArrived {
		}
	}()
	for range 2 * signalBuffer {
		assert.Must(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, 0, len(s.runResult))
	assert.Equal(t, "200 booked", s.sendBooking("running"))
	for range 2 {
		assert.Must(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		stop := <-signals
		assert.Equal(t, os.Signal(syscall.SIGTERM), stop)
		s.signals <- stop
	}
	if err := <-s.runResult; !errors.Is(err, errForced) {
		t.Errorf("got %v, want %v", err, errForced)
	}
}

// TestSecondSignal guards against a router that ignores a second signal during its drain delay.
func TestSecondSignal(t *testing.T) {
	s := startRouterFixture(t, time.Minute)
	s.signals <- syscall.SIGTERM
	s.signals <- syscall.SIGTERM
	if err := <-s.runResult; !errors.Is(err, errForced) {
		t.Errorf("got %v, want %v", err, errForced)
	}
}

// freeAddress returns a loopback address with a port that was unused a moment ago.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	server := httptest.NewServer(nil)
	defer server.Close()
	return server.Listener.Addr().String()
}

// waitUntil polls a condition until it is true. Only the timeout of the test run limits the wait.
func waitUntil(tb testing.TB, condition func() bool) {
	tb.Helper()
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}
