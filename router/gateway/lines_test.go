package gateway

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.written.Write(p)
}

// countingWriter is a buffer that counts its writes.
type countingWriter struct {
	bytes.Buffer

	writes int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes++
	return w.Buffer.Write(p)
}

// TestLinesGather guards against a system call for each log line: lines logged at about the same time must share one
// write.
func TestLinesGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &countingWriter{}
		lines := NewLogWriter(out)
		for range 50 {
			_, _ = lines.Write([]byte("line\n"))
		}
		time.Sleep(2 * batchInterval)
		synctest.Wait()
		assert.Equal(t, 1, out.writes)
		_, _ = lines.Write([]byte("last\n"))
		lines.Close()
		assert.Equal(t, strings.Repeat("line\n", 50)+"last\n", out.String())
	})
}

// TestLines guards against logging that blocks while the output is slow, and against lines that are lost without being
// counted.
func TestLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := &blockedWriter{release: make(chan struct{})}
		lines := NewLogWriter(writer)
		for range 2 * maxQueuedLines {
			n, err := lines.Write([]byte("line\n"))
			assert.NoError(t, err)
			assert.Equal(t, 5, n)
		}
		synctest.Wait()
		close(writer.release)
		synctest.Wait()
		lines.Close()
		got := writer.written.String()
		assert.Equal(t, true, strings.Count(got, "line\n") >= maxQueuedLines)
		assert.Equal(t, true, strings.Contains(got, "log lines dropped"))
	})
	t.Run("a blocked output does not block Close", func(t *testing.T) {
		synctest.Test(t, func(*testing.T) {
			writer := &blockedWriter{release: make(chan struct{})}
			lines := NewLogWriter(writer)
			_, _ = lines.Write([]byte("line\n"))
			lines.Close()
			close(writer.release)
		})
	})
}
