package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// versionTries is the number of times that a case is played, since endpoints are chosen at random.
const versionTries = 8

// breakOffAfter returns a handler that sends events and breaks the stream off.
func breakOffAfter(events string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answerSealed(events)(w, r)
		_ = http.NewResponseController(w).Flush()
		abortConnection(w, r)
	}
}

// setVersions lists the engines of the gateway's endpoints with the given software versions, one for each endpoint. An empty version
// leaves the endpoint out.
func (g *gatewayTest) setVersions(versions ...string) {
	var listed []site.Endpoint
	for i, version := range versions {
		if version != "" {
			address := strings.TrimPrefix(g.endpoints[i].server.URL, "http://")
			listed = append(listed, site.Endpoint{Name: "engine" + string(rune('a'+i)), Service: "engine", Address: address, SoftwareVersion: version})
		}
	}
	g.state.Directory.Store(site.NewDirectory(listed))
}

// beginStream sends the request id-1 for a resumable stream to the first endpoint, then lists the endpoints with the given versions.
func (g *gatewayTest) beginStream(versions ...string) callResult {
	g.t.Helper()
	g.setVersions(versions[0])
	answer := g.endpoints[0].answer
	g.endpoints[0].answer = func(w http.ResponseWriter, r *http.Request) {
		g.setVersions(versions...)
		answer(w, r)
	}
	return g.call(http.MethodPost, "/talk/", "", func(r *http.Request) { r.Header.Set("Id", "id-1") })
}

// resumeStream sends a caller's request that resumes a stream after its first event.
func (g *gatewayTest) resumeStream(identifier, resumed string) callResult {
	g.t.Helper()
	return g.call(http.MethodPost, "/talk/", "", func(r *http.Request) {
		r.Header.Set("Id", identifier)
		r.Header.Set("After", "1")
		r.Header.Set("Resumes", resumed)
	})
}

// TestStreamStaysAtItsVersion guards against streams that go on at an endpoint of another software version than the one that began them.
func TestStreamStaysAtItsVersion(t *testing.T) {
	const first, second = "id: 1\n\n", "id: 2\n\n"
	t.Run("router continues", func(t *testing.T) {
		for range versionTries {
			g := newGatewayTest(t, breakOffAfter(first), answerSealed("id: other\n\n"), answerSealed(second))
			got := g.beginStream("v1", "v2", "v1")
			assert.Equal(t, first+second, got.body)
			g.assertRequestCounts(1, 0, 1)
		}
	})
	t.Run("router has no endpoint of the version left", func(t *testing.T) {
		g := newGatewayTest(t, breakOffAfter(first), answerSealed(second))
		got := g.beginStream("v1", "v2")
		assert.Equal(t, true, got.truncated)
		g.assertRequestCounts(1, 0)
	})
	t.Run("no event was passed on", func(t *testing.T) {
		g := newGatewayTest(t, breakOffAfter("id: 1\n"), answerSealed(first))
		got := g.beginStream("v1", "v2")
		assert.Equal(t, first, got.body)
	})
	t.Run("caller resumes", func(t *testing.T) {
		for range versionTries {
			g := newGatewayTest(t, answerSealed(first), answerSealed("id: other\n\n"), answerSealed(second))
			g.beginStream("v1", "v2", "v1")
			g.setVersions("", "v2", "v1")
			assert.Equal(t, second, g.resumeStream("id-2", "id-1").body)
			assert.Equal(t, second, g.resumeStream("id-3", "id-1").body)
			g.assertRequestCounts(1, 0, 2)
		}
	})
	t.Run("caller resumes, the version has gone", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed(first), answerSealed(second))
		g.beginStream("v1", "v2")
		g.setVersions("", "v2")
		got := g.resumeStream("id-2", "id-1")
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Equal(t, true, strings.Contains(got.body, `"code":"stream_version_gone"`))
		g.assertRequestCounts(1, 0)
	})
	t.Run("caller resumes, one version since the first start", func(t *testing.T) {
		for _, isFirstStart := range []bool{true, false} {
			g := newGatewayTest(t, answerSealed(second))
			g.server.streams.isFirstStart = isFirstStart
			g.setVersions("v1")
			got := g.resumeStream("id-2", "")
			assert.Equal(t, isFirstStart, got.status == http.StatusOK)
		}
	})
	t.Run("caller resumes, nobody knows the version", func(t *testing.T) {
		for _, resumed := range []string{"id-0", ""} {
			g := newGatewayTest(t, answerSealed(first), answerSealed(second))
			g.setVersions("v1", "v2")
			got := g.resumeStream("id-2", resumed)
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
			assert.Equal(t, true, strings.Contains(got.body, `"code":"stream_version_unknown"`))
			g.assertRequestCounts(0, 0)
		}
	})
}

