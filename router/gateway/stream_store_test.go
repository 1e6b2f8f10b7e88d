package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// streamRecordAge is the age of the youngest streams when all routers of a versionFleet are lost.
const streamRecordAge = time.Second

// versionFleet is a fleet of gateways that share a store and list an engine each of versions v1, v2 and v3.
type versionFleet struct {
	t        *testing.T
	gateways []*gatewayTest
	stop     context.CancelFunc
}

// startVersionFleet starts a fleet whose routers have the same instances each time.
func startVersionFleet(t *testing.T, shared *keyed.KeyedLog) *versionFleet {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	f := &versionFleet{t: t, stop: stop}
	for _, instance := range []string{"a", "b", "c"} {
		g := newGatewayTest(t, answerSealed("id: 1\ndata: v1\n\n"), answerSealed("id: 1\ndata: v2\n\n"), answerSealed("id: 1\ndata: v3\n\n"))
		g.server.ConnectRouters(startRouter(ctx, t, instance, shared))
		go func() { _ = g.server.streams.run(ctx) }()
		f.gateways = append(f.gateways, g)
	}
	for _, g := range f.gateways {
		waitFor(t, g.server.targets.hasReadRecords)
	}
	return f
}

// setVersions lists the engines of the versions at all routers.
func (f *versionFleet) setVersions(versions ...string) {
	for _, g := range f.gateways {
		g.setVersions(versions...)
		g.server.streams.observe(time.Now(), g.state.Directory.Load())
	}
}

// begin begins streams at routers in turn. It returns the version of each that began, by identifier.
func (f *versionFleet) begin(prefix string, count int) map[string]string {
	f.t.Helper()
	began := make(map[string]string)
	for i := range count {
		identifier := fmt.Sprint(prefix, i)
		got := f.gateways[i%len(f.gateways)].call(http.MethodPost, "/talk/", "", func(r *http.Request) { r.Header.Set("Id", identifier) })
		if got.status == http.StatusOK {
			began[identifier] = streamVersionOf(got.body)
		}
	}
	return began
}

func streamVersionOf(body string) string {
	_, version, _ := strings.Cut(strings.TrimSpace(body), "data: ")
	return version
}

// TestStreamsOutlastAllRouters guards against streams that can't be resumed, or go on at another version, after all routers were lost
// between and after releases.
func TestStreamsOutlastAllRouters(t *testing.T) {
	const streams = 30
	for _, c := range []struct {
		name          string
		before, after []string
	}{
		{"two versions serve", []string{"v1", "v2", ""}, []string{"v1", "v2", ""}},
		{"a release begins meanwhile", []string{"v1", "", ""}, []string{"v1", "v2", ""}},
		{"a release ends meanwhile", []string{"v1", "v2", ""}, []string{"", "v2", ""}},
		{"a release ends and another begins meanwhile", []string{"v1", "v2", ""}, []string{"", "v2", "v3"}},
		{"one version follows another meanwhile", []string{"v1", "", ""}, []string{"", "v2", ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			shared := &keyed.KeyedLog{}
			fleet := startVersionFleet(t, shared)
			fleet.setVersions(c.before...)
			began := fleet.begin("old-", streams)
			assert.Equal(t, streams, len(began))
			time.Sleep(streamRecordAge)
			fleet.stop()

			fleet = startVersionFleet(t, shared)
			defer fleet.stop()
			fleet.setVersions(c.after...)
			resumable, wentOn, joined := 0, 0, 0
			for i := range streams {
				identifier := fmt.Sprint("old-", i)
				version := began[identifier]
				got := fleet.gateways[(i+1)%len(fleet.gateways)].resumeStream("again-"+identifier, identifier)
				switch {
				case got.status == http.StatusOK && streamVersionOf(got.body) == version:
					wentOn++
				case got.status == http.StatusOK:
					joined++
				}
				if slices.Contains(c.after, version) {
					resumable++
				}
			}
			newShare := float64(len(fleet.begin("new-", streams))) / streams
			t.Logf("%d of %d went on, %.2f of new ones began, %d joined", wentOn, resumable, newShare, joined)
			assert.Equal(t, 0, joined)
			assert.Equal(t, true, float64(wentOn) >= 0.9*newShare*float64(resumable))
		})
	}
}
