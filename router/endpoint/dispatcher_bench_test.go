package endpoint

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// discard is a caller that takes everything.
type discard struct{ header http.Header }

func (w *discard) Header() http.Header         { return w.header }
func (w *discard) Write(p []byte) (int, error) { return len(p), nil }
func (w *discard) WriteHeader(int)             {}
func (w *discard) FlushError() error           { return nil }

func (w *discard) SetWriteDeadline(time.Time) error { return nil }

// engines starts endpoints that answer with a stream of ten tokens.
func engines(b *testing.B, count int) *blackboard.Board {
	b.Helper()
	set := operator.InstanceSet{}
	for i := range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", eventStreamType)
			for range 10 {
				_, _ = io.WriteString(w, delta("token"))
			}
			_, _ = io.WriteString(w, doneEvent)
		}))
		b.Cleanup(server.Close)
		set.Endpoints = append(set.Endpoints, operator.Endpoint{
			Name: fmt.Sprint(i), Service: testService, Address: server.Listener.Addr().String(), Concurrency: 1000,
		})
	}
	board := &blackboard.Board{Metrics: metrics.NewRegistry()}
	board.Configuration.Store(&operator.Configuration{InstanceSets: map[string]operator.InstanceSet{"engines": set}})
	return board
}

func benchCall() *Call {
	call := streamCall()
	call.Model.MaxTokens, call.Model.PrefixHash = 100, 7
	return call
}

// BenchmarkDo measures the allocations of a request of eleven events; those of the endpoint, which
// runs in the same process, count too.
func BenchmarkDo(b *testing.B) {
	d := NewDispatcher(engines(b, 9), Settings{})
	call := benchCall()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Do(b.Context(), call, &discard{http.Header{}}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPlace measures the choice of an endpoint among those of a busy service.
func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{9, 18, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d := NewDispatcher(engines(b, count), Settings{})
			j := &job{dispatcher: d, call: benchCall(), route: operator.Route{Service: testService}}
			b.ReportAllocs()
			for b.Loop() {
				p, _ := d.acquire(b.Context(), j)
				d.release(p, j, outcome{})
			}
		})
	}
}
