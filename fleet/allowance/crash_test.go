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

// crashLoad is the load of one team.
type crashLoad struct {
	// rate is the use in tokens per second over all routers, in requests of about size tokens.
	rate, size int64
	total      int64
}

// heavyLoad uses up its total in 48 s, with few and large requests.
func heavyLoad() crashLoad { return crashLoad{rate: 90_000, size: 5_000, total: 90_000 * 48} }

// steadyLoad uses up 0.9 in 100 of its total in a second.
func steadyLoad() crashLoad { return crashLoad{rate: 8_800, size: 440, total: 1_000_000} }

// rareLoad uses up 0.01 in 100 of its total in a second.
func rareLoad() crashLoad { return crashLoad{rate: 100, size: 100, total: 1_000_000} }

const (
	crashRegions = 3
	// crashAgreementTime is the time from the start of a process until it has agreed with others on the time of day.
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
	load    crashLoad
	routers *testRouters
	random  *rand.Rand
	stops   map[string]context.CancelFunc
	starts  map[string]int
	// down are the routers without power.
	down map[string]bool
	// boots are the boot times of the routers' machines.
	boots map[string]time.Time

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

func newCrashFleet(ctx context.Context, t *testing.T, n int, load crashLoad) *crashFleet {
	t.Helper()
	f := &crashFleet{
		t: t, load: load, random: rand.New(rand.NewPCG(1, 1)),
		stops: make(map[string]context.CancelFunc), starts: make(map[string]int), down: make(map[string]bool),
		boots: make(map[string]time.Time),
	}
	f.routers = &testRouters{t: t, log: &f.log.KeyedLog, holders: make(map[string]*Holder), logs: make(map[string]*memory.Connection)}
	f.routers.team = &site.Team{Name: "studio", Prepaid: load.total, HasPrepaid: true}
	for i := range n {
		f.start(ctx, i, n, time.Now().Add(-time.Hour))
	}
	return f
}

// start starts a process on a machine with the given boot time.
func (f *crashFleet) start(ctx context.Context, number, n int, bootTime time.Time) {
	name := routerName(number)
	f.boots[name] = bootTime
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

// serve sends the team's requests, at a multiple of its usual rate, to random routers for a time, and returns the fraction
// that was paid for.
func (f *crashFleet) serve(ctx context.Context, period time.Duration, factor float64) float64 {
	f.mu.Lock()
	f.served, f.refused = 0, 0
	f.mu.Unlock()
	n := len(f.routers.holders)
	for end := time.Now().Add(period); time.Now().Before(end); {
		time.Sleep(time.Duration(f.random.ExpFloat64() * float64(time.Second) * float64(f.load.size) / float64(f.load.rate) / factor))
		tokens := int64(float64(f.load.size) * (0.2 + 1.6*f.random.Float64()))
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

// crash is a disturbance that ends the processes of the first routers.
type crash struct {
	routers int
	// downTime is how long the processes are down.
	downTime time.Duration
	// losesPower is true if the machines reboot.
	losesPower bool
}

// crash ends the processes of the first routers and starts them again.
func (f *crashFleet) crash(ctx context.Context, c crash) {
	f.mu.Lock()
	n := len(f.routers.holders)
	for i := range c.routers {
		f.stops[routerName(i)]()
		f.down[routerName(i)] = true
	}
	f.mu.Unlock()
	time.Sleep(c.downTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range c.routers {
		bootTime := f.boots[routerName(i)]
		if c.losesPower {
			bootTime = time.Now().Add(-time.Second)
		}
		f.start(ctx, i, n, bootTime)
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

// crashedFleet returns the tokens written off after crashes that come after 20 s of traffic, and after 8 s more each.
func crashedFleet(t *testing.T, routers int, load crashLoad, crashes ...crash) (written int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newCrashFleet(ctx, t, routers, load)
		time.Sleep(3 * time.Second)
		f.serve(ctx, 12*time.Second, 1)
		for _, c := range crashes {
			f.serve(ctx, 8*time.Second, 1)
			f.crash(ctx, c)
		}
		time.Sleep(8 * time.Second)
		written = f.writtenOff()
		cancel()
		synctest.Wait()
	})
	return written
}

// fleetInOutage returns the fraction of requests paid for in an outage in which the team's use is a multiple of its usual.
func fleetInOutage(t *testing.T, routers int, load crashLoad, outage time.Duration, factor float64, result *crashResult) (paid float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newCrashFleet(ctx, t, routers, load)
		time.Sleep(3 * time.Second)
		f.log.writes.Store(0)
		f.log.reads.Store(0)
		f.log.bytes.Store(0)
		const measured = 10 * time.Second
		f.serve(ctx, measured, 1)
		result.writesPerSecond = float64(f.log.writes.Load()) / measured.Seconds()
		result.readsPerSecond = float64(f.log.reads.Load()) / measured.Seconds()
		result.kBytesPerSecond = float64(f.log.bytes.Load()) / 1_000 / measured.Seconds()
		f.log.OutageFor(outage)
		paid = f.serve(ctx, outage, factor)
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
			load := heavyLoad()
			lossOf := func(routers int) int64 {
				return crashedFleet(t, n, load, crash{routers: routers, downTime: 800 * time.Millisecond, losesPower: true})
			}
			r.one, r.half, r.all = lossOf(1), lossOf(n/2), lossOf(n)
			r.inShortOutage = fleetInOutage(t, n, load, 4*time.Second, 1, &r)
			r.inLongOutage = fleetInOutage(t, n, load, 9*time.Second, 1, &r)
			seconds := func(tokens int64) float64 { return float64(tokens) / float64(load.rate) }
			t.Logf("| %d | %d (%.1f s) | %d (%.1f s) | %d (%.1f s) | %.0f %% | %.0f %% | %.1f | %.1f | %.1f |", n, r.one, seconds(r.one), r.half, seconds(r.half), r.all,
				seconds(r.all), 100*r.inShortOutage, 100*r.inLongOutage, r.writesPerSecond, r.readsPerSecond, r.kBytesPerSecond)
			limit := int64(unowedFraction * float64(load.total))
			for _, written := range []int64{r.one, r.half, r.all} {
				assert.Equal(t, true, written >= 0)
				assert.Equal(t, true, written <= limit)
			}
		})
	}
}

// TestRepeatedCrashLoss guards against kills of all processes that together cost a team more of its total than operators
// accept for a day. With -v it logs the rows of the table in docs/budgets.md.
func TestRepeatedCrashLoss(t *testing.T) {
	for _, c := range []struct {
		name    string
		load    crashLoad
		routers int
	}{
		{"steady use at 2 routers", steadyLoad(), 2},
		{"steady use at 6 routers", steadyLoad(), 6},
		{"steady use at 23 routers", steadyLoad(), 23},
		{"rare use at 2 routers", rareLoad(), 2},
		{"rare use at 6 routers", rareLoad(), 6},
		{"rare use at 23 routers", rareLoad(), 23},
	} {
		t.Run(c.name, func(t *testing.T) {
			kill := crash{routers: c.routers, downTime: 2 * time.Second}
			var written []int64
			for _, kills := range [][]crash{{kill}, {kill, kill}, {kill, kill, kill, kill}} {
				written = append(written, crashedFleet(t, c.routers, c.load, kills...))
			}
			var r crashResult
			paid := func(outage time.Duration, factor float64) float64 {
				return 100 * fleetInOutage(t, c.routers, c.load, outage, factor, &r)
			}
			t.Logf("| %s | %d | %d | %d | %.0f %% | %.0f %% | %.0f %% | %.0f %% | %.1f |", c.name, written[0], written[1], written[2],
				paid(4*time.Second, 1), paid(9*time.Second, 1), paid(4*time.Second, 4), paid(9*time.Second, 4), r.writesPerSecond)
			for _, w := range written {
				assert.Equal(t, true, w >= 0)
				assert.Equal(t, true, w <= int64(unowedFraction*float64(c.load.total)))
			}
		})
	}
}
