package gateway

import (
	"bytes"
	"strings"
)

const (
	// maxPendingEventBytes bounds an incomplete event that is held back. Events of engines are far shorter.
	maxPendingEventBytes = 64 << 10
	// maxEventLineBytes bounds the part of a line that is kept to find event identifiers.
	maxEventLineBytes = 4 << 10
)

// eventTracker counts the events of a server-sent event stream (WHATWG HTML, section 9.2: a blank line ends an event).
// For a resumable stream it releases only complete events, so that another endpoint can continue after the last one.
type eventTracker struct {
	// wholeEventsOnly reports whether incomplete events are held back.
	wholeEventsOnly bool
	// completed counts the complete events that were released. lastIdentifier is the id of the newest event that had
	// one.
	completed      int64
	lastIdentifier string
	// inEvent reports whether part of an event has been read since the last complete one.
	inEvent bool
	pending []byte
	// line is the start of the line that is being read.
	line []byte
}

// accept adds bytes read from the endpoint and returns the bytes that may be forwarded now.
func (e *eventTracker) accept(p []byte) []byte {
	if !e.wholeEventsOnly {
		e.scan(p)
		return p
	}
	e.pending = append(e.pending, p...)
	end := lastEventEnd(e.pending)
	if end == 0 && len(e.pending) > maxPendingEventBytes {
		// Engines send no events this long. The stream is forwarded as it arrives from here on and can't be resumed.
		e.wholeEventsOnly, end = false, len(e.pending)
	}
	released := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	e.scan(released)
	return released
}

// lastEventEnd returns the length of the complete events at the start of p.
func lastEventEnd(p []byte) int {
	end := 0
	for _, terminator := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(p, []byte(terminator)); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// scan counts complete events and keeps the newest event identifier.
func (e *eventTracker) scan(p []byte) {
	for _, b := range p {
		switch {
		case b == '\r':
		case b != '\n':
			if len(e.line) < maxEventLineBytes {
				e.line = append(e.line, b)
			}
			e.inEvent = true
		case len(e.line) == 0:
			if e.inEvent {
				e.completed++
			}
			e.inEvent = false
		default:
			if id, ok := strings.CutPrefix(string(e.line), "id:"); ok && len(e.line) < maxEventLineBytes {
				e.lastIdentifier = strings.TrimSpace(id)
			}
			e.line = e.line[:0]
		}
	}
}

// flush returns the bytes that are still held back at the end of the stream.
func (e *eventTracker) flush() []byte {
	remaining := e.pending
	e.pending = nil
	e.scan(remaining)
	return remaining
}

// discardPartial discards the held-back part of an event after the stream broke off.
func (e *eventTracker) discardPartial() { e.pending = nil }

// isInsideEvent reports whether the bytes read so far end inside an event.
func (e *eventTracker) isInsideEvent() bool { return e.inEvent || len(e.pending) > 0 }

// count returns the number of events that endpoints sent, including an incomplete last one.
func (e *eventTracker) count() int64 {
	if e.isInsideEvent() {
		return e.completed + 1
	}
	return e.completed
}
