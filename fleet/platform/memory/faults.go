// Package memory keeps the platform's services in memory, with faults that are switched on by
// methods. The stand-in platform serves it over HTTP; tests use it directly.
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

// Faults are the faults that every service of the platform can have. The zero value has none.
type Faults struct {
	mutex       sync.Mutex
	outage      bool
	outageUntil time.Time
	delay       time.Duration
	lost        float64
	random      *rand.Rand
}

// SetOutage makes every call fail until it is switched off again; it ends an OutageFor too.
func (f *Faults) SetOutage(on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.outage = on
	f.outageUntil = time.Time{}
}

// OutageFor makes every call fail for a duration from now on.
func (f *Faults) OutageFor(duration time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.outageUntil = time.Now().Add(duration)
}

// SetDelay makes every call wait for a duration before it takes effect.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = delay
}

// LoseAnswers makes a fraction of the appends fail after they took effect. The same seed loses
// the answers of the same appends.
func (f *Faults) LoseAnswers(fraction float64, seed uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lost = fraction
	f.random = rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a fault has to be repeatable from its seed
}

// Enter waits for the delay and fails during an outage.
func (f *Faults) Enter(ctx context.Context) error {
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

// losesAnswer decides about the answer of one append.
func (f *Faults) losesAnswer() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random != nil && f.random.Float64() < f.lost
}
