package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// testRouter is the blackboard of a router whose configuration controllers run on a log in memory.
type testRouter struct {
	board      *blackboard.Board
	controller *Configuration
	stop       func()
}

// fakePeers returns the entries on another router's blackboard, and none if board is nil.
type fakePeers struct{ board *blackboard.Board }

func (f *fakePeers) NewestConfiguration(_ context.Context, next platform.Offset) []platform.Entry {
	if f.board == nil {
		return nil
	}
	return f.board.Entries.From(next)
}

// startRouter starts the controllers that read the configuration and write its snapshots.
func startRouter(stream platform.Log, peers *fakePeers) *testRouter {
	board := &blackboard.Board{Metrics: metrics.NewRegistry()}
	client := ledgerstream.NewClient(stream, ledgerstream.Settings{Instance: "r"}, board.Metrics)
	logger := &log.Logger{Handler: discard.Default}
	r := &testRouter{board: board, controller: NewConfiguration(board, stream, client, peers, logger)}
	ctx, cancel := context.WithCancel(context.Background())
	loopEnded := make(chan struct{}, 2)
	for _, run := range []func(context.Context) error{
		r.controller.Run, NewConfigurationSnapshotWriter(board, stream, client, 10*time.Second).Run,
	} {
		go func() {
			_ = run(ctx)
			loopEnded <- struct{}{}
		}()
	}
	r.stop = func() {
		cancel()
		<-loopEnded
		<-loopEnded
	}
	return r
}

// configurationNumber returns the number of the configuration in force; 0 before a configuration is in force.
func (r *testRouter) configurationNumber() uint64 {
	if c := r.board.Configuration.Load(); c != nil {
		return c.Number
	}
	return 0
}

// appendEntry appends an entry to the configuration stream.
func appendEntry(t *testing.T, stream platform.Log, payload string) {
	t.Helper()
	if _, err := stream.Append(context.Background(), platform.ConfigurationStream, []byte(payload)); err != nil {
		t.Fatal(err)
	}
}

// ticketText returns a change ticket with the given number, which declares one team.
func ticketText(number int) string {
	return fmt.Sprintf("Number: %d\nTeams: [{Name: studio, KeyDigests: [a%063d]}]\n", number, number)
}

func TestConfiguration(t *testing.T) {
	t.Run("malformed entries are skipped and counted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			stream := &memory.Log{}
			for _, payload := range []string{"", "garbage", "\x00\xff", "Number: 9\nNoSuchField: 1\n", ticketText(1)} {
				appendEntry(t, stream, payload)
			}
			r := startRouter(stream, &fakePeers{})
			defer r.stop()
			time.Sleep(time.Second)
			assert.Equal(t, 1, r.configurationNumber())
			assert.Equal(t, 4, counterValue(r.board, "configuration.ticket.malformed"))
		})
	})
	t.Run("a new ticket is in force within 5 s and an older one changes nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			stream := &memory.Log{}
			r := startRouter(stream, &fakePeers{})
			defer r.stop()
			appendEntry(t, stream, ticketText(2))
			time.Sleep(5 * time.Second)
			assert.Equal(t, 2, r.configurationNumber())
			appendEntry(t, stream, ticketText(1))
			time.Sleep(5 * time.Second)
			assert.Equal(t, 2, r.configurationNumber())
			assert.Equal(t, 1, counterValue(r.board, "configuration.ticket.refused"))
		})
	})
	t.Run("a new router continues from a snapshot when the log dropped the tickets", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			stream := &memory.Log{}
			appendEntry(t, stream, ticketText(3))
			first := startRouter(stream, &fakePeers{})
			defer first.stop()
			time.Sleep(30 * time.Second)
			stream.SetRetention(memory.Retention{Age: time.Minute})
			time.Sleep(2 * time.Minute)
			second := startRouter(stream, &fakePeers{})
			defer second.stop()
			time.Sleep(time.Second)
			assert.Equal(t, 3, second.configurationNumber())
		})
	})
	t.Run("without a snapshot a new router stays without configuration", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			stream := &memory.Log{}
			appendEntry(t, stream, ticketText(3))
			stream.SetRetention(memory.Retention{Age: time.Second})
			time.Sleep(time.Minute)
			r := startRouter(stream, &fakePeers{})
			defer r.stop()
			time.Sleep(time.Second)
			assert.Equal(t, true, r.board.Configuration.Load() == nil)
		})
	})
}

