package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/allowance"
	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/timeofday"
)

const (
	// clocksAsked is the number of other routers whose clocks are compared. With fewer routers, all are asked.
	clocksAsked = 5
	// clockTimeout bounds fetching a clock: a handshake between regions and two exchanges. clockRoundTrip is the maximum
	// duration of an exchange whose answer is used: the reading is wrong by up to half of it.
	clockTimeout   = 400 * time.Millisecond
	clockRoundTrip = 100 * time.Millisecond
	// clockRetryInterval is the time between two rounds of questions until there is an agreement, and clockInterval the
	// time until the agreement is renewed, which bounds the drift of the uptime.
	clockRetryInterval = 150 * time.Millisecond
	clockInterval      = 10 * time.Minute
	// clockRounds is the number of rounds of questions after which the readings are discarded, as they may be old.
	// fullClockRounds is the number of rounds in which all answers are awaited; then timeofday.MinClocks are enough.
	clockRounds     = 30
	fullClockRounds = 3
	// unknownSpread is logged for the difference of the clocks if too few routers answered.
	unknownSpread = -1
)

// clockComparer compares this machine's clock with those of other routers until they agree on the time of day.
type clockComparer struct {
	routers   *Routers
	agreement *timeofday.Agreement
	logger    log.Interface
	// readClocks reads the clocks of this machine. isNeeded reports whether this router needs the time of day.
	readClocks func() allowance.ClockReading
	isNeeded   func() bool

	// mu guards bootTimes while questions are in progress.
	mu sync.Mutex
	// bootTimes holds the boot time of this machine that each answer implies, by the instance that answered.
	bootTimes map[string]time.Time
}

// run compares clocks until the context ends, while the time of day is needed.
func (c *clockComparer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := clockInterval
		if !c.isNeeded() || !c.agree(ctx) {
			wait = clockRetryInterval
		}
		clock.Sleep(ctx, wait)
	}
	return nil
}

// agree asks other routers until there is an agreement. It returns false if there is none after clockRounds.
func (c *clockComparer) agree(ctx context.Context) bool {
	c.bootTimes = make(map[string]time.Time)
	for round := range clockRounds {
		if c.routers.hasRoster.Load() {
			if c.routers.Roster.Len() < timeofday.MinClocks {
				c.agreement.Abandon()
			}
			c.askOthers(ctx)
			awaited := min(clocksAsked, c.routers.Roster.Len()-1)
			if round >= fullClockRounds {
				awaited = timeofday.MinClocks - 1
			}
			if c.decide(awaited) {
				return true
			}
		}
		if !clock.Sleep(ctx, clockRetryInterval) {
			return false
		}
	}
	spread := int64(unknownSpread)
	if span, ok := c.agreement.Estimate(); ok {
		spread = span.Spread.Milliseconds()
	}
	c.logger.WithFields(log.Fields{"Clocks": len(c.bootTimes) + 1, "SpreadMilliseconds": spread}).Warn("no agreement on the time of day")
	return false
}

// decide compares the readings so far and records an agreement once the awaited number of routers have answered.
func (c *clockComparer) decide(awaited int) bool {
	if len(c.bootTimes) < awaited {
		return false
	}
	reading := c.readClocks()
	own := reading.Wall.Add(-reading.Uptime)
	bootTimes := []time.Time{own}
	for _, t := range c.bootTimes {
		bootTimes = append(bootTimes, t)
	}
	agreed, ok := timeofday.Agree(bootTimes)
	if !ok {
		c.recordSpan(bootTimes)
		return false
	}
	c.agreement.SetBootTime(agreed)
	c.logger.WithFields(log.Fields{
		"Clocks": len(bootTimes), "OwnErrorMilliseconds": own.Sub(agreed).Milliseconds(), "UptimeMilliseconds": reading.Uptime.Milliseconds(),
	}).Info("time of day agreed")
	return true
}

// recordSpan records what clocks tell that don't agree, if all routers that are asked have answered: of few clocks all may be wrong.
func (c *clockComparer) recordSpan(bootTimes []time.Time) {
	if len(bootTimes)-1 < min(clocksAsked, c.routers.Roster.Len()-1) {
		return
	}
	if span, ok := timeofday.Span(bootTimes); ok {
		c.agreement.SetSpan(span)
	}
}

// askOthers asks random routers that have not answered yet, so that clocksAsked answers are reached if all answer.
func (c *clockComparer) askOthers(ctx context.Context) {
	others := slices.DeleteFunc(c.routers.Roster.Routers(), func(other peer.Router) bool {
		_, answered := c.bootTimes[other.Instance]
		return answered || other.Instance == c.routers.Self.Instance
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // spreads questions
	var questions sync.WaitGroup
	for _, other := range others[:min(len(others), clocksAsked-len(c.bootTimes))] {
		q := &clockQuestion{comparer: c, to: peer.Address{Instance: other.Instance, Address: other.Address}}
		questions.Go(func() { q.run(ctx) })
	}
	questions.Wait()
}

// clockQuestion asks one router for its clock.
type clockQuestion struct {
	comparer *clockComparer
	to       peer.Address
}

// run records the boot time that the answer implies, unless the call fails or takes too long.
func (q *clockQuestion) run(ctx context.Context) {
	c := q.comparer
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	reading, err := c.routers.Node.FetchClock(ctx, q.to)
	uptime := c.readClocks().Uptime
	if err != nil || reading.RoundTrip > clockRoundTrip {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootTimes[q.to.Instance] = reading.Wall.Add(reading.RoundTrip/2 - uptime)
}
