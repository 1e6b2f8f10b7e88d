// Package readahead goes on reading an answer while its receiver is slow to take what was read before, so that the sender, which may cut off an
// answer that remains unread, gets rid of it. What is held counts as memory that the owner reserves.
package readahead

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// bufferBytes is the size of one read.
const bufferBytes = 8 << 10

// Reader reads an answer. While its user is busy with what was read before for longer than Delay, a goroutine reads on into memory. Only one
// goroutine may use a Reader. It must be stopped once the source has ended or was closed.
type Reader struct {
	Source io.Reader
	// Delay is the time between Pause and the first read ahead.
	Delay time.Duration
	// Reserve takes memory for a number of bytes, or returns false if there is none. Nothing is read ahead without.
	Reserve func(size int64) (release func(), ok bool)

	timer *time.Timer
	mu    sync.Mutex
	// changed tells Read and Stop that the goroutine has read something or has ended.
	changed sync.Cond
	parts   []part
	// err is the error with which the source ended while it was read ahead.
	err error
	// isPaused reports whether the user is busy, isReading whether the goroutine runs, isStopped whether it must end.
	isPaused, isReading, isStopped bool
}

// part is a part of the answer that was read ahead, with the memory that was reserved for it.
type part struct {
	content bytes.Reader
	release func()
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	r.mu.Lock()
	for r.isReading && len(r.parts) == 0 {
		r.changed.Wait()
	}
	if len(r.parts) > 0 {
		defer r.mu.Unlock()
		return r.takeLocked(p), nil
	}
	err := r.err
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return r.Source.Read(p)
}

// takeLocked moves what was read ahead first to p.
func (r *Reader) takeLocked(p []byte) int {
	first := &r.parts[0]
	n, _ := first.content.Read(p)
	if first.content.Len() == 0 {
		first.release()
		r.parts = r.parts[1:]
	}
	return n
}

// Pause says that the user is busy with what it has read, until Resume.
func (r *Reader) Pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isPaused = true
	if r.changed.L == nil {
		r.changed.L = &r.mu
		r.timer = time.AfterFunc(r.Delay, r.begin)
		return
	}
	r.timer.Reset(r.Delay)
}

// Resume says that the user reads again. A goroutine that reads goes on until it has read something.
func (r *Reader) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isPaused = false
	r.timer.Stop()
}

// Stop ends the reading and gives the memory back. The source must have ended or be closed.
func (r *Reader) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isStopped = true
	if r.timer != nil {
		r.timer.Stop()
	}
	for r.isReading {
		r.changed.Wait()
	}
	for _, p := range r.parts {
		p.release()
	}
	r.parts = nil
}

// begin starts to read ahead, unless the user reads again.
func (r *Reader) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPaused && !r.isReading && !r.isStopped && r.err == nil {
		r.isReading = true
		go r.run()
	}
}

// run reads ahead until the user has caught up, the memory is used up or the source has ended.
func (r *Reader) run() {
	buffer := make([]byte, bufferBytes)
	for goesOn := true; goesOn; {
		n, err := r.Source.Read(buffer)
		goesOn = r.keep(bytes.Clone(buffer[:n]), err)
	}
}

// keep takes the result of a read ahead and reports whether to go on. What was read is kept in any case.
func (r *Reader) keep(content []byte, err error) bool {
	release, hasMemory := func() {}, true
	if len(content) > 0 {
		if taken, ok := r.Reserve(int64(len(content))); ok {
			release = taken
		} else {
			hasMemory = false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.changed.Broadcast()
	if len(content) > 0 {
		r.parts = append(r.parts, part{content: *bytes.NewReader(content), release: release})
	}
	r.err = err
	r.isReading = err == nil && hasMemory && r.isPaused && !r.isStopped
	return r.isReading
}
