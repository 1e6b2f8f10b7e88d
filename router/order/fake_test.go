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

const loadTime = 8 * time.Second

// settings are those of the tests; lapse is 12 s.
func settings() Settings {
	return Settings{Lease: 10 * time.Second, LeaseMargin: 2 * time.Second, SnapshotInterval: 10 * time.Second}
}

// fakeEngine drops at once what an order doesn't want and has the rest after loadTime.
type fakeEngine struct {
	checks bool
	// loseOrders and loseAnswers count the orders that are still to be lost before and after they are taken.
	loseOrders, loseAnswers int
	down                    bool

	loaded   []order.Artifact
	accepted platform.Offset
	newest   order.Order
	busyTill time.Time
	// sentAt are the times at which orders came, lost ones too.
	sentAt []time.Time
}

// site is engines and routers on a log in memory.
type site struct {
	mu      sync.Mutex
	stream  *countingLog
	engines map[string]*fakeEngine
	config  *operator.Configuration
	routers map[string]*router
}

// router is an orderer with what it needs.
type router struct {
	board *blackboard.Board
	stop  func()
}

// countingLog counts reads.
type countingLog struct {
	memory.Log
	reads atomic.Int64
}

func (l *countingLog) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	l.reads.Add(1)
	return l.Log.Read(ctx, stream, from, limit)
}

// member is the site as one router sees it.
type member struct {
	*site
	self ledger.Incarnation
}

func (m member) Self() (ledger.Incarnation, bool) { return m.self, true }

func (m member) Routers() []order.Router {
	m.mu.Lock()
	defer m.mu.Unlock()
	routers := []order.Router{}
	for _, name := range slices.Sorted(maps.Keys(m.routers)) {
		routers = append(routers, order.Router{Instance: name})
	}
	return routers
}

func (s *site) Healthy() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.engines)), func(name string) bool { return s.engines[name].down })
}

func (s *site) State(_ context.Context, address string) (order.Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[address]
	if e == nil || e.down {
		return order.Reading{}, errors.New("down")
	}
	e.settle()
	return order.Reading{Accepted: e.accepted, Busy: e.busy(), Loaded: slices.Clone(e.loaded), Role: e.newest.Role}, nil
}

func (s *site) Send(_ context.Context, address string, a *order.Send) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[address]
	if e == nil || e.down {
		return errors.New("down")
	}
	e.sentAt = append(e.sentAt, time.Now())
	if e.loseOrders > 0 {
		e.loseOrders--
		return errors.New("lost")
	}
	if e.checks && a.FencingNumber < e.accepted {
		return ErrRefused
	}
	e.settle()
	e.accepted, e.newest = a.FencingNumber, a.Order
	kept := len(e.loaded)
	e.loaded = slices.DeleteFunc(e.loaded, func(l order.Artifact) bool { return !slices.Contains(a.Order.Wanted, l) })
	if len(e.loaded) < max(len(a.Order.Wanted), kept) {
		e.busyTill = time.Now().Add(loadTime)
	}
	if e.loseAnswers > 0 {
		e.loseAnswers--
		return errors.New("lost")
	}
	return nil
}

func (e *fakeEngine) busy() bool { return time.Now().Before(e.busyTill) }

func (e *fakeEngine) settle() {
	if !e.busy() && e.accepted > 0 {
		e.loaded = slices.Clone(e.newest.Wanted)
	}
}

// models returns artifacts of version 1.
func models(names ...string) []order.Artifact {
	artifacts := []order.Artifact{}
	for _, name := range names {
		artifacts = append(artifacts, order.Artifact{Model: name, Version: "1"})
	}
	return artifacts
}

// newSite returns engines e1, e2 and so on, all of a kind, that have the same loaded.
func newSite(engines int, checks bool, loaded ...string) *site {
	s := &site{stream: &countingLog{}, engines: map[string]*fakeEngine{}, routers: map[string]*router{}}
	for i := range engines {
		s.engines[fmt.Sprint("e", i+1)] = &fakeEngine{checks: checks, loaded: models(loaded...)}
	}
	return s
}

// want lets the tickets want artifacts of every engine.
func (s *site) want(set operator.InstanceSet, wanted ...order.Artifact) {
	for _, a := range wanted {
		set.Wanted = append(set.Wanted, operator.Artifact(a))
	}
	for name, e := range s.engines {
		set.Endpoints = append(set.Endpoints, operator.Endpoint{
			Name: name, Kind: operator.EngineEndpoint, Address: name, ChecksFencing: e.checks,
		})
	}
	s.config = &operator.Configuration{InstanceSets: map[string]operator.InstanceSet{"set": set}}
	for _, r := range s.routers {
		r.board.Configuration.Store(s.config)
	}
}

// start runs a router; it ends with the test at the latest.
func (s *site) start(t *testing.T, instance string) *router {
	t.Helper()
	r := &router{board: &blackboard.Board{Metrics: metrics.NewRegistry()}}
	r.board.Configuration.Store(s.config)
	m := member{s, ledger.Incarnation{Instance: instance, Number: uint64(time.Now().UnixNano())}}
	o := NewOrderer(r.board, s.stream, m, s, s, &log.Logger{Handler: discard.Default}, settings())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	s.mu.Lock()
	s.routers[instance] = r
	s.mu.Unlock()
	r.stop = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, <-ended)
		s.mu.Lock()
		delete(s.routers, instance)
		s.mu.Unlock()
	})
	t.Cleanup(r.stop)
	return r
}

// fold returns the state that the stream leads to, and the number of granted claims by instance.
func (s *site) fold(t *testing.T) (*order.State, map[string]int) {
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
