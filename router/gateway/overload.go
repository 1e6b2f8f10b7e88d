package gateway

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

const (
	// loadCheckInterval is the interval between two samples of the router's load.
	loadCheckInterval = 50 * time.Millisecond
	// maxLag bounds the timer lag of a sample, so that a suspension of the machine alone does not count as overload.
	maxLag = 100 * time.Millisecond
	// lagWeight is the weight of a sample in the moving average of timer lag, which covers about ten samples.
	// linkAveragingTime is the time constant of the moving averages of link use.
	lagWeight         = 0.1
	linkAveragingTime = 1 * time.Second
	// fullLoadLag is the timer lag that counts as full load: a plain request is scheduled on the processor about ten
	// times, so that this lag each time uses up the tightest objective of plain requests. fullLoadLinkShare is the used
	// fraction of the link's bandwidth that counts as full load; above it, bursts wait for long.
	fullLoadLag       = 15 * time.Millisecond
	fullLoadLinkShare = 0.5
	// recoveryLoad is the load, as a fraction of full load, below which an overloaded router accepts callers again.
	recoveryLoad = 0.5
	// minAcceptTime is how long a router accepts callers at least before it sheds them again. It equals the averaging
	// time of link use.
	minAcceptTime = 1 * time.Second
	// minShedTime is how long a router sheds callers at least: the load balancer needs two readiness checks, one a
	// second. The time doubles with each overload that begins within shedBackoffWindow after the previous one ended, up
	// to maxShedTime, because the same callers would come back.
	minShedTime       = 2 * time.Second
	maxShedTime       = 32 * time.Second
	shedBackoffWindow = 10 * time.Second
	// minSheddingRouters is the minimum number of routers of a site at which overloaded routers shed callers.
	minSheddingRouters = 3
)

// overloadDetector detects from timer lag and link use that a router has more callers than it can serve in time. This
// happens when the load balancer spreads callers unevenly over instances of different sizes. The zero value reports no
// overload.
type overloadDetector struct {
	// linkRate is the bandwidth of the link in each direction, in bytes per second; zero if unknown.
	linkRate float64

	lag                   time.Duration
	receiveRate, sendRate float64
	shedding              bool
	changedAt             time.Time
	// shedTime is the minimum time for which callers are shed.
	shedTime time.Duration
}

// loadSample is the load measured since the previous sample; received and sent are in bytes.
type loadSample struct {
	// elapsed is the time since the previous sample, lag the part of it by which the timer fired late.
	elapsed, lag   time.Duration
	received, sent int64
}

// update adds a sample and reports whether the router should shed callers.
func (d *overloadDetector) update(now time.Time, sample loadSample) bool {
	d.lag += time.Duration(lagWeight * float64(min(max(0, sample.lag), maxLag)-d.lag))
	d.receiveRate = updateRate(d.receiveRate, sample.received, sample.elapsed)
	d.sendRate = updateRate(d.sendRate, sample.sent, sample.elapsed)
	since := now.Sub(d.changedAt)
	switch load := d.load(); {
	case !d.shedding && load > 1 && since > minAcceptTime:
		if since > shedBackoffWindow {
			d.shedTime = 0
		}
		d.shedTime = min(max(minShedTime, 2*d.shedTime), maxShedTime)
		d.shedding, d.changedAt = true, now
	case d.shedding && load < recoveryLoad && since > d.shedTime:
		d.shedding, d.changedAt = false, now
	}
	return d.shedding
}

// updateRate returns the moving average of a rate, in bytes per second, after some bytes were transferred in the
// elapsed time.
func updateRate(rate float64, transferred int64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return rate
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(linkAveragingTime))
	return rate + weight*(float64(transferred)/elapsed.Seconds()-rate)
}

// load returns the higher of the loads of the processor and the link, where 1 is full load.
func (d *overloadDetector) load() float64 {
	load := float64(d.lag) / float64(fullLoadLag)
	if d.linkRate > 0 {
		load = max(load, max(d.receiveRate, d.sendRate)/(fullLoadLinkShare*d.linkRate))
	}
	return load
}

// loadMonitor samples the router's load and sets whether the router is overloaded.
type loadMonitor struct {
	state  *Board
	logger log.Interface
	// routerCount returns the number of the site's routers.
	routerCount func() int

	detector overloadDetector
}

// run samples the router's load until the context ends.
func (m *loadMonitor) run(ctx context.Context) error {
	traffic := &m.state.Traffic
	received, sent := traffic.Received.Load(), traffic.Sent.Load()
	for ctx.Err() == nil {
		before := time.Now()
		clock.Sleep(ctx, loadCheckInterval)
		now := time.Now()
		sample := loadSample{elapsed: now.Sub(before), lag: now.Sub(before) - loadCheckInterval}
		newReceived, newSent := traffic.Received.Load(), traffic.Sent.Load()
		sample.received, sample.sent = newReceived-received, newSent-sent
		received, sent = newReceived, newSent
		m.setOverloaded(m.detector.update(now, sample) && m.routerCount() >= minSheddingRouters)
	}
	return nil
}

func (m *loadMonitor) setOverloaded(overloaded bool) {
	if m.state.Overloaded.Swap(overloaded) == overloaded {
		return
	}
	m.logger.WithFields(log.Fields{
		"Overloaded": overloaded, "LagMilliseconds": m.detector.lag.Milliseconds(), "Routers": m.routerCount(),
		"ReceivedBytesPerSecond": int64(m.detector.receiveRate), "SentBytesPerSecond": int64(m.detector.sendRate),
		"LinkBytesPerSecond": int64(m.detector.linkRate),
	}).Info("overload changed")
}
