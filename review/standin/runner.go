package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// runnerDowntime is the time from a runner's crash to its next start.
	runnerDowntime = 2 * time.Second
	// seal is the header of a runner's answer.
	seal = "Response-Seal"
)

// run is a request that a runner began to work on.
type run struct {
	at                time.Time
	id, runner        string
	method, target    string
	tenant            string
	body              int
	prompt, maxOutput int
	// events is the number of events that were written.
	events int
}

// runner is a stand-in of a runner at an address.
type runner struct {
	site                   *site
	service, zone, address string
	slots                  int
	// eventInterval is the time between two events of a stream; events returns the number of events of a request.
	eventInterval time.Duration
	events        func(r *http.Request) int
	// firstEvent returns the time until the first event in addition; nil for none.
	firstEvent func(r *http.Request) time.Duration
	// workTime is how long a request takes that isn't a stream.
	workTime time.Duration
	// crashesOn reports whether a request crashes the runner; nil if none does.
	crashesOn func(r *http.Request) bool

	mu          sync.Mutex
	id          string
	born        int64
	starts      int
	sequence    int
	listener    net.Listener
	server      *http.Server
	connections map[net.Conn]struct{}
	busy        int
	waiting     []chan struct{}
	runs        []*run
	end         context.CancelFunc
}

func (s *site) startRunner(service, zone string, slots int) (*runner, error) {
	ports, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	r := &runner{
		site: s, service: service, zone: zone, slots: slots, address: fmt.Sprintf("127.0.0.1:%d", ports[0]),
		eventInterval: 50 * time.Millisecond, workTime: 30 * time.Millisecond,
		events: func(*http.Request) int { return 20 },
	}
	s.runners = append(s.runners, r)
	return r, nil
}

// start begins a new boot with a new id.
func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(r.site.ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.id, r.born, r.sequence, r.busy, r.waiting = fmt.Sprintf("i-%s-%d", r.address[len("127.0.0.1:"):], r.starts), time.Now().UnixMilli(), 0, 0, nil
	r.listener, r.connections, r.end = listener, map[net.Conn]struct{}{}, cancel
	r.server = &http.Server{Handler: r, ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateClosed {
			delete(r.connections, c)
		} else {
			r.connections[c] = struct{}{}
		}
	}}
	go func(server *http.Server) { _ = server.Serve(listener) }(r.server)
	go r.beat(ctx, r.id, r.born)
	return nil
}

// beat writes the runner's entry about every heartbeat.
func (r *runner) beat(ctx context.Context, id string, born int64) {
	for ctx.Err() == nil {
		r.mu.Lock()
		r.sequence++
		sequence := r.sequence
		r.mu.Unlock()
		r.site.put("keyed.servers", id, map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slot-count": r.slots, "state": "ready",
			"cold-remaining-ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"sequence": sequence, "born": born,
		})
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
	// The store removes the entry after three heartbeat intervals of silence.
	select {
	case <-r.site.ctx.Done():
	case <-time.After(3 * heartbeat):
		r.site.store.put("keyed.servers", id, nil)
	}
}

// crash ends the runner's process: all its channels are reset and its port has no listener.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return
	}
	r.end()
	_ = r.listener.Close()
	for c := range r.connections {
		reset(c)
	}
	r.listener = nil
}

// crashAndReturn crashes the runner, which starts again after runnerDowntime.
func (r *runner) crashAndReturn() {
	r.crash()
	time.AfterFunc(runnerDowntime, func() {
		if r.site.ctx.Err() == nil {
			_ = r.start()
		}
	})
}

func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	r.mu.Lock()
	self := r.id
	r.mu.Unlock()
	if request.URL.Path == "/health" {
		w.Header().Set("Instance-Id", self)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != self {
		w.Header().Set("Instance-Id", self)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.takeSlot(request.Context()) {
		if request.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	counts := strings.Split(request.Header.Get("Token-Counts")+",", ",")
	began := &run{at: time.Now(), id: id, runner: self, method: request.Method, target: request.RequestURI, tenant: request.Header.Get("Tenant"), body: len(body)}
	began.prompt, _ = strconv.Atoi(counts[0])
	began.maxOutput, _ = strconv.Atoi(counts[1])
	r.runs = append(r.runs, began)
	starts := r.starts
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.starts == starts {
			r.leaveSlotLocked()
		}
	}()
	if r.crashesOn != nil && r.crashesOn(request) {
		r.site.record("runner %s: runs %s and crashes", self, id)
		r.crashAndReturn()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(seal, sealOf(id))
	if request.Header.Get("Token-Counts") == "" {
		select {
		case <-time.After(r.workTime):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		answer := "answer to " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
		return
	}
	r.stream(w, request, began)
}

// takeSlot waits for a slot, in the order of arrival. It reports false if too many requests wait or the channel closes.
func (r *runner) takeSlot(ctx context.Context) bool {
	r.mu.Lock()
	if r.busy < r.slots {
		r.busy++
		r.mu.Unlock()
		return true
	}
	if len(r.waiting) >= 3*r.slots {
		r.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	r.waiting = append(r.waiting, turn)
	r.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.waiting, turn); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	} else {
		r.leaveSlotLocked()
	}
	return false
}

// leaveSlotLocked gives a slot to the request that has waited longest.
func (r *runner) leaveSlotLocked() {
	if len(r.waiting) > 0 {
		close(r.waiting[0])
		r.waiting = r.waiting[1:]
		return
	}
	r.busy--
}

// stream writes the events of a stream.
func (r *runner) stream(w http.ResponseWriter, request *http.Request, began *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.firstEvent != nil {
		select {
		case <-time.After(r.firstEvent(request)):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= r.events(request); i++ {
		select {
		case <-time.After(r.eventInterval):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		r.mu.Lock()
		began.events++
		r.mu.Unlock()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, began.id); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// allRuns returns the runs of all runners.
func (s *site) allRuns() []run {
	var all []run
	for _, r := range s.runners {
		r.mu.Lock()
		for _, began := range r.runs {
			all = append(all, *began)
		}
		r.mu.Unlock()
	}
	return all
}

func sealOf(id string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return strconv.FormatUint(h.Sum64(), 16)
}

// service returns a service of the configuration. Those of models have the slots and the tokens of an event.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false}
}

// tokensOfEvent is the number of tokens in an event of a stream.
const tokensOfEvent = 5

func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false,
		"engine-kind": map[string]any{
			"slot-count": 64, "kv-capacity-tokens": 490530, "kv-token-bytes": 163840, "link-mbps": 740000.0, "move-count": true, "backup-count": true,
			"stride": tokensOfEvent, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

func limits() map[string]any {
	return map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-ms": 3000, "idle-ms": 15000}
}

var _ = json.Marshal
