package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// call is one client attempt and what the client saw of it.
type call struct {
	id, kind, machine string
	sentAt, endedAt   time.Time
	status            int
	seal, body        string
	// isWhole reports whether the answer was complete by its framing. failure is the error of the channel otherwise.
	isWhole bool
	failure string
}

// clients send requests and keep what they saw.
type clients struct {
	machines []*machine
	number   atomic.Int64

	mu    sync.Mutex
	calls []*call
}

// request is a kind of request.
type request struct {
	kind, method, path, headers string
	deadline                    time.Duration
}

// send sends one request on a new channel to a machine, and waits for its answer.
func (c *clients) send(m *machine, k *request) *call {
	a := &call{id: fmt.Sprintf("%s-%06d", k.kind, c.number.Add(1)), kind: k.kind, machine: m.name, sentAt: time.Now()}
	defer func() {
		a.endedAt = time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.calls = append(c.calls, a)
	}()
	connection, err := net.DialTimeout("tcp", m.frontend, time.Second)
	if err != nil {
		a.failure = "connect: " + err.Error()
		return a
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(k.deadline))
	body := ""
	if k.method == http.MethodPost {
		body = "body of " + a.id
	}
	_, err = fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: lab.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key-of-studio\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		k.method, k.path, a.id, k.deadline.Milliseconds(), k.headers, len(body), body)
	if err != nil {
		a.failure = "send: " + err.Error()
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: k.method})
	if err != nil {
		a.failure = "answer: " + err.Error()
		return a
	}
	a.status, a.seal = response.StatusCode, response.Header.Get("Response-Seal")
	content, err := io.ReadAll(response.Body)
	a.body = string(content)
	if err != nil {
		a.failure = "body: " + err.Error()
		return a
	}
	a.isWhole = true
	return a
}

// load sends requests of a kind at an interval, to the machines in rotation by turns, until stop is closed.
func (c *clients) load(k *request, interval time.Duration, stop <-chan struct{}, done *sync.WaitGroup) {
	c.loadEach(func() *request { return k }, interval, stop, done)
}

// loadEach is load with a request of its own each time.
func (c *clients) loadEach(next func() *request, interval time.Duration, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		var ready []*machine
		for _, m := range c.machines {
			if m.inRotation.Load() {
				ready = append(ready, m)
			}
		}
		if len(ready) == 0 {
			continue
		}
		m := ready[turn%len(ready)]
		open.Add(1)
		go func() {
			defer open.Done()
			c.send(m, next())
		}()
	}
}

// count returns the number of finished requests.
func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

func (c *clients) snapshot() []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*call(nil), c.calls...)
}
