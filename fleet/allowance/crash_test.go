package allowance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/timeofday"
)

const (
	// crashRate is the team's use in tokens per second, crashTotalTime how long its total lasts, and crashRequestsPerSecond
	// its requests over all routers.
	crashRate              = 90_000
	crashTotalTime         = 48 * time.Second
	crashRequestsPerSecond = 18
	crashRegions           = 3
	// crashDownTime is how long machines without power stay off. crashAgreementTime is the time from the start of a process
	// until it has agreed with others on the time of day.
	crashDownTime      = 800 * time.Millisecond
	crashAgreementTime = 600 * time.Millisecond
	// sharingFleet is the number of routers up to which each one holds a share.
	sharingFleet = 12
	// unowedFraction is the fraction of a total that operators accept as lost.
	unowedFraction = 0.03
)

// countingLog counts the calls to the platform, and the bytes that they carry.
type countingLog struct {
	memory.KeyedLog
	writes, reads, bytes atomic.Int64
}

func (l *countingLog) AppendAt(ctx context.Context, topic string, partition int, end int64, records []platform.KeyedRecord) (int64, error) {
	l.writes.Add(1)
	for _, r := range records {
		l.bytes.Add(int64(len(r.Value)))
	}
	return l.KeyedLog.AppendAt(ctx, topic, partition, end, records)
}

func (l *countingLog) Newest(ctx context.Context, topic string, partition int) (platform.KeyedState, error) {
	l.reads.Add(1)
	state, err := l.KeyedLog.Newest(ctx, topic, partition)
	for _, r := range state.Records {
		l.bytes.Add(int64(len(r.Value)))
	}
	return state, err
}

// crashFleet is a fleet whose routers serve one team's traffic and lose power.
type crashFleet struct {
	t       *testing.T
	log     countingLog
	routers *testRouters
	random  *rand.Rand
	stops   map[string]context.CancelFunc
	starts  map[string]int
	// down are the routers without power.
	down map[string]bool

	mu sync.Mutex
	// used is the use of all requests in tokens; requests in progress when a router lost power count at their maximum.
	used            int64
	served, refused int
}

func routerName(i int) string { return fmt.Sprintf("router-%d", i) }

// regionalLenders makes the first routers, one of each region, hold the shares of a fleet above sharingFleet.
type regionalLenders struct {
	peerClient

	number, routers int
}

func (l *regionalLenders) ShareHolders(string) []string {
	if l.routers <= sharingFleet || l.number < crashRegions {
		return nil
	}
	var instances []string
	for i := range crashRegions {
		instances = append(instances, routerName((l.number+i)%crashRegions))
	}
	return instances
}

func newCrashFleet(ctx context.Context, t *testing.T, n int) *crashFleet {
	t.Helper()
	f := &crashFleet{
		t: t, random: rand.New(rand.NewPCG(1, 1)),
		stops: make(map[string]context.CancelFunc), starts: make(map[string]int), down: make(map[string]bool),
	}
	f.routers = &testRouters{t: t, log: &f.log.KeyedLog, holders: make(map[string]*Holder), logs: make(map[string]*memory.Connection)}
	f.routers.team = &site.Team{Name: "studio", Prepaid: int64(crashRate * crashTotalTime.Seconds()), HasPrepaid: true}
	for i := range n {
		f.start(ctx, i, n, time.Hour)
	}
	return f
}

// start starts a process on a machine with the given uptime.
func (f *crashFleet) start(ctx context.Context, number, n int, uptime time.Duration) {
	name, bootTime := routerName(number), time.Now().Add(-uptime)
	f.starts[name]++
	agreement := &timeofday.Agreement{}
	time.AfterFunc(crashAgreementTime, func() { agreement.SetBootTime(bootTime) })
	h := NewHolder(&f.log, Settings{
		Holder: fmt.Sprintf("%s/%d", name, f.starts[name]), Instance: name, Partitions: 1,
		Lenders: &regionalLenders{peerClient: peerClient{routers: f.routers, from: name}, number: number, routers: n},
		Now:     func() ClockReading { return ClockReading{Uptime: time.Since(bootTime), Wall: time.Now()} },
		Logger:  &log.Logger{Handler: discard.New()}, Agreement: agreement,
	})
	f.routers.holdersMutex.Lock()
	f.routers.holders[name], f.down[name] = h, false
	f.routers.holdersMutex.Unlock()
	f.routers.configure(name, 1)
	ctx, f.stops[name] = context.WithCancel(ctx)
	f.routers.run(ctx, name)
}

