package endpoint

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// eventually waits until a condition is met by another goroutine.
func eventually(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for range 10_000 {
		if isMet() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s: condition was not met in time", condition)
}

// assertReason performs a call and compares the reason of its refusal.
func assertReason(t *testing.T, f *fixture, call *Call, want verdict.Reason) {
	t.Helper()
	assert.Equal(t, want, perform(t, f, t.Context(), call).Reason)
}

// forwarder is a proxy between the router and an endpoint that can drop the state of its connections, as a NAT
// gateway does.
type forwarder struct {
	listener net.Listener
	target   string
	// generation is increased to drop all connections: connections of an earlier generation stay open but carry no
	// more data.
	generation atomic.Int64
}

func newForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.Must(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	f := &forwarder{listener: listener, target: target}
	go f.run()
	return f
}

func (f *forwarder) run() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		generation := f.generation.Load()
		go f.copyData(near, far, generation)
		go f.copyData(far, near, generation)
	}
}

func (f *forwarder) copyData(to, from net.Conn, generation int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		isCurrent := generation == f.generation.Load()
		switch {
		case err == nil && isCurrent:
			_, _ = to.Write(buffer[:n])
		case err != nil && isCurrent:
			_ = to.Close()
			return
		case err != nil:
			return
		}
	}
}

func TestSilentConnection(t *testing.T) {
	// Two simultaneous calls leave two connections in the pool, and the proxy drops the state of firstCalls.
	var firstCalls sync.WaitGroup
	firstCalls.Add(2)
	var calls atomic.Int64
	server := httptest.NewServer(answerProbes(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= 2 {
			firstCalls.Done()
			firstCalls.Wait()
		}
		respondWithEvents(delta("a"), doneEvent)(w, r)
	}))
	defer server.Close()
	proxy := newForwarder(t, server.Listener.Addr().String())
	f := newFixture(t)
	f.addEndpoint(proxy.listener.Addr().String())
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { assertReason(t, f, streamCall(), "") })
	}
	group.Wait()
	proxy.generation.Add(1)
	call := streamCall()
	call.Route.Limits.HeaderTimeout, call.Route.Limits.Attempts = 50*time.Millisecond, 2
	assertReason(t, f, call, "")
	assert.Equal(t, 1, f.counter("retry.endpoint_silent"))
	assert.Equal(t, 1, f.counter("endpoint.cleared"))
	assert.Equal(t, 0, f.counter("endpoint.ejected.silent"))
}

func TestEjection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.Must(t, err)
	address := listener.Addr().String()
	_ = listener.Close()
	f := newFixture(t)
	f.addEndpoint(address)
	assertReason(t, f, plainCall(), verdict.NoEndpoint)
	assert.Equal(t, 1, f.counter("endpoint.ejected.unreachable"))

	// The dispatcher's ticks probe the ejected endpoint until it is admitted again.
	go func() { _ = f.Run(t.Context()) }()
	listener, err = net.Listen("tcp", address)
	assert.Must(t, err)
	server := httptest.NewUnstartedServer(answerProbes(func(http.ResponseWriter, *http.Request) {}))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	defer server.Close()
	eventually(t, "admission", func() bool { return f.counter("endpoint.admitted") == 1 })
	assertReason(t, f, plainCall(), "")
}

func TestLeaving(t *testing.T) {
	var leaving, staying atomic.Int64
	f := newFixture(t,
		func(http.ResponseWriter, *http.Request) { leaving.Add(1) },
		func(http.ResponseWriter, *http.Request) { staying.Add(1) })
	list := func(version uint64, states ...platform.InstanceState) {
		listing := &platform.Listing{Version: version}
		for i, state := range states {
			listing.Instances = append(listing.Instances, platform.Instance{Name: f.set.Endpoints[i].Name, State: state})
		}
		f.board.Listing.Store(listing)
		leaving.Store(0)
		staying.Store(0)
		for range 30 {
			assertReason(t, f, plainCall(), "")
		}
		assert.Equal(t, 30, leaving.Load()+staying.Load())
	}
	list(1, platform.Live, platform.Live)
	assert.Equal(t, true, leaving.Load() > 0 && staying.Load() > 0)
	list(2, platform.Leaving, platform.Live)
	assert.Equal(t, 0, leaving.Load())
	list(1, platform.Live, platform.Live)
	assert.Equal(t, 0, leaving.Load())
	list(3)
	assert.Equal(t, 0, leaving.Load())
	assert.Equal(t, 2, f.counter("listing.ignored"))
}

func TestQueue(t *testing.T) {
	started, finish := make(chan struct{}, 1), make(chan struct{})
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-finish
	})
	f.set.Endpoints[0].Concurrency = 1
	f.board.Configuration.Store(&operator.Configuration{InstanceSets: map[string]operator.InstanceSet{"engines": f.set}})
	f.settings.QueueLength = 1
	reasons := make(chan verdict.Reason, 2)
	for range 2 {
		go func() { reasons <- perform(t, f, t.Context(), plainCall()).Reason }()
	}
	<-started
	eventually(t, "waiting", func() bool { return f.counter("queue.waited") == 1 })
	assertReason(t, f, plainCall(), verdict.Overloaded)
	finish <- struct{}{}
	<-started
	finish <- struct{}{}
	assert.Equal(t, "", <-reasons)
	assert.Equal(t, "", <-reasons)
}

func TestFallback(t *testing.T) {
	var got string
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = string(body)
		respondWithEvents(delta("a"), doneEvent)(w, r)
	})
	configuration := *f.board.Configuration.Load()
	configuration.Routes = map[string]operator.Route{"small": {Name: "small", Service: testService, Model: "small"}}
	f.board.Configuration.Store(&configuration)
	call := streamCall()
	call.Route.Service, call.Route.Model, call.Body = "other-llm", "large", []byte(`{"model":"large"}`)
	assertReason(t, f, call, verdict.NoEndpoint)
	call.Route.Fallbacks = []string{"unknown", "small"}
	assertReason(t, f, call, "")
	assert.Equal(t, `{"model":"small"}`, got)
}

func TestSlowReader(t *testing.T) {
	cancelled := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		text := delta(strings.Repeat("x", 64<<10))
		for r.Context().Err() == nil {
			respondWithEvents(text)(w, r)
		}
		close(cancelled)
	})
	f.settings.WriteTimeout = 50 * time.Millisecond
	ended := make(chan error, 1)
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := streamCall()
		call.Model.MaxTokens = 1 << 40
		_, err := f.Do(r.Context(), call, w)
		ended <- err
	}))
	defer router.Close()
	connection, err := net.Dial("tcp", router.Listener.Addr().String())
	assert.Must(t, err)
	defer func() { _ = connection.Close() }()
	_, _ = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: router\r\nContent-Length: 0\r\n\r\n")
	assert.Equal(t, verdict.MayHaveRun, verdict.FromError(<-ended))
	<-cancelled
}
