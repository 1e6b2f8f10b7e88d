// Package admin serves health checks, metrics and the blackboard of one router to operators, on a listener of its own.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// Server serves the operators' HTTP interface of one router.
type Server struct {
	board  *blackboard.Board
	ledger *ledgerstream.Client
}

// NewServer returns a server that shows the state of the blackboard and of the ledger's client.
func NewServer(board *blackboard.Board, client *ledgerstream.Client) *Server {
	return &Server{board: board, ledger: client}
}

// Handler returns the HTTP handler for the operators' listener.
func (s *Server) Handler() http.Handler {
	routes := chi.NewRouter()
	routes.Get("/healthz", s.health)
	routes.Get("/readyz", s.ready)
	routes.Get("/metrics", s.metrics)
	routes.Get("/debug/blackboard", s.blackboard)
	return routes
}

// health always answers with status 200, which shows that the process is alive.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{ Healthy bool }{true})
}

// ready answers with status 200 if the load balancer should send new requests to the router, and with 503 otherwise.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !s.board.Ready() {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		Ready, Configuration, Ledger, Leaving, Draining bool
	}{
		Ready:         s.board.Ready(),
		Configuration: s.board.Configuration.Load() != nil,
		Ledger:        s.board.LedgerReady.Load(),
		Leaving:       s.board.Leaving.Load(),
		Draining:      s.board.Draining.Load(),
	})
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.board.Metrics, w)
}

func (s *Server) blackboard(w http.ResponseWriter, _ *http.Request) {
	view := struct {
		Ready         bool
		Configuration *configurationView
		Listing       *platform.Listing
		Ledger        ledgerstream.Status
		Budgets       []ledger.BudgetView
		Orders        *[]blackboard.OrderStatus
	}{
		Ready:         s.board.Ready(),
		Configuration: viewConfiguration(s.board.Configuration.Load()),
		Listing:       s.board.Listing.Load(),
		Ledger:        s.ledger.Status(),
		Orders:        s.board.Orders.Load(),
	}
	s.ledger.View(func(state *ledger.State) { view.Budgets = state.Budgets() })
	writeJSON(w, http.StatusOK, view)
}

// configurationView is the part of the configuration that operators see. It leaves out the digests of the teams' keys.
type configurationView struct {
	Next         platform.Offset
	Number       uint64
	Teams        int
	Budgets      int
	Routes       map[string]operator.Route
	InstanceSets map[string]operator.InstanceSet
}

func viewConfiguration(c *operator.Configuration) *configurationView {
	if c == nil {
		return nil
	}
	return &configurationView{
		Next:         c.Next,
		Number:       c.Number,
		Teams:        len(c.Teams),
		Budgets:      len(c.Budgets),
		Routes:       c.Routes,
		InstanceSets: c.InstanceSets,
	}
}

// writeJSON answers with a value as indented JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
