package engine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// Artifact is a version of a model, or of an adapter to it, that the engine loads.
type Artifact struct {
	Model   string
	Adapter string
	Version string
}

// served returns the name under which callers ask for the artifact.
func (a Artifact) served() string { return cmp.Or(a.Adapter, a.Model) }

// Order asks the engine for a new state.
type Order struct {
	FencingNumber uint64
	// Wanted is everything that is to be loaded.
	Wanted []Artifact
	Role   string
}

// State is what the engine reports of its orders.
type State struct {
	// Accepted is the fencing number of the newest order that was taken.
	Accepted uint64
	// Busy engines carry out an order.
	Busy   bool
	Loaded []Artifact
	Role   string
}

// execution is an order that is being carried out.
type execution struct {
	order    Order
	finishAt time.Time
}

// State returns the state as of now.
func (e *Engine) State() State {
	e.once.Do(e.start)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.settleLocked()
	return State{Accepted: e.accepted, Busy: len(e.executions) > 0, Loaded: slices.Clone(e.loaded), Role: e.role}
}

// Orders returns the orders that were taken.
func (e *Engine) Orders() []Order {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.orders)
}

// LoseAnswers breaks the answers to the next orders off after they were taken.
func (e *Engine) LoseAnswers(count int) {
	e.count(func() { e.loseAnswers = count })
}

// takeOrder answers as soon as the order is taken; the state tells when it was carried out.
func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	order := Order{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		serve.WriteError(w, http.StatusBadRequest, fmt.Errorf("decode order: %w", err))
		return
	}
	if err := e.take(order); err != nil {
		serve.WriteError(w, http.StatusConflict, err)
		return
	}
	if e.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) losesAnswer() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.loseAnswers == 0 {
		return false
	}
	e.loseAnswers--
	return true
}

// take refuses an old fencing number if the engine checks it. What the order doesn't want is dropped at once; the
// rest is there, with the role, once it is loaded.
func (e *Engine) take(order Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.settleLocked()
	if e.ChecksFencing && order.FencingNumber < e.accepted {
		return fmt.Errorf("fencing number %d is below %d", order.FencingNumber, e.accepted)
	}
	e.accepted = order.FencingNumber
	e.orders = append(e.orders, order)
	e.loaded = slices.DeleteFunc(e.loaded, func(a Artifact) bool { return !slices.Contains(order.Wanted, a) })
	delay := time.Duration(0)
	if len(e.loaded) < len(order.Wanted) {
		delay = time.Duration(float64(e.LoadModelDelay) * e.slow)
	}
	e.executions = append(e.executions, execution{order: order, finishAt: time.Now().Add(delay)})
	e.settleLocked()
	return nil
}

// settleLocked finishes the orders whose time has come. An engine that checks fencing numbers forgets a load that
// a newer order overtook; another one lets both take effect.
func (e *Engine) settleLocked() {
	now := time.Now()
	e.executions = slices.DeleteFunc(e.executions, func(x execution) bool {
		if x.finishAt.After(now) {
			return false
		}
		if !e.ChecksFencing || x.order.FencingNumber == e.accepted {
			e.loaded, e.role = slices.Clone(x.order.Wanted), x.order.Role
		}
		return true
	})
}

// names returns what callers may ask for.
func (e *Engine) names() []string {
	names := []string{}
	for _, a := range e.State().Loaded {
		names = append(names, a.served())
	}
	return names
}
