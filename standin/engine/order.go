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

// Artifact is a version of a model, or of an adapter for a model, that the engine can load.
type Artifact struct {
	Model   string
	Adapter string
	Version string
}

// servedName returns the model name with which callers request the artifact.
func (a Artifact) servedName() string { return cmp.Or(a.Adapter, a.Model) }

// Order instructs the engine to change its loaded artifacts and its role.
type Order struct {
	FencingNumber uint64
	// Wanted is the complete list of artifacts to have loaded; the engine unloads all others.
	Wanted []Artifact
	Role   string
}

// State is the engine's report on its orders and loaded artifacts.
type State struct {
	// Accepted is the fencing number of the last accepted order.
	Accepted uint64
	// Busy reports whether an order is in progress.
	Busy   bool
	Loaded []Artifact
	Role   string
}

// pendingOrder is an accepted order that takes effect at finishAt.
type pendingOrder struct {
	order    Order
	finishAt time.Time
}

// State returns the current state, after applying the orders that are due.
func (e *Engine) State() State {
	e.once.Do(e.initialize)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.applyDueOrdersLocked()
	return State{Accepted: e.acceptedFencingNumber, Busy: len(e.pendingOrders) > 0, Loaded: slices.Clone(e.loaded), Role: e.role}
}

// Orders returns all accepted orders, the oldest first.
func (e *Engine) Orders() []Order {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.orders)
}

// DropOrderAnswers makes the engine abort the connection instead of answering the given number of next orders. It still
// accepts these orders.
func (e *Engine) DropOrderAnswers(count int) {
	e.withLock(func() { e.answersToDrop = count })
}

// handleOrder answers as soon as the order is accepted. Callers poll the state to learn when the order has taken effect.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	order := Order{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		serve.WriteError(w, http.StatusBadRequest, fmt.Errorf("decode order: %w", err))
		return
	}
	if err := e.acceptOrder(order); err != nil {
		serve.WriteError(w, http.StatusConflict, err)
		return
	}
	if e.shouldDropAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) shouldDropAnswer() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.answersToDrop == 0 {
		return false
	}
	e.answersToDrop--
	return true
}

// acceptOrder accepts an order, unless the engine checks fencing numbers and the order's is lower than the accepted one. It
// unloads unwanted artifacts at once. The wanted ones and the role take effect after the loading time.
func (e *Engine) acceptOrder(order Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.applyDueOrdersLocked()
	if e.ChecksFencing && order.FencingNumber < e.acceptedFencingNumber {
		return fmt.Errorf("fencing number %d is below %d", order.FencingNumber, e.acceptedFencingNumber)
	}
	e.acceptedFencingNumber = order.FencingNumber
	e.orders = append(e.orders, order)
	e.loaded = slices.DeleteFunc(e.loaded, func(a Artifact) bool { return !slices.Contains(order.Wanted, a) })
	delay := time.Duration(0)
	if len(e.loaded) < len(order.Wanted) {
		delay = time.Duration(float64(e.LoadModelDelay) * e.slowFactor)
	}
	e.pendingOrders = append(e.pendingOrders, pendingOrder{order: order, finishAt: time.Now().Add(delay)})
	e.applyDueOrdersLocked()
	return nil
}

// applyDueOrdersLocked applies the pending orders whose loading time has passed. An engine that checks fencing numbers
// discards an order if a newer one was accepted in the meantime; an engine without this check applies both. The caller must
// hold the mutex.
func (e *Engine) applyDueOrdersLocked() {
	now := time.Now()
	e.pendingOrders = slices.DeleteFunc(e.pendingOrders, func(p pendingOrder) bool {
		if p.finishAt.After(now) {
			return false
		}
		if !e.ChecksFencing || p.order.FencingNumber == e.acceptedFencingNumber {
			e.loaded, e.role = slices.Clone(p.order.Wanted), p.order.Role
		}
		return true
	})
}

// servedNames returns the model names that callers can request.
func (e *Engine) servedNames() []string {
	names := []string{}
	for _, a := range e.State().Loaded {
		names = append(names, a.servedName())
	}
	return names
}
