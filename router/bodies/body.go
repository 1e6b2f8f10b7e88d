package bodies

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// Body is the body of a request in memory. The zero value and nil are an empty body.
type Body struct {
	parts  [][]byte
	length int64
	// firstPart is the array of parts of a body that has only one.
	firstPart [1][]byte

	// users counts the owner and the readers that aren't closed. The last one gives back the room; intake is nil if no store counts it.
	users  atomic.Int64
	intake *intake
}

// NewBody returns a body of bytes that are in memory already and that no store counts.
func NewBody(content []byte) *Body {
	return &Body{parts: [][]byte{content}, length: int64(len(content))}
}

// Length returns the number of bytes of the body.
func (b *Body) Length() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Bytes returns the body in one piece, which is a copy if the body is longer than a part. It must not be changed.
func (b *Body) Bytes() []byte {
	switch {
	case b == nil || len(b.parts) == 0:
		return nil
	case len(b.parts) == 1:
		return b.parts[0]
	default:
		return bytes.Join(b.parts, nil)
	}
}

// Join makes the body one piece, and returns it. The body must have no readers.
func (b *Body) Join() []byte {
	if b == nil {
		return nil
	}
	if len(b.parts) > 1 {
		b.firstPart[0] = b.Bytes()
		b.parts = b.firstPart[:]
	}
	return b.Bytes()
}

// WriteTo implements io.WriterTo.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	if b == nil {
		return 0, nil
	}
	written := int64(0)
	for _, part := range b.parts {
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Release ends the use by the body's owner, who must not open it any more. The room is given back once all readers are closed too.
func (b *Body) Release() {
	if b != nil {
		b.leave()
	}
}

// Open returns a reader of the body, which must be closed. The reader of a body of one part doesn't count as a user: net/http writes a
// body together with the headers only if it knows the reader's type.
func (b *Body) Open() io.ReadCloser {
	if b == nil || len(b.parts) <= 1 {
		return io.NopCloser(bytes.NewReader(b.Bytes()))
	}
	b.users.Add(1)
	return &reader{body: b}
}

func (b *Body) leave() {
	if b.users.Add(-1) == 0 && b.intake != nil {
		b.intake.release()
	}
}

// reader reads a body from its beginning. It may be closed while it is read.
type reader struct {
	body   *Body
	part   int
	offset int
	closed sync.Once
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	for r.part < len(r.body.parts) {
		n := copy(p, r.body.parts[r.part][r.offset:])
		if r.offset += n; r.offset < len(r.body.parts[r.part]) {
			return n, nil
		}
		r.part, r.offset = r.part+1, 0
		if n > 0 || len(p) == 0 {
			return n, nil
		}
	}
	return 0, io.EOF
}

// Close implements io.Closer.
func (r *reader) Close() error {
	r.closed.Do(r.body.leave)
	return nil
}
