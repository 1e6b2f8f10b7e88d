package gateway

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// lineBacklog bounds the log lines that wait to be written: some seconds of a busy router.
	lineBacklog = 2048
	// flushTimeout bounds the wait for the last lines at the end.
	flushTimeout = 150 * time.Millisecond
)

// Lines writes log lines without ever blocking who logs: lines beyond the backlog of a slow reader are dropped and
// counted, and a line tells how many were.
type Lines struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// NewLines returns a writer whose lines run passes on to out.
func NewLines(out io.Writer) *Lines {
	l := &Lines{out: out, lines: make(chan []byte, lineBacklog), ended: make(chan struct{})}
	go l.run()
	return l
}

// Write implements io.Writer. It takes one line, and never fails.
func (l *Lines) Write(line []byte) (int, error) {
	select {
	case l.lines <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until Close.
func (l *Lines) run() {
	defer close(l.ended)
	for line := range l.lines {
		if len(line) == 0 {
			return
		}
		_, _ = l.out.Write(line)
		if n := l.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(l.out, "{\"fields\":{\"Lines\":%d},\"level\":\"warn\",\"message\":\"log lines dropped\"}\n", n)
		}
	}
}

// Close waits a bounded time until the lines before have been written. Nothing must be logged afterwards.
func (l *Lines) Close() {
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case l.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-l.ended:
	case <-timer.C:
	}
}
