package endpoint

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// newFixtureWithModels returns a dispatcher in front of engines with a concurrency of one. Each element of offers
// lists the models that an engine serves; nil means that the engine's state is not reported.
func newFixtureWithModels(t *testing.T, wanted string, offers ...[]string) *fixture {
	t.Helper()
	f, orders := newFixture(t), []blackboard.OrderStatus{}
	for i, names := range offers {
		f.addEndpoint("127.0.0.1:1")
		e := &f.set.Endpoints[i]
		e.Kind, e.Concurrency = operator.EngineEndpoint, 1
		if wanted != "" {
			e.Wanted = []operator.Artifact{{Model: wanted}}
		}
		orders = append(orders, blackboard.OrderStatus{Endpoint: e.Name, Reported: names != nil, Offers: names})
	}
	f.storeConfiguration()
	f.board.Configuration.Load().Routes = map[string]operator.Route{"ink": {Service: testService, Model: "ink"}}
	f.tick(time.Now())
	f.board.Orders.Store(&orders)
	return f
}

// acquireSlot reserves a slot for a call of a model with a fallback to the model "ink", and returns the endpoint's name
// or the reason for the refusal.
func (f *fixture) acquireSlot(ctx context.Context, model string) string {
	j := &job{dispatcher: f.Dispatcher, call: streamCall()}
	j.call.Route.Fallbacks, j.route = []string{"none", "ink"}, operator.Route{Service: testService, Model: model}
	p, refusal := j.acquire(ctx)
	if p == nil {
		return string(refusal.Reason)
	}
	return p.name
}

func (f *fixture) releaseSlot(name string) {
	f.release(f.peers[peerKey{testService, name}], &job{call: streamCall()}, outcome{isEndpointError: true})
}

func TestLoaded(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		wanted        string
		offers        [][]string
		want          []string
		ignoredModels int64
	}{
		"model loaded at one engine": {"brush", [][]string{{"brush", "ink"}, {"ink"}, {}}, []string{"engine-0"}, 0},
		"one engine not reported":    {"brush", [][]string{{"brush"}, {"ink"}, nil}, []string{"engine-0", "engine-2"}, 0},
		"no engine reported":         {"brush", [][]string{nil, nil}, []string{"engine-0", "engine-1"}, 0},
		"no models wanted":           {"", [][]string{{"brush"}, {"ink"}}, []string{"engine-0", "engine-1"}, 0},
		"fallback":                   {"brush", [][]string{{"ink"}, {}}, []string{"engine-0"}, 0},
		"nowhere":                    {"brush", [][]string{{"other"}, {}}, []string{"engine-0", "engine-1"}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			f, got := newFixtureWithModels(t, c.wanted, c.offers...), []string{}
			for p := f.acquireSlot(cancelled, "brush"); len(got) < 9 && p != "caller_went_away"; p = f.acquireSlot(cancelled, "brush") {
				got = append(got, p)
				defer f.releaseSlot(p)
			}
			slices.Sort(got)
			assert.Equal(t, c.want, got)
			assert.Equal(t, c.ignoredModels, f.counter(modelNotLoaded))
		})
	}
}

// TestFullModel checks that calls waiting for a model whose engine is full do not block calls of another model, and
// that a call is refused once the only engine with its model is ejected although another engine is healthy.
func TestFullModel(t *testing.T) {
	f, acquired := newFixtureWithModels(t, "brush", []string{"brush"}, []string{"other"}), make(chan string)
	f.settings.QueueTimeout = time.Minute
	assert.Equal(t, "engine-0", f.acquireSlot(t.Context(), "brush"))
	go func() { acquired <- f.acquireSlot(t.Context(), "brush") }()
	eventually(t, "waiting", func() bool { return f.counter(callQueued) == 1 })
	assert.Equal(t, "engine-1", f.acquireSlot(t.Context(), "other"))
	f.releaseSlot("engine-0")
	assert.Equal(t, "engine-0", <-acquired)
	f.releaseSlot("engine-0")
	f.releaseSlot("engine-1")
	f.observe(f.peers[peerKey{testService, "engine-0"}], &endpoint.Failed{Kind: endpoint.Unreachable, StartedAt: time.Now()})
	eventually(t, "ejected", func() bool { return len(f.Healthy()) == 1 })
	assert.Equal(t, "no_endpoint", f.acquireSlot(t.Context(), "brush"))
}
