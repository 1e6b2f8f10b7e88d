package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/router/cold"
)

// followerTest is a router's state that a follower of each kind updates from a log in memory.
type followerTest struct {
	t     *testing.T
	log   *keyed.KeyedLog
	state *Board
	// appliedVersions are the versions of the configurations that were put in force.
	appliedVersions []int64
	// evacuated are the numbers of evacuated zones that were known when each of appliedVersions was put in force; -1 if none were read.
	evacuated []int
	// directories is the number of directories that were put in force, cold knows which endpoints are cold.
	directories atomic.Int64
	cold        *cold.Tracker
	// fresh is the log on new connections; nil for the same as the kept ones. heartbeatInterval is that of the endpoints' entries.
	fresh             platform.KeyedLog
	heartbeatInterval time.Duration
	// restart ends the followers and starts new ones, as a new process of the router does.
	restart func()
}

// runFollowers runs body with a follower of each kind on a fake clock.
func runFollowers(t *testing.T, body func(f *followerTest)) {
	t.Helper()
	runFollowersOver(t, func(l *keyed.KeyedLog) platform.KeyedLog { return l }, body)
}

// runFollowersOver runs body with followers that read the log through a wrapper.
func runFollowersOver(t *testing.T, wrap func(*keyed.KeyedLog) platform.KeyedLog, body func(f *followerTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &followerTest{t: t, log: &keyed.KeyedLog{}}
		stop := f.start(t.Context(), wrap(f.log))
		f.restart = func() {
			stop()
			synctest.Wait()
			stop = f.start(t.Context(), wrap(f.log))
		}
		body(f)
		stop()
		synctest.Wait()
	})
}

// start starts followers with an empty state. The result ends them.
func (f *followerTest) start(ctx context.Context, keyedLog platform.KeyedLog) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	f.state = &Board{Metrics: metrics.NewRegistry()}
	source := Source{
		Log: keyedLog, Fresh: f.fresh, ConfigurationTopic: "op", ConfigurationKey: "config", DirectoryTopic: "servers",
		DecodeConfiguration: decodeVersion, DecodeEndpoint: decodeState,
	}
	logger := &log.Logger{Handler: discard.New()}
	configurations := &Configurations{
		Board: f.state, Source: source, Logger: logger,
		OnChange: func(c *site.Configuration) {
			f.appliedVersions = append(f.appliedVersions, c.Version)
			f.evacuated = append(f.evacuated, f.evacuatedZones())
		},
		Evacuations: NewEvacuations(f.state, Location{Regions: testZones()}, "op/evacuate/", logger),
	}
	f.cold = cold.NewTracker(logger, f.state.Count)
	f.cold.Configure([]site.Service{{Name: "engine", ColdTime: 3 * time.Second, ColdRate: 1}})
	directories := &Directories{
		Board: f.state, Source: source, Logger: logger, Cold: f.cold, OnChange: func(*site.Directory) { f.directories.Add(1) },
		HeartbeatInterval: f.heartbeatInterval,
	}
	go func() { _ = configurations.Run(ctx) }()
	go func() { _ = directories.Run(ctx) }()
	return cancel
}

// evacuatedZones returns the number of evacuated zones, or -1 if they haven't been read.
func (f *followerTest) evacuatedZones() int {
	evacuations := f.state.Evacuations.Load()
	if evacuations == nil {
		return -1
	}
	return len(*evacuations)
}

// slowLink is a log whose reads take perRecord for each record returned.
type slowLink struct {
	*keyed.KeyedLog

	perRecord time.Duration
}

const (
	// slowConfigurationTime is how long a configuration with hundreds of routes takes on a busy link of 10 Mbit/s,
	// slowEntryTime how long some hundred entries of endpoints take there.
	slowConfigurationTime = 150 * time.Millisecond
	slowEntryTime         = 300 * time.Millisecond
)

func (l slowLink) ReadKeyed(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.KeyedTail, error) {
	tail, err := l.KeyedLog.ReadKeyed(ctx, topic, partition, from, wait)
	if err == nil && !clock.Sleep(ctx, time.Duration(len(tail.Records))*l.perRecord) {
		err = ctx.Err()
	}
	return tail, err
}

func (l slowLink) Newest(ctx context.Context, topic string, partition int) (platform.KeyedState, error) {
	state, err := l.KeyedLog.Newest(ctx, topic, partition)
	if err == nil && !clock.Sleep(ctx, time.Duration(len(state.Records))*l.perRecord) {
		err = ctx.Err()
	}
	return state, err
}

var errUnreadable = errors.New("unreadable")

func decodeVersion(value []byte) (*site.Configuration, error) {
	c := &site.Configuration{}
	return c, json.Unmarshal(value, c)
}

// decodeState decodes an endpoint's entry that consists of the endpoint's state and, after a space, the time for which it stays cold.
func decodeState(key string, value []byte) (site.Endpoint, error) {
	e := site.Endpoint{Name: key, Service: "engine"}
	state, cold, names := strings.Cut(string(value), " ")
	if names {
		coldFor, err := time.ParseDuration(cold)
		if err != nil {
			return e, err
		}
		e.ColdFor, e.NamesCold = coldFor, true
	}
	switch state {
	case "ready":
	case "draining":
		e.State = site.EndpointDraining
	default:
		return e, errUnreadable
	}
	return e, nil
}

func (f *followerTest) put(topic, key, value string) {
	f.t.Helper()
	_, err := f.log.AppendAt(f.t.Context(), topic, 0, platform.AnyOffset, []platform.KeyedRecord{{Key: key, Value: []byte(value)}})
	assert.Must(f.t, err)
}

func (f *followerTest) assertVersion(want int64) {
	f.t.Helper()
	c := f.state.Configuration.Load()
	if c == nil {
		f.t.Fatal("no configuration is in force")
	}
	assert.Equal(f.t, want, c.Version)
}

func (f *followerTest) assertEndpoints(want ...string) {
	f.t.Helper()
	var names []string
	for _, e := range f.state.Directory.Load().Endpoints("engine") {
		names = append(names, e.Name)
	}
	assert.Equal(f.t, want, names)
}

func TestConfigurations(t *testing.T) {
	t.Run("each newer configuration is in force soon", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			for _, version := range []string{"3", "8"} {
				f.put("op", "config", `{"Version":`+version+`}`)
				time.Sleep(500 * time.Millisecond)
			}
			f.assertVersion(8)
		})
	})
	t.Run("only the newest of a burst is put in force", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			f.put("op", "config", `{"Version":1}`)
			time.Sleep(time.Second)
			for i := range 20 {
				f.put("op", "config", `{"Version":`+string(rune('a'+i))+`}`)
			}
			f.put("op", "config", `{"Version":9}`)
			time.Sleep(time.Second)
			synctest.Wait()
			assert.Equal(t, []int64{1, 9}, f.appliedVersions)
		})
	})
	t.Run("an older or undecodable configuration changes nothing", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			f.put("op", "config", `{"Version":5}`)
			time.Sleep(time.Second)
			f.put("op", "config", `{"Version":4}`)
			f.put("op", "config", "\x00")
			f.put("op", "other", `{"Version":6}`)
			time.Sleep(time.Second)
			f.assertVersion(5)
		})
	})
	t.Run("after an outage with many changes on a narrow link", func(t *testing.T) {
		runFollowersOver(t, func(l *keyed.KeyedLog) platform.KeyedLog { return slowLink{l, slowConfigurationTime} }, func(f *followerTest) {
			f.put("op", "config", `{"Version": 1}`)
			time.Sleep(2 * time.Second)
			f.log.SetOutage(true)
			time.Sleep(8 * time.Second)
			f.log.SetOutage(false)
			for version := range 40 {
				f.put("op", "config", fmt.Sprintf(`{"Version": %d}`, 2+version))
			}
			// Operators require changes to be in force within this time.
			time.Sleep(2500 * time.Millisecond)
			f.assertVersion(41)
		})
	})
	t.Run("after an outage in which the history expired", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			f.put("op", "config", `{"Version":1}`)
			time.Sleep(time.Second)
			f.log.SetOutage(true)
			time.Sleep(8 * time.Second)
			f.assertVersion(1)
			f.log.SetOutage(false)
			f.put("op", "config", `{"Version":2}`)
			f.log.Expire()
			time.Sleep(time.Second)
			f.assertVersion(2)
		})
	})
}

func TestDirectories(t *testing.T) {
	t.Run("the age of the entries grows in an outage only", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			f.put("servers", "one", "ready")
			time.Sleep(time.Minute)
			assert.Equal(t, true, time.Since(*f.state.DirectoryReadAt.Load()) <= maxDirectoryAge)
			f.log.SetOutage(true)
			time.Sleep(time.Minute)
			assert.Equal(t, true, time.Since(*f.state.DirectoryReadAt.Load()) > maxDirectoryAge)
			f.log.SetOutage(false)
			time.Sleep(time.Minute)
			assert.Equal(t, true, time.Since(*f.state.DirectoryReadAt.Load()) <= maxDirectoryAge)
		})
	})
	t.Run("endpoints are added, drain and are removed", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			f.put("servers", "one", "ready")
			f.put("servers", "two", "ready")
			time.Sleep(time.Second)
			f.assertEndpoints("one", "two")
			f.put("servers", "one", "draining")
			time.Sleep(time.Second)
			f.assertEndpoints("two")
			f.put("servers", "two", "")
			time.Sleep(time.Second)
			f.assertEndpoints()
		})
	})
	t.Run("an entry that can't be decoded names no endpoint", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			f.put("servers", "one", "ready")
			f.put("servers", "two", "\xff")
			time.Sleep(time.Second)
			f.assertEndpoints("one")
			f.put("servers", "one", "\xff")
			time.Sleep(time.Second)
			f.assertEndpoints()
		})
	})
	t.Run("after an outage with more entries than a short read can transfer", func(t *testing.T) {
		runFollowersOver(t, func(l *keyed.KeyedLog) platform.KeyedLog { return slowLink{l, slowEntryTime} }, func(f *followerTest) {
			for _, name := range []string{"one", "two", "three"} {
				f.put("servers", name, "ready")
			}
			time.Sleep(3 * time.Second)
			f.log.SetOutage(true)
			time.Sleep(8 * time.Second)
			f.log.SetOutage(false)
			f.put("servers", "three", "draining")
			time.Sleep(4 * time.Second)
			f.assertEndpoints("one", "two")
		})
	})
	t.Run("entries that expire in an outage are kept until endpoints write again", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			f.put("servers", "one", "ready")
			f.put("servers", "two", "ready")
			time.Sleep(time.Second)
			f.log.SetOutage(true)
			time.Sleep(8 * time.Second)
			f.log.SetOutage(false)
			f.put("servers", "one", "")
			f.put("servers", "two", "")
			time.Sleep(time.Second)
			f.assertEndpoints("one", "two")
			f.put("servers", "one", "ready")
			time.Sleep(3 * time.Second)
			f.assertEndpoints("one")
		})
	})
	t.Run("an entry that expires after an outage is dropped in time", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			f.put("servers", "one", "ready")
			f.put("servers", "two", "ready")
			time.Sleep(time.Second)
			f.log.SetOutage(true)
			time.Sleep(8 * time.Second)
			f.log.SetOutage(false)
			time.Sleep(time.Second)
			f.put("servers", "two", "")
			time.Sleep(directoryReadDelay)
			f.assertEndpoints("one", "two")
			// No further write ends the long poll of the reader.
			time.Sleep(site.RetentionGrace - directoryReadDelay)
			f.assertEndpoints("one")
		})
	})
	t.Run("history that expired", func(t *testing.T) {
		runFollowers(t, func(f *followerTest) {
			f.put("servers", "one", "ready")
			time.Sleep(time.Second)
			f.put("servers", "two", "ready")
			f.put("servers", "one", "")
			f.log.Expire()
			time.Sleep(time.Second)
			f.assertEndpoints("two")
		})
	})
}

// TestRestart guards against an endpoint that has left, or a configuration with a withdrawn key, in use again after a
// restart: a new process must know nothing until it has read the platform's newest records.
func TestRestart(t *testing.T) {
	runFollowers(t, func(f *followerTest) {
		f.put("op", "config", `{"Version":3}`)
		f.put("servers", "one", "ready")
		f.put("servers", "two", "ready")
		time.Sleep(time.Second)
		f.put("op", "config", `{"Version":4}`)
		f.put("servers", "one", "draining")
		f.put("servers", "one", "")
		f.log.Expire()
		f.log.SetOutage(true)
		f.restart()
		time.Sleep(3 * time.Second)
		assert.Equal(t, true, f.state.Configuration.Load() == nil)
		assert.Equal(t, true, f.state.Directory.Load() == nil)
		f.log.SetOutage(false)
		time.Sleep(3 * time.Second)
		f.assertVersion(4)
		f.assertEndpoints("two")
	})
}
