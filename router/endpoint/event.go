package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

var (
	errLineTooLong  = errors.New("line of the event stream is too long")
	errEventTooLong = errors.New("event of the event stream is too long")
)

// event is one server-sent event. Its slices are valid until the next one is read.
type event struct {
	// raw is the event as received, with the empty line at its end.
	raw []byte
	// data holds the data lines, joined by line feeds; it is empty for comments.
	data []byte
}

// eventReader reads server-sent events one by one. Lines end with LF or CRLF.
type eventReader struct {
	source        *bufio.Reader
	maxLineBytes  int
	maxEventBytes int
	raw           []byte
	data          []byte
}

func newEventReader(r io.Reader, s Settings) *eventReader {
	return &eventReader{source: bufio.NewReader(r), maxLineBytes: s.LineBytes, maxEventBytes: s.EventBytes}
}

// hasBufferedEvent reports whether a whole event has arrived already.
func (r *eventReader) hasBufferedEvent() bool {
	// Peeking at what is buffered can't fail.
	buffered, _ := r.source.Peek(r.source.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// next returns the next event. It fails with io.EOF at the end of a stream whose last event was
// complete, and with io.ErrUnexpectedEOF within an event.
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
		// Empty lines between events mean nothing.
		r.raw = r.raw[:0]
	}
}

// readLine appends a line with its end to the raw event.
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

// appendData takes the value of a data line; other fields are passed on unread.
func (r *eventReader) appendData(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	r.data = append(r.data, bytes.TrimPrefix(value, []byte(" "))...)
	r.data = append(r.data, '\n')
}
