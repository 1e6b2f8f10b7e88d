package gateway

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestSignalsOfOneKindDisplaceNoOther guards against a signal to stop that is lost because signals to reload came in a series before it.
func TestSignalsOfOneKindDisplaceNoOther(t *testing.T) {
	signals := NotifySignals()
	t.Cleanup(signals.Close)
	for range 10 {
		assert.Must(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(10 * time.Millisecond)
	}
	assert.Must(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.Equal(t, os.Signal(syscall.SIGTERM), <-signals.Stop)
	assert.Equal(t, os.Signal(syscall.SIGHUP), <-signals.Reload)
}