// TestConfigurationFromPeers guards against a router that stays on an old configuration while the log is unreachable, and
// against a new router that trusts its peers before it has ever read the log to its end.
func TestConfigurationFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reachableLog, unreachableLog := &memory.Log{}, &memory.Log{}
		for _, stream := range []*memory.Log{reachableLog, unreachableLog} {
			appendEntry(t, stream, ticketText(1))
		}
		connected := startRouter(reachableLog, &fakePeers{})
		defer connected.stop()
		disconnected := startRouter(unreachableLog, &fakePeers{board: connected.board})
		defer disconnected.stop()
		time.Sleep(time.Second)
		unreachableLog.SetOutage(true)
		newRouter := startRouter(unreachableLog, &fakePeers{board: connected.board})
		defer newRouter.stop()
		appendEntry(t, reachableLog, ticketText(2))
		time.Sleep(5 * time.Second)
		assert.Equal(t, 2, disconnected.configurationNumber())
		assert.Equal(t, 0, newRouter.configurationNumber())
	})
}

// TestListing guards against an older instance list that replaces a newer one. The platform returns the versions 3, 2 and 4,
// in this order.
func TestListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := &blackboard.Board{Metrics: metrics.NewRegistry()}
		list := &fakeInstanceList{}
		i := NewInstances(board, list)
		for _, version := range []uint64{3, 2, 4} {
			list.version = version
			i.step(context.Background())
		}
		assert.Equal(t, 4, board.Listing.Load().Version)
		assert.Equal(t, 1, counterValue(board, "instances.listing.older"))
	})
}

// fakeInstanceList returns an empty listing with the given version.
type fakeInstanceList struct{ version uint64 }

func (l *fakeInstanceList) Instances(context.Context) (platform.Listing, error) {
	return platform.Listing{Version: l.version}, nil
}

// counterValue returns the value of one of a router's counters.
func counterValue(board *blackboard.Board, name string) int64 {
	return metrics.GetOrRegisterCounter(name, board.Metrics).Count()
}

// TestHomeMistakesOfConfiguration guards against routes and teams without a region in common that operators aren't told of, or are told of with
// each ticket.
func TestHomeMistakesOfConfiguration(t *testing.T) {
	endpoints := func(region string) operator.InstanceSet {
		return operator.InstanceSet{Endpoints: []operator.Endpoint{{Region: region, AvailabilityZone: region + "1"}}}
	}
	c := &Configuration{board: &blackboard.Board{Metrics: metrics.NewRegistry()}, logger: &log.Logger{Handler: discard.New()}}
	report := func(team ...string) int64 {
		c.current = &operator.Configuration{
			Routes:       map[string]operator.Route{"r": {Name: "r", Regions: []string{"a"}}, "gone": {Name: "gone", Regions: []string{"c"}, Removed: true}},
			Teams:        map[string]operator.Team{"t": {Name: "t", Regions: team}},
			InstanceSets: map[string]operator.InstanceSet{"a": endpoints("a"), "b": endpoints("b")},
		}
		c.reportRegions()
		return metrics.GetOrRegisterCounter(configurationRegions, c.board.Metrics).Count()
	}
	assert.Equal(t, int64(0), report())
	assert.Equal(t, int64(1), report("b"))
	assert.Equal(t, int64(1), report("b"))
	assert.Equal(t, int64(1), report("a", "b"))
	assert.Equal(t, int64(2), report("b"))
}
