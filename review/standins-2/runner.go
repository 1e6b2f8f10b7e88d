package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeatTime = 1200 * time.Millisecond

// runner is a stand-in for a runner of a service, as PROTOCOL.md describes it. It registers itself in the store and records
// each request that reaches it.
type runner struct {
	name, service, zone, address string
	store                        *store
	slots                        int
	work                         time.Duration
	// events is the number of events of a stream, zero for plain answers; step is the distance of their ids.
	events, step int
	// padding is the number of bytes that are added to each event.
	padding int
	// answersWhole makes a model runner answer in one piece with all tokens that the request allows.
	answersWhole bool

	server *http.Server
	// inSlots holds a token for each request that the runner works on; nil if their number isn't bounded.
	inSlots chan struct{}

	mu       sync.Mutex
	arrivals []arrival
	sequence int
	born     int64
	// hasLeft reports whether the runner no longer writes entries.
	hasLeft bool
}

// arrival is a request that reached a runner. endedEarly reports whether its channel was closed before the answer was written.
type arrival struct {
	id         string
	runner     string
	at         time.Time
	ran        bool
	endedEarly bool
	isComplete bool
}

func newRunner(s *store, service string, number int, zone string) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		name: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, address: listener.Addr().String(), store: s,
		slots: 6, work: 30 * time.Millisecond, born: time.Now().UnixMilli(),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// beat writes the runner's entry every heartbeatTime until it has left.
func (r *runner) beat() {
	for {
		r.mu.Lock()
		if r.hasLeft {
			r.mu.Unlock()
			return
		}
		r.sequence++
		r.store.putJSON("keyed.servers", r.name, map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "slot-count": r.slots, "state": "ready", "sequence": r.sequence,
			"born": r.born, "version": "1.0",
		})
		r.mu.Unlock()
		time.Sleep(heartbeatTime)
	}
}

// leave removes the runner's entry, as that of a runner that leaves without a report of draining, and returns the time of the
// store's acknowledgement. The runner serves on until exit.
func (r *runner) leave() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasLeft = true
	return r.store.put("keyed.servers", r.name, nil)
}

func (r *runner) exit() { _ = r.server.Close() }

func (r *runner) record(a arrival) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	return len(r.arrivals) - 1
}

func (r *runner) update(i int, change func(a *arrival)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.arrivals[i])
}

func (r *runner) snapshot() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func seal(id string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, "seal of "+id)
	return strconv.FormatUint(h.Sum64(), 16)
}

func answerTo(id string) string { return "answer to " + id + strings.Repeat(".", 780) }

// eventsOf returns the whole stream that answers a request.
func eventsOf(id string, events, step, padding int) string {
	var all strings.Builder
	for i := 1; i <= events; i++ {
		all.WriteString(eventOf(id, i, step, padding))
	}
	return all.String()
}

func eventOf(id string, number, step, padding int) string {
	return fmt.Sprintf("id: %d\ndata: tokens of %s up to %d%s\n\n", number*step, id, number*step, strings.Repeat(".", padding))
}

// wholeAnswer returns an answer with the most output tokens that a request allows, one word for each.
func wholeAnswer(counts string) string {
	_, most, _ := strings.Cut(counts, ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(most))
	return strings.Repeat("token ", tokens)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	at, id := time.Now(), q.Header.Get("Request-Id")
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	w.Header().Set("Request-Id", id)
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.name {
		r.record(arrival{id: id, runner: r.name, at: at})
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.inSlots != nil {
		select {
		case r.inSlots <- struct{}{}:
			defer func() { <-r.inSlots }()
		case <-q.Context().Done():
			return
		}
	}
	i := r.record(arrival{id: id, runner: r.name, at: at, ran: true})
	w.Header().Set("Response-Seal", seal(id))
	if r.events == 0 || r.answersWhole && !strings.HasPrefix(q.URL.Path, "/brief/") {
		time.Sleep(r.work)
		body := answerTo(id)
		if r.answersWhole {
			body = wholeAnswer(q.Header.Get("Token-Counts"))
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, err := io.WriteString(w, body)
		r.update(i, func(a *arrival) { a.isComplete, a.endedEarly = err == nil, q.Context().Err() != nil })
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for number := 1; number <= r.events; number++ {
		select {
		case <-q.Context().Done():
			r.update(i, func(a *arrival) { a.endedEarly = true })
			return
		case <-time.After(r.work):
		}
		_, _ = io.WriteString(w, eventOf(id, number, r.step, r.padding))
		_ = control.Flush()
	}
	r.update(i, func(a *arrival) { a.isComplete = true })
}
