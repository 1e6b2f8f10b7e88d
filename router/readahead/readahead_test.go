package readahead

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

const (
	ms    = time.Millisecond
	delay = 500 * ms
)

var errBrokenOff = errors.New("broken off")

// source hands out parts, each after a time, then ends with an error.
type source struct {
	parts  [][]byte
	every  time.Duration
	end    error
	closed chan struct{}
	// readAt are the times of the parts since the start.
	start  time.Time
	readAt []time.Duration
}

func newSource(end error, parts ...string) *source {
	s := &source{every: 100 * ms, end: end, closed: make(chan struct{}), start: time.Now()}
	for _, p := range parts {
		s.parts = append(s.parts, []byte(p))
	}
	return s
}

func (s *source) Read(p []byte) (int, error) {
	select {
	case <-time.After(s.every):
	case <-s.closed:
		return 0, io.ErrClosedPipe
	}
	if len(s.parts) == 0 {
		return 0, s.end
	}
	n := copy(p, s.parts[0])
	s.parts = s.parts[1:]
	s.readAt = append(s.readAt, time.Since(s.start))
	return n, nil
}

// memory counts the bytes that are reserved, up to a limit.
type memory struct{ held, limit int64 }

func (m *memory) reserve(size int64) (func(), bool) {
	if m.held+size > m.limit {
		return nil, false
	}
	m.held += size
	return func() { m.held -= size }, true
}

// readWhole reads to the end. The user is busy for a time after each read.
func readWhole(r *Reader, busy time.Duration) (string, error) {
	var all bytes.Buffer
	buffer := make([]byte, 3)
	for {
		n, err := r.Read(buffer)
		all.Write(buffer[:n])
		if err != nil {
			return all.String(), err
		}
		r.Pause()
		time.Sleep(busy)
		r.Resume()
	}
}

func TestReader(t *testing.T) {
	for _, c := range []struct {
		name string
		end  error
		busy time.Duration
		// limit is the memory in bytes. want are the times at which the parts are read.
		limit int64
		want  []time.Duration
	}{
		{"a quick user", io.EOF, 10 * ms, 100, []time.Duration{100 * ms, 210 * ms, 320 * ms, 430 * ms, 540 * ms}},
		{"a slow user", io.EOF, 2 * time.Second, 100, []time.Duration{100 * ms, 700 * ms, 800 * ms, 900 * ms, 1000 * ms}},
		{"a slow user and a source that breaks off", errBrokenOff, 2 * time.Second, 100, []time.Duration{100 * ms, 700 * ms, 800 * ms, 900 * ms, 1000 * ms}},
		{"no memory", io.EOF, 2 * time.Second, 0, []time.Duration{100 * ms, 700 * ms, 2700 * ms, 4700 * ms, 6700 * ms}},
		{"memory for one part", io.EOF, 2 * time.Second, 3, []time.Duration{100 * ms, 700 * ms, 800 * ms, 2700 * ms, 2800 * ms}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, m := newSource(c.end, "ab", "cd", "efg", "h", "ij"), &memory{limit: c.limit}
				r := &Reader{Source: s, Delay: delay, Reserve: m.reserve}
				got, err := readWhole(r, c.busy)
				assert.ErrorIs(t, err, c.end)
				assert.Equal(t, "abcdefghij", got)
				assert.Equal(t, c.want, s.readAt)
				r.Stop()
				assert.Equal(t, int64(0), m.held)
			})
		})
	}
	t.Run("a source that is closed while it is read ahead", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, m := newSource(io.EOF, "ab", "cd", "ef"), &memory{limit: 100}
			r := &Reader{Source: s, Delay: delay, Reserve: m.reserve}
			_, err := r.Read(make([]byte, 8))
			assert.NoError(t, err)
			r.Pause()
			time.Sleep(delay + 150*ms)
			close(s.closed)
			r.Stop()
			assert.Equal(t, int64(0), m.held)
			synctest.Wait()
		})
	})
	t.Run("an unused reader", func(_ *testing.T) { (&Reader{}).Stop() })
}