// TestWritersAreAskedAgain guards against streams that can't be resumed since the routers that read their versions from the platform were out of
// reach at first, as after the loss of all routers.
func TestWritersAreAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n, _ := newStreamNetwork(ctx, 30)
		stream := streamKey("team", "id-1")
		ranked := n.trackers["router-0"].rankedKeepers(stream)
		for _, writer := range ranked[:streamWriters] {
			n.trackers[writer].KeepVersions([]peer.StreamVersion{{Stream: stream, Service: "engine", Version: "v1"}})
			n.trackers[ranked[streamWriters]].recordCall(writer, errUnreachable)
		}
		known, ok := n.trackers[ranked[streamWriters]].lookUp(ctx, stream, "engine", time.Minute)
		assert.Equal(t, true, ok)
		assert.Equal(t, "v1", known.Version)
		cancel()
		time.Sleep(time.Second)
	})
}

// TestUnnamedStreamsAreNotConfused guards against a stream that a caller resumes without naming it being taken for another caller's stream whose
// request had no identifier.
func TestUnnamedStreamsAreNotConfused(t *testing.T) {
	const first, second = "id: 1\n\n", "id: 2\n\n"
	g := newGatewayTest(t, answerSealed(first), answerSealed(second))
	g.setVersions("v1")
	got := g.call(http.MethodPost, "/talk/", "", func(r *http.Request) { r.Header.Del("Id") })
	assert.Equal(t, first, got.body)
	g.setVersions("v1", "v2")
	assert.Equal(t, http.StatusServiceUnavailable, g.resumeStream("id-2", "").status)
}

// TestOldDirectoryShowsNoOnlyVersion guards against the only version in a directory that has not been read for long being taken for the one that
// began a stream.
func TestOldDirectoryShowsNoOnlyVersion(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{0, http.StatusOK}, {time.Hour, http.StatusServiceUnavailable}} {
		g := newGatewayTest(t, answerSealed("id: 2\n\n"))
		g.server.streams.isFirstStart = true
		g.setVersions("v1")
		readAt := time.Now().Add(-c.age)
		g.state.DirectoryReadAt.Store(&readAt)
		assert.Equal(t, c.want, g.resumeStream("id-2", "id-1").status)
	}
}

// TestInferredVersionIsConfirmed guards against a router that was suspended or cut off while endpoints of another software version joined: it must not
// take the only version of its old directory for the one that began a stream.
func TestInferredVersionIsConfirmed(t *testing.T) {
	const topic = "keyed.servers"
	for _, c := range []struct {
		name  string
		after func(shared *keyed.KeyedLog) []site.Endpoint
		want  int
	}{
		{"nothing newer", func(*keyed.KeyedLog) []site.Endpoint { return nil }, http.StatusOK},
		{"a heartbeat", func(*keyed.KeyedLog) []site.Endpoint {
			return []site.Endpoint{{Name: "enginea", Service: "engine", SoftwareVersion: "v1"}}
		}, http.StatusOK},
		{"another service", func(*keyed.KeyedLog) []site.Endpoint {
			return []site.Endpoint{{Name: "plaina", Service: "plain", SoftwareVersion: "v2"}}
		}, http.StatusOK},
		{"another version", func(*keyed.KeyedLog) []site.Endpoint {
			return []site.Endpoint{{Name: "engineb", Service: "engine", SoftwareVersion: "v2"}}
		}, http.StatusServiceUnavailable},
		{"the platform can't be reached", func(shared *keyed.KeyedLog) []site.Endpoint {
			shared.SetOutage(true)
			return nil
		}, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGatewayTest(t, answerSealed("id: 2\n\n"))
			g.server.streams.isFirstStart = true
			g.setVersions("v1")
			shared := &keyed.KeyedLog{}
			end, err := shared.AppendAt(t.Context(), topic, 0, platform.AnyOffset, []platform.KeyedRecord{record("enginea", "engine v1")})
			assert.Must(t, err)
			directories := &Directories{Board: g.state, Source: Source{Log: shared, DirectoryTopic: topic, DecodeEndpoint: decodeVersioned}}
			directories.appliedOffset.Store(end)
			g.server.streams.newer.directories = directories
			readAt := time.Now()
			g.state.DirectoryReadAt.Store(&readAt)
			for _, e := range c.after(shared) {
				_, err := shared.AppendAt(t.Context(), topic, 0, platform.AnyOffset, []platform.KeyedRecord{record(e.Name, e.Service+" "+e.SoftwareVersion)})
				assert.Must(t, err)
			}
			assert.Equal(t, c.want, g.resumeStream("id-2", "id-1").status)
		})
	}
}

