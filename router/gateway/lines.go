package gateway

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the log lines that wait to be written: the output of a busy router in some seconds.
	maxQueuedLines = 2048
	// batchInterval is how long log lines are collected for one write. Each write costs a system call, but a router that
	// is killed loses the lines collected so far.
	batchInterval = 20 * time.Millisecond
	// closeTimeout bounds how long Close waits until the last lines have been written.
	closeTimeout = 150 * time.Millisecond
)

// LogWriter is an asynchronous log writer: logging never blocks. While a slow output leaves the queue full, further
// lines are dropped, and a log line reports how many.
type LogWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewLogWriter returns a log writer whose background goroutine writes to out.
func NewLogWriter(out io.Writer) *LogWriter {
	l := &LogWriter{out: out, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.run()
	return l
}

// Write implements io.Writer. It queues one log line and never returns an error.
func (l *LogWriter) Write(line []byte) (int, error) {
	select {
	case l.queue <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until it reads the empty line that Close queues.
func (l *LogWriter) run() {
	defer close(l.done)
	var batch bytes.Buffer
	for line := range l.queue {
		if len(line) == 0 {
			return
		}
		batch.Write(line)
		time.Sleep(batchInterval)
		more := l.drainQueue(&batch)
		_, _ = batch.WriteTo(l.out)
		batch.Reset()
		if !more {
			return
		}
	}
}

// drainQueue appends the queued lines to the batch, and a line with the number of dropped ones. It reports whether more
// lines may follow.
func (l *LogWriter) drainQueue(batch *bytes.Buffer) bool {
	more := true
	for range len(l.queue) {
		line := <-l.queue
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

// Close waits up to closeTimeout until the queued lines have been written. Nothing may be logged afterwards.
func (l *LogWriter) Close() {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case l.queue <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-l.done:
	case <-timer.C:
	}
}
