package gateway

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// slowReader takes nothing until it is released.
type slowReader struct {
	release chan struct{}
	got     bytes.Buffer
}

func (r *slowReader) Write(p []byte) (int, error) {
	<-r.release
	return r.got.Write(p)
}

// countingWriter counts its writes.
type countingWriter struct {
	bytes.Buffer

	writes int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes++
	return w.Buffer.Write(p)
}

// TestLinesGather checks that lines of one moment take one write.
func TestLinesGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &countingWriter{}
		lines := NewLines(out)
		for range 50 {
			_, _ = lines.Write([]byte("line\n"))
		}
		time.Sleep(2 * gatherTime)
		synctest.Wait()
		assert.Equal(t, 1, out.writes)
		_, _ = lines.Write([]byte("last\n"))
		lines.Close()
		assert.Equal(t, strings.Repeat("line\n", 50)+"last\n", out.String())
	})
}

// TestLines floods a slow reader: who logs doesn't wait, and the lines that were lost are counted.
func TestLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &slowReader{release: make(chan struct{})}
		lines := NewLines(reader)
		for range 2 * lineBacklog {
			n, err := lines.Write([]byte("line\n"))
			assert.NoError(t, err)
			assert.Equal(t, 5, n)
		}
		synctest.Wait()
		close(reader.release)
		synctest.Wait()
		lines.Close()
		got := reader.got.String()
		assert.Equal(t, true, strings.Count(got, "line\n") >= lineBacklog)
		assert.Equal(t, true, strings.Contains(got, "log lines dropped"))
	})
	t.Run("a reader that is gone does not hold the end up", func(t *testing.T) {
		synctest.Test(t, func(*testing.T) {
			reader := &slowReader{release: make(chan struct{})}
			lines := NewLines(reader)
			_, _ = lines.Write([]byte("line\n"))
			lines.Close()
			close(reader.release)
		})
	})
}