// decodeVersioned reads an entry that consists of a service and a software version.
func decodeVersioned(key string, value []byte) (site.Endpoint, error) {
	service, version, _ := strings.Cut(string(value), " ")
	return site.Endpoint{Name: key, Service: service, SoftwareVersion: version}, nil
}

// TestStreamIsResumedAtAnotherRouter guards against routers that don't know the version of a stream which another router, dead by now,
// passed on.
func TestStreamIsResumedAtAnotherRouter(t *testing.T) {
	const first, second = "id: 1\n\n", "id: 2\n\n"
	shared := &keyed.KeyedLog{}
	var gateways []*gatewayTest
	var stops []context.CancelFunc
	for _, instance := range []string{"a", "b", "c", "d"} {
		ctx, stop := context.WithCancel(t.Context())
		g := newGatewayTest(t, answerSealed(first), answerSealed("id: other\n\n"), answerSealed(second))
		g.server.ConnectRouters(startRouter(ctx, t, instance, shared))
		go func() { _ = g.server.streams.run(ctx) }()
		gateways, stops = append(gateways, g), append(stops, stop)
	}
	for _, g := range gateways {
		waitFor(t, func() bool { return g.server.targets.routers.Roster.Len() == len(gateways) })
	}
	gateways[0].beginStream("v1", "v2", "v1")
	waitFor(t, func() bool {
		known := 0
		for _, g := range gateways[1:] {
			if _, ok := g.server.streams.known(streamKey("studio", "id-1")); ok {
				known++
			}
		}
		return known == streamKeepers
	})
	stops[0]()
	gateways[3].server.streams.isFirstStart = true
	gateways[3].setVersions("", "", "v1")
	gateways[3].server.streams.observe(time.Now(), gateways[3].state.Directory.Load())
	gateways[2].setVersions("", "", "v1")
	assert.Equal(t, second, gateways[2].resumeStream("id-2", "").body)
	gateways[2].endpoints[2].requests = nil
	for _, g := range gateways[1:] {
		for range versionTries {
			g.setVersions("", "v2", "v1")
			got := g.resumeStream("id-2", "id-1")
			assert.Equal(t, second, got.body)
		}
		g.assertRequestCounts(0, 0, versionTries)
	}
}

// streamNetwork carries messages between the routers of a fleet in memory. It implements streamPeers for each of them.
type streamNetwork struct {
	ctx    context.Context
	roster *peer.Roster

	mu       sync.Mutex
	trackers map[string]*streamTracker
	kill     map[string]context.CancelFunc
	isDead   map[string]bool
	// side is the side of a partition on which a router is.
	side map[string]int
}

// streamNetworkPeer is one router's access to a streamNetwork.
type streamNetworkPeer struct {
	network *streamNetwork
	self    string
}

var errUnreachable = errors.New("unreachable")

// reach returns another router's tracker. Messages to routers that can't be reached time out.
func (p *streamNetworkPeer) reach(ctx context.Context, instance string) (*streamTracker, error) {
	n := p.network
	n.mu.Lock()
	isReachable := !n.isDead[instance] && !n.isDead[p.self] && n.side[instance] == n.side[p.self]
	tracker := n.trackers[instance]
	n.mu.Unlock()
	if !isReachable {
		<-ctx.Done()
		return nil, errUnreachable
	}
	clock.Sleep(ctx, 10*time.Millisecond)
	return tracker, ctx.Err()
}

// SendVersions implements streamPeers.
func (p *streamNetworkPeer) SendVersions(ctx context.Context, instance string, list []peer.StreamVersion) error {
	tracker, err := p.reach(ctx, instance)
	if err == nil {
		tracker.KeepVersions(list)
	}
	return err
}

