package endpoint

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

// discardWriter is a response writer that accepts and discards everything.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) FlushError() error           { return nil }

func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// newEngines returns a router in front of the given number of endpoints, each of which responds with a stream of ten
// tokens.
func newEngines(b *testing.B, count int) *fixture {
	b.Helper()
	return newFixture(b, slices.Repeat([]http.HandlerFunc{respondWithEvents(strings.Repeat(delta("token"), 10) + doneEvent)}, count)...)
}

func benchCall() *Call {
	call := streamCall()
	call.Model.MaxTokens, call.Model.PrefixHash = 100, 7
	return call
}

// BenchmarkDo measures the allocations of a request with eleven events. They include the allocations of the endpoint,
// which runs in the same process.
func BenchmarkDo(b *testing.B) {
	d := newEngines(b, 9)
	call := benchCall()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Do(b.Context(), call, &discardWriter{http.Header{}}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPlace measures the selection of an endpoint for different numbers of endpoints in a service.
func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{9, 18, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d := newEngines(b, count)
			j := &job{dispatcher: d.Dispatcher, call: benchCall(), route: operator.Route{Service: testService}}
			b.ReportAllocs()
			for b.Loop() {
				p, _ := d.acquire(b.Context(), j)
				d.release(p, j, outcome{})
			}
		})
	}
}
