// Package memory implements the platform's services in memory, with faults that its users inject by
// method calls. The stand-in platform serves the package over HTTP; tests use it directly.
package memory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Faults injects outages, delays and lost responses into a service. Every in-memory service embeds it. The zero value
// injects no faults.
type Faults struct {
	mutex        sync.Mutex
	outage       bool
	outageUntil  time.Time
	delay        time.Duration
	lostFraction float64
	random       *rand.Rand
}

// SetOutage starts or ends an outage, during which every call fails. In both cases it ends an outage that OutageFor
// started.
func (f *Faults) SetOutage(on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.outage = on
	f.outageUntil = time.Time{}
}

// OutageFor starts an outage of the given duration, during which every call fails.
func (f *Faults) OutageFor(duration time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.outageUntil = time.Now().Add(duration)
}

// SetDelay delays every call by a duration before it takes effect.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = delay
}

// LoseResponses makes a random fraction of the appends, from 0 to 1, fail after they took effect, as if the
// response were lost. With the same seed and fraction, the same appends of a sequence fail.
func (f *Faults) LoseResponses(fraction float64, seed uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lostFraction = fraction
	f.random = rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // faults must be reproducible from their seed
}

// Apply applies the faults at the start of a call: it waits for the configured delay, and fails with
// platform.ErrUnavailable if an outage is in force after the delay or the context ends before.
func (f *Faults) Apply(ctx context.Context) error {
	f.mutex.Lock()
	delay := f.delay
	f.mutex.Unlock()
	if !clock.Sleep(ctx, delay) {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.outage || time.Now().Before(f.outageUntil) {
		return fmt.Errorf("%w: outage", platform.ErrUnavailable)
	}
	return nil
}

// answerIsLost reports whether the response to the next append is lost. It draws a random number if LoseResponses was
// called.
func (f *Faults) answerIsLost() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random != nil && f.random.Float64() < f.lostFraction
}
