package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

var (
	errLineTooLong  = errors.New("line of the event stream exceeds the maximum size")
	errEventTooLong = errors.New("event of the event stream exceeds the maximum size")
)

// event is one server-sent event. Its slices are valid until the next event is read.
type event struct {
	// raw holds the bytes of the event as received, including the empty line that ends it.
	raw []byte
	// data holds the values of the data lines, joined by line feeds. It is empty for comments.
	data []byte
}

// eventReader splits a stream into server-sent events. Lines end with LF or CRLF.
type eventReader struct {
	source        *bufio.Reader
	maxLineBytes  int
	maxEventBytes int
	raw           []byte
	data          []byte
}

func newEventReader(r io.Reader, s Settings) *eventReader {
	return &eventReader{source: bufio.NewReader(r), maxLineBytes: s.MaxLineBytes, maxEventBytes: s.MaxEventBytes}
}

// hasBufferedEvent reports whether the buffer holds the end of another event, so that reading it does not block.
func (r *eventReader) hasBufferedEvent() bool {
	// Peeking at buffered bytes can't fail.
	buffered, _ := r.source.Peek(r.source.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// next returns the next event. The error is io.EOF if the stream ends after a complete event, and io.ErrUnexpectedEOF
// if it ends within an event.
func (r *eventReader) next() (event, error) {
	r.raw, r.data = r.raw[:0], r.data[:0]
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) > 0 {
			r.appendData(line)
			continue
		}
		if start > 0 {
			return event{raw: r.raw, data: bytes.TrimSuffix(r.data, []byte("\n"))}, nil
		}
		// Additional empty lines between events carry no meaning and are dropped.
		r.raw = r.raw[:0]
	}
}

// readLine appends the next line, including its line end, to the raw event.
func (r *eventReader) readLine() error {
	start := len(r.raw)
	for {
		part, err := r.source.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		switch {
		case len(r.raw)-start > r.maxLineBytes:
			return errLineTooLong
		case len(r.raw) > r.maxEventBytes:
			return errEventTooLong
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return io.EOF
		default:
			return fmt.Errorf("reading the event stream: %w", err)
		}
	}
}

// appendData appends the value of a data line to the event's data. Lines with other fields are relayed without being
// parsed.
func (r *eventReader) appendData(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	r.data = append(r.data, bytes.TrimPrefix(value, []byte(" "))...)
	r.data = append(r.data, '\n')
}
