package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is heartbeat-ms of the small deployments.
const heartbeat = 1200 * time.Millisecond

// Runner is a stand-in of a runner. Its behaviour beyond PROTOCOL.md is set by Serve.
type Runner struct {
	ID, Service, Address, Zone, Version string
	Slots                               int
	// Idle is the time after which a channel without a request is closed; zero for never. It is stated in Keep-Alive.
	Idle time.Duration
	// Serve runs a request and answers it on the channel. It reports whether the channel can take a further request.
	Serve func(r *Runner, c *Channel, request *http.Request, body []byte) bool

	store    *Store
	record   *Record
	listener net.Listener
	sequence atomic.Int64
	born     int64
	places   chan struct{}
	mu       sync.Mutex
	state    string
	isGone   bool
	ended    chan struct{}
}

// Channel is a connection to a runner.
type Channel struct {
	net.Conn
	reader *bufio.Reader
}

// Start listens, registers the runner and serves.
func (r *Runner) Start(store *Store, record *Record, ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	r.store, r.record, r.listener, r.Address = store, record, listener, listener.Addr().String()
	r.born, r.state, r.ended = time.Now().UnixMilli(), "ready", make(chan struct{})
	r.places = make(chan struct{}, r.Slots)
	r.beat()
	go r.keepBeating()
	go r.accept()
	return nil
}

// beat writes the runner's entry.
func (r *Runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isGone {
		return
	}
	value, _ := json.Marshal(map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.Version, "slot-count": r.Slots, "state": r.state,
		"cold-remaining-ms": 0, "sequence": r.sequence.Add(1), "born": r.born,
	})
	r.store.Put("keyed.servers", r.ID, value)
}

func (r *Runner) keepBeating() {
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(heartbeat):
			r.beat()
		}
	}
}

// Drain reports draining.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.beat()
}

// Leave removes the runner's entry and closes its listener.
func (r *Runner) Leave() {
	r.mu.Lock()
	isGone := r.isGone
	r.isGone = true
	r.mu.Unlock()
	if !isGone {
		close(r.ended)
		r.store.Put("keyed.servers", r.ID, nil)
		_ = r.listener.Close()
	}
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveChannel(&Channel{Conn: c, reader: bufio.NewReader(c)})
	}
}

func (r *Runner) serveChannel(c *Channel) {
	defer func() { _ = c.Close() }()
	for {
		if r.Idle > 0 {
			_ = c.SetReadDeadline(time.Now().Add(r.Idle))
		}
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !r.serve(c, request, body) {
			return
		}
	}
}

// serve answers what isn't run, and waits for a slot.
func (r *Runner) serve(c *Channel, request *http.Request, body []byte) bool {
	id := request.Header.Get("Request-Id")
	if request.URL.Path == "/health" {
		return c.writeWhole("200 OK", "Instance-Id: "+r.ID+"\r\n", nil)
	}
	if id == "" {
		return c.writeWhole("400 Bad Request", "Not-Executed: 1\r\n", nil)
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.ID {
		return c.writeWhole("421 Misdirected Request", "Request-Id: "+id+"\r\nInstance-Id: "+r.ID+"\r\n", nil)
	}
	r.places <- struct{}{}
	defer func() { <-r.places }()
	r.record.Write("run", id, r.ID, request.Method, request.URL.Path)
	return r.Serve(r, c, request, body)
}

// seal returns the receipt of an answer.
func (r *Runner) seal(id string) string { return "seal." + r.ID + "." + id }

// writeWhole writes an answer with a length.
func (c *Channel) writeWhole(status, header string, body []byte) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }
