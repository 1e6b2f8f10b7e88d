// Package heap gives memory back to the system that the Go runtime keeps after a burst. The runtime collects garbage only as more is allocated, or
// after two minutes, so that a process that has just held much would keep it while it is idle.
package heap

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

const (
	checkInterval = 2 * time.Second
	// minInterval and maxInterval bound the time between two returns: each collects all garbage.
	minInterval = 10 * time.Second
	maxInterval = 5 * time.Minute
	// heldDivisor is the part of the machine's memory from which memory is given back, unusedDivisor the part that must be unused: one in so many
	// bytes.
	heldDivisor   = 4
	unusedDivisor = 16
)

// usage is what the runtime holds, in bytes.
type usage struct {
	// held is the memory that the runtime has from the system, live that of objects which the last collection has found to be in use.
	held, live int64
}

// schedule decides when memory is given back. The zero value never does.
type schedule struct {
	// memory is the machine's memory in bytes.
	memory int64

	next     time.Time
	interval time.Duration
}

// isDue reports whether memory is to be given back now.
func (s *schedule) isDue(now time.Time, u usage) bool {
	return s.memory > 0 && !now.Before(s.next) && u.held > s.memory/heldDivisor && u.held-u.live > s.memory/unusedDivisor
}

// record notes that memory was given back, before and after which the runtime held some. Where little was gained, the next return is later.
func (s *schedule) record(now time.Time, before, after usage) {
	s.interval = max(minInterval, min(2*s.interval, maxInterval))
	if before.held-after.held > s.memory/unusedDivisor {
		s.interval = minInterval
	}
	s.next = now.Add(s.interval)
}

// Returner gives memory back. Memory is that of the machine in bytes; with zero it does nothing.
type Returner struct{ Memory int64 }

// Run checks the memory until the context ends.
func (r *Returner) Run(ctx context.Context) error {
	s := &schedule{memory: r.Memory}
	for r.Memory > 0 && clock.Sleep(ctx, checkInterval) {
		before := readUsage()
		if !s.isDue(time.Now(), before) {
			continue
		}
		debug.FreeOSMemory()
		s.record(time.Now(), before, readUsage())
	}
	return nil
}

func readUsage() usage {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/gc/heap/live:bytes"}}
	metrics.Read(samples)
	return usage{held: int64(samples[0].Value.Uint64() - samples[1].Value.Uint64()), live: int64(samples[2].Value.Uint64())}
}
