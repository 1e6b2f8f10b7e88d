package connections

import "bytes"

// head is what has arrived of the head of a request. Empty lines before the request line belong to it.
type head struct {
	bytes, lines int
	// lineBytes is the length of the last line so far, without its end.
	lineBytes int
	// hasBegun is true once a line that isn't empty has begun, isComplete once the empty line after the fields has arrived.
	hasBegun, isComplete bool
}

// scan adds data that has arrived. It leaves out what follows the head.
func (h *head) scan(data []byte) {
	for len(data) > 0 && !h.isComplete {
		end := bytes.IndexByte(data, '\n')
		line := data
		if end >= 0 {
			line = data[:end]
		}
		h.bytes += len(line)
		h.lineBytes += len(bytes.TrimSuffix(line, []byte{'\r'}))
		h.hasBegun = h.hasBegun || h.lineBytes > 0
		if end < 0 {
			return
		}
		h.bytes++
		h.lines++
		h.isComplete = h.hasBegun && h.lineBytes == 0
		h.lineBytes = 0
		data = data[end+1:]
	}
}
