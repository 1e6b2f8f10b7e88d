package decision

import (
	"math/rand/v2"
	"time"
)

// AppendRate returns this router's part of the appends a second that the fleet may make.
func AppendRate(fleetAppendsPerSecond float64, routers int) float64 {
	return fleetAppendsPerSecond / float64(max(routers, 1))
}

// Backoff computes the waits before retries of a failed call.
type Backoff struct {
	First time.Duration
	Limit time.Duration
}

// Delay returns a wait between half of the exponential delay and all of it; failures counts the
// calls that failed in a row and is at least 1.
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

// Jitter returns a random duration between zero and limit.
func Jitter(limit time.Duration, random *rand.Rand) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(limit) + 1))
}

// SnapshotWait returns the time until a router's next snapshot of a stream: on average one interval for each router, so
// that the fleet writes one an interval. It lies between 0.5 and 1.5 times that, as a random fraction in [0, 1) says,
// so that routers that started together don't write together.
func SnapshotWait(interval time.Duration, routers int, fraction float64) time.Duration {
	mean := interval * time.Duration(max(1, routers))
	return mean/2 + time.Duration(fraction*float64(mean))
}

// drawDeadlineRounds is the number of round trips through the log that a recall may take: the refused
// draw, the return by its holder, and the draw that follows, each at most twice.
const drawDeadlineRounds = 6

// DrawDeadline returns how long a request waits for other holders to return their shares: the
// configured wait, or longer if the log is slow, but never longer than limit.
func DrawDeadline(wait, roundTrip, limit time.Duration) time.Duration {
	return min(max(wait, drawDeadlineRounds*roundTrip), max(limit, wait))
}
