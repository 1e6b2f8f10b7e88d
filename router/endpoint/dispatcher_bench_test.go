package endpoint

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// benchPace is the time between tokens in the comparison of latencies.
const benchPace = 50 * time.Millisecond

// discard is a caller that takes everything.
type discard struct{ header http.Header }

func (w *discard) Header() http.Header         { return w.header }
func (w *discard) Write(p []byte) (int, error) { return len(p), nil }
func (w *discard) WriteHeader(int)             {}
func (w *discard) FlushError() error           { return nil }

func (w *discard) SetWriteDeadline(time.Time) error { return nil }

// engines starts endpoints that answer with a stream of ten tokens at a pace.
func engines(b *testing.B, count int, pace time.Duration) *blackboard.Board {
	b.Helper()
	set := operator.InstanceSet{}
	for i := range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", eventStreamType)
			for range 10 {
				_, _ = io.WriteString(w, delta("token"))
				if pace > 0 {
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pace)
				}
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
	d := NewDispatcher(engines(b, 9, 0), Settings{})
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
			d := NewDispatcher(engines(b, count, 0), Settings{})
			j := &job{dispatcher: d, call: benchCall(), route: operator.Route{Service: testService}}
			b.ReportAllocs()
			for b.Loop() {
				p, _ := d.acquire(b.Context(), j)
				d.release(p, j, outcome{})
			}
		})
	}
}

// BenchmarkAddedLatency compares calls through a router with calls of the endpoint itself.
func BenchmarkAddedLatency(b *testing.B) {
	board := engines(b, 9, benchPace)
	d := NewDispatcher(board, Settings{})
	call := benchCall()
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = d.Do(r.Context(), call, w)
	}))
	b.Cleanup(router.Close)
	direct := "http://" + board.Configuration.Load().InstanceSets["engines"].Endpoints[0].Address
	for _, streams := range []int{1, 64, 512} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			mean := func(address string) time.Duration { return meanLatency(b, address, streams, b.N) }
			near := mean(direct)
			far := mean(router.URL)
			b.ReportMetric(float64(near.Microseconds()), "direct-µs")
			b.ReportMetric(float64((far - near).Microseconds()), "added-µs")
		})
	}
}

// meanLatency performs calls from so many callers at once.
func meanLatency(b *testing.B, address string, streams, calls int) time.Duration {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	var total, left atomic.Int64
	left.Store(int64(max(calls, streams)))
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				begun := time.Now()
				response, err := client.Post(address+"/v1/chat/completions", "application/json", nil)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				total.Add(int64(time.Since(begun)))
			}
		})
	}
	group.Wait()
	return time.Duration(total.Load() / int64(max(calls, streams)))
}
