package gateway

import (
	"bytes"
	"strings"
)

// pendingBytes bounds an event that is held back until it is whole; engines' events are far shorter.
const pendingBytes = 64 << 10

// events follows the events of a stream (WHATWG HTML, section 9.2: a blank line ends an event). Of a stream that may be
// resumed it lets only whole events through, so that another endpoint can go on after the last of them.
type events struct {
	// whole says that only whole events are let through.
	whole bool
	// ended counts the events that were let through whole, last is the identifier of the newest that had one.
	ended int64
	last  string
	// begun says that a part of an event was read since.
	begun   bool
	pending []byte
	line    []byte
}

// take returns the bytes that may be passed on by now.
func (e *events) take(p []byte) []byte {
	if !e.whole {
		e.follow(p)
		return p
	}
	e.pending = append(e.pending, p...)
	end := lastEnd(e.pending)
	if end == 0 && len(e.pending) > pendingBytes {
		// No engine sends such events: what can't be held back is passed on and not resumed.
		e.whole, end = false, len(e.pending)
	}
	passed := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	e.follow(passed)
	return passed
}

// lastEnd returns the length of the whole events at the beginning.
func lastEnd(p []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(p, []byte(mark)); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// follow counts events and remembers their identifiers.
func (e *events) follow(p []byte) {
	for _, b := range p {
		switch {
		case b == '\r':
		case b != '\n':
			e.line = append(e.line, b)
			e.begun = true
		case len(e.line) == 0:
			if e.begun {
				e.ended++
			}
			e.begun = false
		default:
			if id, ok := strings.CutPrefix(string(e.line), "id:"); ok {
				e.last = strings.TrimSpace(id)
			}
			e.line = e.line[:0]
		}
	}
}

// rest returns what is held back at the stream's end.
func (e *events) rest() []byte {
	rest := e.pending
	e.pending = nil
	e.follow(rest)
	return rest
}

// drop forgets the part of an event that a broken stream ended in.
func (e *events) drop() { e.pending = nil }

// count returns the events that an endpoint gave, also one that has only begun.
func (e *events) count() int64 {
	if e.begun || len(e.pending) > 0 {
		return e.ended + 1
	}
	return e.ended
}
