package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowClients is the number of clients at each machine. Each has a receive buffer of receiveBytes and reads burstBytes at a
	// time, every burstPause.
	slowClients  = 5
	receiveBytes = 4096
	burstBytes   = 4096
	burstPause   = 4 * time.Second
	// briefEvents, briefPadding and briefWork make a stream of 14 KB in 1.5 s.
	briefEvents, briefPadding = 48, 240
	briefWork                 = 30 * time.Millisecond
	// stopDelay is the time from the slow requests to the SIGTERM of the first machine.
	stopDelay = 500 * time.Millisecond
)

// slowReader is a client that keeps its channel and reads the answer to its second request slowly, unless it is quick.
type slowReader struct {
	lab     *lab
	machine *machine
	number  int
	isQuick bool
	calls   []*call
}

// run sends two requests on one channel. It begins the second one when start is closed.
func (s *slowReader) run(start <-chan struct{}) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
		return errors.Join(err, failure)
	}}
	connection, err := dialer.DialContext(context.Background(), "tcp", s.machine.frontend)
	if err != nil {
		s.lab.note("client %d can't connect: %v", s.number, err)
		return
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(60 * time.Second))
	reader := bufio.NewReaderSize(connection, 512)
	s.request(connection, reader, true)
	<-start
	s.request(connection, reader, s.isQuick)
}

func (s *slowReader) request(connection net.Conn, reader *bufio.Reader, isQuick bool) {
	const body = "a portrait of a grey cat"
	c := &call{
		id: fmt.Sprintf("portrait-brief-%d-%d", s.number, len(s.calls)), kind: "portrait-brief", machine: s.machine.name, sentAt: time.Now(),
	}
	s.calls = append(s.calls, c)
	defer func() { c.endedAt = time.Now() }()
	_, err := fmt.Fprintf(connection, "POST /brief/7 HTTP/1.1\r\nHost: lab.example\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer key-of-studio\r\n"+
		"Model: m\r\nToken-Counts: 1460,400\r\nPrompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\nContent-Length: %d\r\n\r\n%s", c.id, len(body), body)
	if err != nil {
		c.failure = "send: " + err.Error()
		return
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		c.failure = "answer: " + err.Error()
		return
	}
	c.status, c.seal = response.StatusCode, response.Header.Get("Response-Seal")
	var content strings.Builder
	for {
		_, err := io.CopyN(&content, response.Body, burstBytes)
		c.body = content.String()
		if errors.Is(err, io.EOF) {
			c.isWhole = true
			return
		}
		if err != nil {
			c.failure = "body: " + err.Error()
			return
		}
		if !isQuick {
			time.Sleep(burstPause)
		}
	}
}

// playSlowReaders checks LOST: clients on kept channels read the answers to sound requests slowly, some of them at a machine that
// is stopped meanwhile as planned work. With TROUBLE=0 they read at once.
func playSlowReaders(l *lab) (bool, error) {
	l.configure(1, []map[string]any{
		{"name": "portrait-brief", "host": "lab.example", "path-prefix": "/brief/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 800, "target-gap-ms": 250, "priority": 1, "max-attempts": 1, "sticky": true, "service": "brush-llm"},
	}, []map[string]any{{"name": "brush-llm", "health-path": "/health", "max-connections": 360,
		"engine-kind": map[string]any{"slot-count": 64, "kv-capacity-tokens": 490530, "stride": 5}}})
	zones := []string{"luzon-a", "visayas-a", "mindanao-a"}
	for i := range 9 {
		r, err := newRunner(l.store, "brush-llm", i, zones[i%3])
		if err != nil {
			return false, err
		}
		r.slots, r.events, r.step, r.work, r.padding = 64, briefEvents, 1, briefWork, briefPadding
		l.runners = append(l.runners, r)
		go r.beat()
	}
	if err := l.startMachines(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	start, open := make(chan struct{}), &sync.WaitGroup{}
	var readers []*slowReader
	for i := range slowClients * len(l.machines) {
		s := &slowReader{lab: l, machine: l.machines[i%len(l.machines)], number: i, isQuick: !l.hasTrouble}
		readers = append(readers, s)
		open.Add(1)
		go func() {
			defer open.Done()
			s.run(start)
		}()
	}
	time.Sleep(contactTime)
	close(start)
	time.Sleep(stopDelay)
	stopped, stoppedAt := l.machines[0], time.Now()
	stopped.signal(syscall.SIGTERM)
	l.noteAt(stoppedAt, "SIGTERM to %s", stopped.name)
	open.Wait()
	for _, s := range readers {
		l.clients.calls = append(l.clients.calls, s.calls...)
	}
	l.summarize()
	return l.judgeSlowReaders(stopped, stoppedAt), nil
}

// judgeSlowReaders reports whether LOST was broken: by an answer that was cut around the planned stop, or by more than three at
// another machine.
func (l *lab) judgeSlowReaders(stopped *machine, stoppedAt time.Time) bool {
	ran := make(map[string]arrival)
	for _, a := range l.arrivals() {
		ran[a.id] = a
	}
	cut := make(map[string]int)
	for _, c := range l.clients.calls {
		a, wasPassedOn := ran[c.id]
		whole := eventsOf(c.id, briefEvents, 1, briefPadding)
		if !wasPassedOn || c.isWhole && c.body == whole && c.seal == seal(c.id) {
			continue
		}
		if c.machine == stopped.name && c.endedAt.After(stoppedAt.Add(graceTime+time.Second)) {
			continue
		}
		cut[c.machine]++
		l.noteAt(c.endedAt, "CUT: %s was passed on to %s, which gave its whole answer: %t; the client at %s got %d of %d bytes, then %s",
			c.id, a.runner, a.isComplete, c.machine, len(c.body), len(whole), c.failure)
	}
	isBroken := false
	for _, m := range l.machines {
		if m == stopped && cut[m.name] > 0 {
			isBroken = true
			l.note("BROKEN: %s cut %d answers on kept channels around its planned stop", m.name, cut[m.name])
		}
		if m != stopped && cut[m.name] > 3 {
			isBroken = true
			l.note("BROKEN: %s closed %d kept channels on which it had passed requests on, before their answers had ended", m.name, cut[m.name])
		}
	}
	return isBroken
}