// FetchVersion implements streamPeers.
func (p *streamNetworkPeer) FetchVersion(ctx context.Context, instance string, stream uint64, service string) (peer.StreamVersion, bool, error) {
	tracker, err := p.reach(ctx, instance)
	if err != nil {
		return peer.StreamVersion{}, false, err
	}
	known, ok := tracker.Version(stream, service)
	return known, ok, nil
}

// newStreamNetwork returns a fleet of routers that know each other.
func newStreamNetwork(ctx context.Context, routers int) (network *streamNetwork, instances []string) {
	network = &streamNetwork{
		ctx: ctx, roster: &peer.Roster{}, trackers: make(map[string]*streamTracker), kill: make(map[string]context.CancelFunc),
		isDead: make(map[string]bool), side: make(map[string]int),
	}
	for i := range routers {
		instance := "router-" + strconv.Itoa(i)
		instances = append(instances, instance)
		network.roster.Put(peer.Router{Instance: instance})
		network.start(instance, network.roster)
	}
	return network, instances
}

// start starts a router's process.
func (n *streamNetwork) start(instance string, roster *peer.Roster) {
	tracker := newStreamTracker(&Board{Metrics: metrics.NewRegistry()})
	tracker.self, tracker.roster, tracker.peers = instance, roster, &streamNetworkPeer{network: n, self: instance}
	n.trackers[instance] = tracker
	go func() { _ = tracker.run(n.ctx) }()
}

// TestVersionsOutlastRouters guards against streams that can't be resumed, or are resumed at the wrong version, after routers have ended or
// lost each other.
func TestVersionsOutlastRouters(t *testing.T) {
	const streams = 600
	for _, c := range []struct {
		name string
		// fail makes routers fail after the streams began, leastKnown is the share of the streams of which a router that is left must know the
		// version.
		fail       func(n *streamNetwork, instances []string)
		leastKnown float64
	}{
		{"calm", func(*streamNetwork, []string) {}, 1},
		{"one router ends", func(n *streamNetwork, instances []string) { n.isDead[instances[0]] = true }, 1},
		{"two routers end", func(n *streamNetwork, instances []string) {
			n.isDead[instances[0]], n.isDead[instances[1]] = true, true
		}, 1},
		{"half of the routers end", func(n *streamNetwork, instances []string) {
			for _, instance := range instances[:len(instances)/2] {
				n.isDead[instance] = true
			}
		}, 0.75},
		{"half of the routers start anew", func(n *streamNetwork, instances []string) {
			for _, instance := range instances[:len(instances)/2] {
				n.start(instance, n.trackers[instance].roster)
			}
		}, 0.75},
		{"the routers part", func(n *streamNetwork, instances []string) {
			for _, instance := range instances[:len(instances)/2] {
				n.side[instance] = 1
			}
		}, 0.75},
	} {
		for _, routers := range []int{6, 30, 295} {
			t.Run(fmt.Sprintf("%s, %d routers", c.name, routers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					n, instances := newStreamNetwork(ctx, routers)
					random := rand.New(rand.NewPCG(1, uint64(routers)))
					version := func(stream int) string { return "v" + strconv.Itoa(stream%2) }
					for i := range streams {
						n.trackers[instances[random.IntN(routers)]].record(peer.StreamVersion{
							Stream: streamKey("team", strconv.Itoa(i)), Service: "engine", Version: version(i),
						})
					}
					time.Sleep(2 * time.Second)
					n.mu.Lock()
					c.fail(n, instances)
					n.mu.Unlock()
					known, wrong := 0, 0
					for i := range streams {
						resuming := instances[random.IntN(routers)]
						for n.isDead[resuming] {
							resuming = instances[random.IntN(routers)]
						}
						got, ok := n.trackers[resuming].lookUp(ctx, streamKey("team", strconv.Itoa(i)), "engine", time.Minute)
						switch {
						case ok && got.Version == version(i):
							known++
						case ok:
							wrong++
						}
					}
					t.Logf("%d of %d known, %d wrong", known, streams, wrong)
					assert.Equal(t, 0, wrong)
					assert.Equal(t, true, float64(known) >= c.leastKnown*streams)
					cancel()
					time.Sleep(time.Second)
				})
			})
		}
	}
}
