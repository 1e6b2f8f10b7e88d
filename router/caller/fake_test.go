package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// Bearer keys of the teams in testConfiguration.
const (
	keyLuzon = "test-key-luzon"
	keyCebu  = "test-key-cebu"
)

// fakeAccounts grants every reservation, or refuses it with refusal, and records demands, bills and releases. The reservations
// that it returns are fakeAccounts itself.
type fakeAccounts struct {
	mutex      sync.Mutex
	refusal    error
	releaseErr error
	demands    []ledgerstream.Demand
	bills      []ledger.Tokens
	releases   int
}

func (f *fakeAccounts) Reserve(_ context.Context, demand ledgerstream.Demand) (ledgerstream.Reservation, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.demands = append(f.demands, demand)
	if f.refusal != nil {
		return nil, f.refusal
	}
	return f, nil
}

func (f *fakeAccounts) CheckDispatch() error { return nil }

func (f *fakeAccounts) Bill(usage ledger.Tokens) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.bills = append(f.bills, usage)
}

func (f *fakeAccounts) Release(context.Context) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.releases++
	return f.releaseErr
}

// fakeDispatcher records the latest call and returns the configured result and error for every call.
type fakeDispatcher struct {
	lastCall *endpoint.Call
	result   endpoint.Result
	err      error
}

func (f *fakeDispatcher) Do(_ context.Context, call *endpoint.Call, w http.ResponseWriter) (endpoint.Result, error) {
	f.lastCall = call
	if f.err == nil || f.result.ResponseStarted {
		_, _ = w.Write([]byte("answer"))
	}
	return f.result, f.err
}

// setUp returns a server with fake accounts and a fake dispatcher. Its board has testConfiguration in force and a ready ledger.
func setUp(t *testing.T) (*Server, *fakeAccounts, *fakeDispatcher) {
	t.Helper()
	accounts := &fakeAccounts{}
	dispatcher := &fakeDispatcher{result: endpoint.Result{Verdict: verdict.Ran, Usage: 7}}
	board := &blackboard.Board{Metrics: metrics.NewRegistry()}
	board.Configuration.Store(testConfiguration(t, "127.0.0.1:9"))
	board.LedgerReady.Store(true)
	return NewServer(board, accounts, dispatcher, Settings{}), accounts, dispatcher
}

// testConfiguration returns a configuration of two teams in which all endpoints have the given address.
func testConfiguration(t *testing.T, engine string) *operator.Configuration {
	t.Helper()
	ticket := `
Number: 1
Teams:
  - Name: luzon
    KeyDigests: [` + operator.KeyDigest(keyLuzon) + `]
    Limits: {Concurrency: 4}
  - Name: cebu
    KeyDigests: [` + operator.KeyDigest(keyCebu) + `]
Budgets:
  - {Name: luzon-main, Team: luzon, Prepaid: 100000}
  - {Name: cebu-one, Team: cebu, Prepaid: 100000}
  - {Name: cebu-two, Team: cebu, Prepaid: 100000, Frozen: true}
Routes:
  - Name: brush
    Service: brush-llm
    Model: brush
    Limits: {BodyBytes: 4096, DefaultMaxTokens: 20, MaxTokens: 100}
  - Name: deposits
    Service: atelier-app
    PathPrefix: /deposits
    NonIdempotent: true
    Limits: {BodyBytes: 64, CallCost: 3}
  - {Name: seats, Service: atelier-app, PathPrefix: /seats, NonIdempotent: true, DatedKeys: true}
  - {Name: atelier, Service: atelier-app, PathPrefix: /atelier}
InstanceSets:
  - Name: engines
    Endpoints:
      - {Name: brush-1, Service: brush-llm, Kind: Engine, Address: "` + engine + `", AvailabilityZone: luzon-a-1, Region: luzon-a}
      - {Name: atelier-1, Service: atelier-app, Kind: Plain, Address: "` + engine + `", AvailabilityZone: luzon-a-1, Region: luzon-a}
`
	configuration, outcome := (&operator.Configuration{}).Apply(platform.Entry{Payload: []byte(ticket)})
	if _, accepted := outcome.(*operator.Accepted); !accepted {
		t.Fatalf("test ticket not accepted: %+v", outcome)
	}
	return configuration
}

// send passes a request to the server's handler and returns the recorded answer. The header arguments alternate between names
// and values.
func send(s *Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, newBody(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}
