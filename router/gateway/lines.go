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
	// gatherTime is how long lines gather for one write: each write costs a system call, and a router that is killed loses
	// what has gathered.
	gatherTime = 20 * time.Millisecond
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
	var batch bytes.Buffer
	for line := range l.lines {
		if len(line) == 0 {
			return
		}
		batch.Write(line)
		time.Sleep(gatherTime)
		more := l.gather(&batch)
		_, _ = batch.WriteTo(l.out)
		batch.Reset()
		if !more {
			return
		}
	}
}

// gather adds the lines that wait by now, and how many were dropped. It reports whether more may come.
func (l *Lines) gather(batch *bytes.Buffer) bool {
	more := true
	for range len(l.lines) {
		line := <-l.lines
		if len(line) == 0 {
			more = false
			break
		}
		batch.Write(line)
	}
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(batch, "{\"fields\":{\"Lines\":%d},\"level\":\"warn\",\"message\":\"log lines dropped\"}\n", n)
	}
	return more
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
