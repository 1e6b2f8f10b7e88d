package decision

import (
	"math/rand/v2"
	"time"
)

// AppendRate divides the fleet's limit of appends per second equally among the live routers.
func AppendRate(fleetAppendsPerSecond float64, routers int) float64 {
	return fleetAppendsPerSecond / float64(max(routers, 1))
}

// Backoff computes the delays before retries of a failed call: exponential from First to Limit.
type Backoff struct {
	First time.Duration
	Limit time.Duration
}

// Delay returns a random duration between 50% and 100% of the exponential delay. failures is the number of
// consecutive failed calls and is at least 1.
func (b Backoff) Delay(failures int, random *rand.Rand) time.Duration {
	delay := b.First
	for range failures - 1 {
		if delay >= b.Limit {
			break
		}
		delay *= 2
	}
	delay = min(delay, b.Limit)
	return delay/2 + Jitter(delay/2, random)
}

// Jitter returns a random duration between 0 and limit.
func Jitter(limit time.Duration, random *rand.Rand) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(limit) + 1))
}

// SnapshotWait returns the time until a router's next snapshot of a stream. Its mean is interval × routers, so that
// the fleet writes one snapshot per interval. The result is (0.5 + fraction) × mean, which lies between 0.5 and 1.5
// times the mean. The caller passes a random fraction in [0, 1), so that routers that started together do not write at
// the same time.
func SnapshotWait(interval time.Duration, routers int, fraction float64) time.Duration {
	mean := interval * time.Duration(max(1, routers))
	return mean/2 + time.Duration(fraction*float64(mean))
}

// drawDeadlineRounds is the maximum number of log round trips of a recall: the refused draw, the holder's return
// and the next draw, each of which may take two.
const drawDeadlineRounds = 6

// DrawDeadline returns how long a request waits for other routers to return their shares: the configured wait, or
// drawDeadlineRounds round trips if that is longer, but at most limit. A limit below wait has no effect.
func DrawDeadline(wait, roundTrip, limit time.Duration) time.Duration {
	return min(max(wait, drawDeadlineRounds*roundTrip), max(limit, wait))
}
