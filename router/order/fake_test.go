package order

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// loadDuration is the time that a fakeEngine needs to load models.
const loadDuration = 8 * time.Second

// settings returns the settings of the tests, in which a lease with its margin lasts 12 s.
func settings() Settings {
	return Settings{Lease: 10 * time.Second, LeaseMargin: 2 * time.Second, SnapshotInterval: 10 * time.Second}
}

// fakeEngine is an engine that immediately drops the models that an order doesn't want, and has loaded the wanted ones after
// loadDuration.
type fakeEngine struct {
	checksFencing bool
	// ordersToLose is the number of next orders that get lost before the engine accepts them. answersToLose is the number
	// of next orders whose answers get lost after the engine has accepted them.
	ordersToLose, answersToLose int
	isDown                      bool

	loaded      []order.Artifact
	accepted    platform.Offset
	newestOrder order.Order
	busyUntil   time.Time
	// sendTimes lists the times at which orders were sent to the engine while it was up, including the lost orders.
	sendTimes []time.Time
}

// testFleet is a set of fake engines and of routers that share a log in memory.
type testFleet struct {
	mu      sync.Mutex
	stream  *countingLog
	engines map[string]*fakeEngine
	config  *operator.Configuration
	routers map[string]*testRouter
}

// testRouter is the blackboard of a running orderer and the function that stops the orderer.
type testRouter struct {
	board *blackboard.Board
	stop  func()
}

// countingLog is a log in memory that counts the reads of all its streams.
type countingLog struct {
	memory.Log
	reads atomic.Int64
}

func (l *countingLog) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	l.reads.Add(1)
	return l.Log.Read(ctx, stream, from, limit)
}

// fakeMembers implements Membership for one router of a test fleet, in which every running router is live.
type fakeMembers struct {
	*testFleet
	self ledger.Incarnation
}

func (m fakeMembers) Self() (ledger.Incarnation, bool) { return m.self, true }

func (m fakeMembers) Routers() []order.Router {
	m.mu.Lock()
	defer m.mu.Unlock()
	routers := []order.Router{}
	for _, name := range slices.Sorted(maps.Keys(m.routers)) {
		routers = append(routers, order.Router{Instance: name})
	}
	return routers
}

func (s *testFleet) Healthy() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.engines)), func(name string) bool { return s.engines[name].isDown })
}

func (s *testFleet) State(_ context.Context, address string) (order.Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[address]
	if e == nil || e.isDown {
		return order.Reading{}, errors.New("down")
	}
	e.finishLoading()
	return order.Reading{Accepted: e.accepted, Busy: e.isBusy(), Loaded: slices.Clone(e.loaded), Role: e.newestOrder.Role}, nil
}

func (s *testFleet) Send(_ context.Context, address string, a *order.Send) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[address]
	if e == nil || e.isDown {
		return errors.New("down")
	}
	e.sendTimes = append(e.sendTimes, time.Now())
	if e.ordersToLose > 0 {
		e.ordersToLose--
		return errors.New("lost")
	}
	if e.checksFencing && a.FencingNumber < e.accepted {
		return ErrRefused
	}
	e.finishLoading()
	e.accepted, e.newestOrder = a.FencingNumber, a.Order
	previousCount := len(e.loaded)
	e.loaded = slices.DeleteFunc(e.loaded, func(l order.Artifact) bool { return !slices.Contains(a.Order.Wanted, l) })
	if len(e.loaded) < max(len(a.Order.Wanted), previousCount) {
		e.busyUntil = time.Now().Add(loadDuration)
	}
	if e.answersToLose > 0 {
		e.answersToLose--
		return errors.New("lost")
	}
	return nil
}

// isBusy reports whether the engine is still loading for its newest order.
func (e *fakeEngine) isBusy() bool { return time.Now().Before(e.busyUntil) }

// finishLoading makes the wanted models the loaded ones once the load time has passed.
func (e *fakeEngine) finishLoading() {
	if !e.isBusy() && e.accepted > 0 {
		e.loaded = slices.Clone(e.newestOrder.Wanted)
	}
}

// modelArtifacts returns artifacts of version 1.
func modelArtifacts(names ...string) []order.Artifact {
	artifacts := []order.Artifact{}
	for _, name := range names {
		artifacts = append(artifacts, order.Artifact{Model: name, Version: "1"})
	}
	return artifacts
}

// newTestFleet returns a fleet of equal engines e1, e2 and so on that have loaded the given models, and no routers.
func newTestFleet(engines int, checksFencing bool, loaded ...string) *testFleet {
	s := &testFleet{stream: &countingLog{}, engines: map[string]*fakeEngine{}, routers: map[string]*testRouter{}}
	for i := range engines {
		s.engines[fmt.Sprint("e", i+1)] = &fakeEngine{checksFencing: checksFencing, loaded: modelArtifacts(loaded...)}
	}
	return s
}

// declareWanted puts a configuration in force in which the instance set wants the artifacts at every engine.
func (s *testFleet) declareWanted(set operator.InstanceSet, wanted ...order.Artifact) {
	for _, a := range wanted {
		set.Wanted = append(set.Wanted, operator.Artifact(a))
	}
	for name, e := range s.engines {
		set.Endpoints = append(set.Endpoints, operator.Endpoint{
			Name: name, Kind: operator.EngineEndpoint, Address: name, ChecksFencing: e.checksFencing,
		})
	}
	s.config = &operator.Configuration{InstanceSets: map[string]operator.InstanceSet{"set": set}}
	for _, r := range s.routers {
		r.board.Configuration.Store(s.config)
	}
}

// startRouter starts a router, which runs until its stop function is called or the test ends.
func (s *testFleet) startRouter(t *testing.T, instance string) *testRouter {
	t.Helper()
	r := &testRouter{board: &blackboard.Board{Metrics: metrics.NewRegistry()}}
	r.board.Configuration.Store(s.config)
	m := fakeMembers{s, ledger.Incarnation{Instance: instance, Number: uint64(time.Now().UnixNano())}}
	o := NewOrderer(r.board, s.stream, m, s, s, &log.Logger{Handler: discard.Default}, settings())
	ctx, cancel := context.WithCancel(t.Context())
	runResult := make(chan error, 1)
	go func() { runResult <- o.Run(ctx) }()
	s.mu.Lock()
	s.routers[instance] = r
	s.mu.Unlock()
	r.stop = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, <-runResult)
		s.mu.Lock()
		delete(s.routers, instance)
		s.mu.Unlock()
	})
	t.Cleanup(r.stop)
	return r
}

// foldStream returns the state folded from the whole orders stream, and the number of granted claims by instance.
func (s *testFleet) foldStream(t *testing.T) (*order.State, map[string]int) {
	t.Helper()
	entries, err := s.stream.Log.Read(t.Context(), platform.OrdersStream, 0, 1<<20)
	assert.NoError(t, err)
	state, claims := &order.State{}, map[string]int{}
	for _, e := range entries {
		result, _ := state.Apply(e)
		if _, isClaim := result.Entry.Record.(*order.Claim); isClaim && result.Refused == "" {
			claims[result.Entry.Writer.Instance]++
		}
	}
	return state, claims
}
