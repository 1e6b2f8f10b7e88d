package gateway

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

const (
	// loadInterval is the time between two looks at the router's load.
	loadInterval = 50 * time.Millisecond
	// mostLag bounds one look at how late a timer is, so that a suspension of the machine alone is no overload.
	mostLag = 100 * time.Millisecond
	// lagWeight is the weight of a look in the average: about ten of them make one. linkTime is the time over which the use of
	// the link is averaged.
	lagWeight = 0.1
	linkTime  = 1 * time.Second
	// overloadLag is the lateness that counts as a full load: a plain request takes about ten turns of the processor, so that
	// it costs the tightest objective of those. overloadLink is the part of the link that does: beyond it bursts wait for long.
	overloadLag  = 15 * time.Millisecond
	overloadLink = 0.5
	// calmLoad is the load below which a router that was overloaded takes callers again.
	calmLoad = 0.5
	// leastTaken is how long a router takes callers before it sends them elsewhere again: the time of an average.
	leastTaken = 1 * time.Second
	// leastShed is how long it sends them elsewhere at least, the balancer needs two looks of a second; twice as long each
	// time that it is overloaded again within againTime, up to longestShed: the same callers would come back.
	leastShed   = 2 * time.Second
	longestShed = 32 * time.Second
	againTime   = 10 * time.Second
	// sheddingRouters is the least number of routers at which callers are sent elsewhere.
	sheddingRouters = 3
)

// overload tells by how late timers are and by the use of the link whether a router has more callers than it can serve in
// time. It answers the load of a balancer that spreads callers unevenly over unlike instances. Its zero value is calm.
type overload struct {
	// link is what the link carries in each direction, in bytes a second; zero if that isn't known.
	link float64

	lag            time.Duration
	received, sent float64
	shed           bool
	changed        time.Time
	// shedFor is how long callers are sent elsewhere at least.
	shedFor time.Duration
}

// look is what was seen since the look before.
type look struct {
	// lasted is the time since then, lag the part of it by which a timer was late.
	lasted, lag    time.Duration
	received, sent int64
}

// note takes a look in and reports whether callers should go elsewhere.
func (o *overload) note(now time.Time, seen look) bool {
	o.lag += time.Duration(lagWeight * float64(min(max(0, seen.lag), mostLag)-o.lag))
	o.received = average(o.received, seen.received, seen.lasted)
	o.sent = average(o.sent, seen.sent, seen.lasted)
	since := now.Sub(o.changed)
	switch load := o.load(); {
	case !o.shed && load > 1 && since > leastTaken:
		if since > againTime {
			o.shedFor = 0
		}
		o.shedFor = min(max(leastShed, 2*o.shedFor), longestShed)
		o.shed, o.changed = true, now
	case o.shed && load < calmLoad && since > o.shedFor:
		o.shed, o.changed = false, now
	}
	return o.shed
}

// average moves a rate in bytes a second towards what was seen.
func average(rate float64, seen int64, lasted time.Duration) float64 {
	if lasted <= 0 {
		return rate
	}
	weight := 1 - math.Exp(-float64(lasted)/float64(linkTime))
	return rate + weight*(float64(seen)/lasted.Seconds()-rate)
}

// load returns the higher of the loads of the processor and of the link; 1 is a full one.
func (o *overload) load() float64 {
	load := float64(o.lag) / float64(overloadLag)
	if o.link > 0 {
		load = max(load, max(o.received, o.sent)/(overloadLink*o.link))
	}
	return load
}

// loadWatch keeps the board's word on whether the router is overloaded.
type loadWatch struct {
	board  *Board
	logger log.Interface
	// routers counts the site's routers.
	routers func() int

	overload overload
}

// run looks until the context ends.
func (w *loadWatch) run(ctx context.Context) error {
	traffic := &w.board.Traffic
	received, sent := traffic.Received.Load(), traffic.Sent.Load()
	for ctx.Err() == nil {
		before := time.Now()
		clock.Sleep(ctx, loadInterval)
		now := time.Now()
		seen := look{lasted: now.Sub(before), lag: now.Sub(before) - loadInterval}
		newReceived, newSent := traffic.Received.Load(), traffic.Sent.Load()
		seen.received, seen.sent = newReceived-received, newSent-sent
		received, sent = newReceived, newSent
		w.tell(w.overload.note(now, seen) && w.routers() >= sheddingRouters)
	}
	return nil
}

func (w *loadWatch) tell(overloaded bool) {
	if w.board.Overloaded.Swap(overloaded) == overloaded {
		return
	}
	w.logger.WithFields(log.Fields{
		"Overloaded": overloaded, "LagMilliseconds": w.overload.lag.Milliseconds(), "Routers": w.routers(),
		"ReceivedBytesPerSecond": int64(w.overload.received), "SentBytesPerSecond": int64(w.overload.sent),
		"LinkBytesPerSecond": int64(w.overload.link),
	}).Info("overload changed")
}