// serve sends the team's requests to random routers for a time, and returns the fraction that was paid for.
func (f *crashFleet) serve(ctx context.Context, period time.Duration) float64 {
	f.mu.Lock()
	f.served, f.refused = 0, 0
	f.mu.Unlock()
	n := len(f.routers.holders)
	for end := time.Now().Add(period); time.Now().Before(end); {
		time.Sleep(time.Duration(f.random.ExpFloat64() * float64(time.Second/crashRequestsPerSecond)))
		tokens := int64(crashRate / crashRequestsPerSecond * (0.2 + 1.6*f.random.Float64()))
		lasts := time.Duration((0.2 + 0.8*f.random.Float64()) * float64(time.Second))
		go f.request(ctx, routerName(f.random.IntN(n)), tokens, lasts)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.served) / float64(max(1, f.served+f.refused))
}

func (f *crashFleet) request(ctx context.Context, name string, tokens int64, lasts time.Duration) {
	h := f.routers.holder(name)
	reservation, err := h.Reserve(ctx, "id", f.routers.team, tokens)
	f.mu.Lock()
	if err != nil {
		f.refused++
		f.mu.Unlock()
		return
	}
	f.served++
	f.used += tokens
	f.mu.Unlock()
	time.Sleep(lasts)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.down[name] {
		reservation.Settle(tokens)
	}
}

// losePower ends the processes of the first routers and starts them again on rebooted machines.
func (f *crashFleet) losePower(ctx context.Context, count int) {
	f.mu.Lock()
	n := len(f.routers.holders)
	for i := range count {
		f.stops[routerName(i)]()
		f.down[routerName(i)] = true
	}
	f.mu.Unlock()
	time.Sleep(crashDownTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range count {
		f.start(ctx, i, n, time.Second)
	}
}

// writtenOff returns the tokens that the account counts as used beyond the true use.
func (f *crashFleet) writtenOff() int64 {
	a := f.routers.account(f.t)
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.Prepaid - a.Remaining() - f.used
}

// crashResult is what a fleet of some size writes off and does in outages.
type crashResult struct {
	// one, half and all are the written-off tokens after the loss of power of one, half and all routers.
	one, half, all int64
	// inShortOutage and inLongOutage are the fractions of requests paid for in outages of 4 and 9 s.
	inShortOutage, inLongOutage                      float64
	writesPerSecond, readsPerSecond, kBytesPerSecond float64
}

func crashedFleet(t *testing.T, routers, crashing int) (written int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newCrashFleet(ctx, t, routers)
		time.Sleep(3 * time.Second)
		f.serve(ctx, 20*time.Second)
		f.losePower(ctx, crashing)
		time.Sleep(8 * time.Second)
		written = f.writtenOff()
		cancel()
		synctest.Wait()
	})
	return written
}

func fleetInOutage(t *testing.T, routers int, outage time.Duration, result *crashResult) (paid float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newCrashFleet(ctx, t, routers)
		time.Sleep(3 * time.Second)
		f.log.writes.Store(0)
		f.log.reads.Store(0)
		f.log.bytes.Store(0)
		const measured = 10 * time.Second
		f.serve(ctx, measured)
		result.writesPerSecond = float64(f.log.writes.Load()) / measured.Seconds()
		result.readsPerSecond = float64(f.log.reads.Load()) / measured.Seconds()
		result.kBytesPerSecond = float64(f.log.bytes.Load()) / 1_000 / measured.Seconds()
		f.log.OutageFor(outage)
		paid = f.serve(ctx, outage)
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
	})
	return paid
}

// TestCrashLoss guards against a loss of power that costs a team more of its total than operators accept. With -v it logs
// the rows of the table in docs/budgets.md.
func TestCrashLoss(t *testing.T) {
	for _, n := range []int{6, 23, 70, 295} {
		t.Run(fmt.Sprintf("%d routers", n), func(t *testing.T) {
			var r crashResult
			r.one, r.half, r.all = crashedFleet(t, n, 1), crashedFleet(t, n, n/2), crashedFleet(t, n, n)
			r.inShortOutage = fleetInOutage(t, n, 4*time.Second, &r)
			r.inLongOutage = fleetInOutage(t, n, 9*time.Second, &r)
			seconds := func(tokens int64) float64 { return float64(tokens) / crashRate }
			t.Logf("| %d | %d (%.1f s) | %d (%.1f s) | %d (%.1f s) | %.0f %% | %.0f %% | %.1f | %.1f | %.1f |", n, r.one, seconds(r.one), r.half, seconds(r.half), r.all,
				seconds(r.all), 100*r.inShortOutage, 100*r.inLongOutage, r.writesPerSecond, r.readsPerSecond, r.kBytesPerSecond)
			limit := int64(unowedFraction * crashRate * crashTotalTime.Seconds())
			for _, written := range []int64{r.one, r.half, r.all} {
				assert.Equal(t, true, written >= 0)
				assert.Equal(t, true, written <= limit)
			}
		})
	}
}
