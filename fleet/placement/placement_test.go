package placement

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const ms = time.Millisecond

// start returns the time at which the simulated clocks of the tests start.
func start() time.Time { return time.Unix(1_800_000_000, 0) }

func TestBacklog(t *testing.T) {
	begin := start()
	t.Run("work of other routers adds up and decreases with time", func(t *testing.T) {
		b := &Backlog{}
		b.AddWork(begin, 100*ms)
		b.AddWork(begin.Add(40*ms), 50*ms)
		assert.Equal(t, 110*ms, b.Wait(begin.Add(40*ms)))
		assert.Equal(t, time.Duration(0), b.Wait(begin.Add(time.Second)))
	})
	t.Run("pending prompts of this router count after their predicted time", func(t *testing.T) {
		b := &Backlog{}
		first := b.AddDispatch(begin, 100*ms)
		b.AddDispatch(begin, 200*ms)
		assert.Equal(t, 180*ms, b.Wait(begin.Add(time.Second)))
		b.RemoveDispatch(begin.Add(time.Second), first, true)
		assert.Equal(t, 120*ms, b.Wait(begin.Add(time.Second)))
	})
	t.Run("a first event removes the work read before it", func(t *testing.T) {
		b := &Backlog{}
		b.AddWork(begin, time.Second)
		first := b.AddDispatch(begin, 100*ms)
		b.RemoveDispatch(begin.Add(200*ms), first, true)
		assert.Equal(t, 800*ms, b.Wait(begin.Add(200*ms)))
		b.RemoveDispatch(begin.Add(200*ms), first, true)
		assert.Equal(t, 800*ms, b.Wait(begin.Add(200*ms)))
	})
	t.Run("a failed attempt does not lower the prediction", func(t *testing.T) {
		b := &Backlog{}
		d := b.AddDispatch(begin, 100*ms)
		b.RemoveDispatch(begin, d, false)
		assert.Equal(t, 100*ms, b.Wait(begin))
	})
}

func TestRate(t *testing.T) {
	t.Run("rate is learned by size class", func(t *testing.T) {
		r, s := &Rate{}, &Slowness{}
		for range 50 {
			r.Observe(Observation{Tokens: 3_000, FirstEventLatency: 50*ms + firstEventOverhead}, s)
			r.Observe(Observation{Tokens: 50_000, FirstEventLatency: 1250*ms + firstEventOverhead}, s)
		}
		assert.Equal(t, true, r.ReadingTime(3_000) < 60*ms && r.ReadingTime(3_000) > 40*ms)
		assert.Equal(t, true, r.ReadingTime(50_000) < 1400*ms && r.ReadingTime(50_000) > 1100*ms)
		assert.Equal(t, r.ReadingTime(3_000)/3, r.ReadingTime(1_000))
	})
	t.Run("slowness rises and falls with the samples", func(t *testing.T) {
		r, slow, typical := &Rate{}, &Slowness{}, &Slowness{}
		for range 40 {
			r.Observe(Observation{Tokens: 500, FirstEventLatency: 5 * (r.ReadingTime(500) + firstEventOverhead)}, slow)
			r.Observe(Observation{Tokens: 500, FirstEventLatency: r.ReadingTime(500) + firstEventOverhead}, typical)
		}
		assert.Equal(t, true, slow.Factor() > 4)
		assert.Equal(t, 1.0, typical.Factor())
		for range 20 {
			r.Observe(Observation{Tokens: 500, FirstEventLatency: r.ReadingTime(500) + firstEventOverhead}, slow)
		}
		assert.Equal(t, true, slow.Factor() < 1.1)
	})
	t.Run("a prompt with a predicted wait is ignored", func(t *testing.T) {
		r, s := &Rate{}, &Slowness{}
		r.Observe(Observation{Tokens: 5_000, FirstEventLatency: time.Minute, PredictedWait: time.Second}, s)
		r.Observe(Observation{Tokens: 5_000}, s)
		assert.Equal(t, 1.0, s.Factor())
	})
}

func TestCache(t *testing.T) {
	begin := start()
	parts := func(names ...string) []site.Part {
		var list []site.Part
		for _, name := range names {
			list = append(list, site.Part{Identifier: name, Tokens: 100})
		}
		return list
	}
	t.Run("only leading parts count", func(t *testing.T) {
		c := &Cache{}
		c.AddParts(begin, parts("a", "b", "c"))
		assert.Equal(t, int64(300), c.CachedTokens(begin, parts("a", "b", "c")))
		assert.Equal(t, int64(100), c.CachedTokens(begin, parts("a", "x", "c")))
		assert.Equal(t, int64(0), c.CachedTokens(begin, parts("x", "b")))
	})
	t.Run("parts expire", func(t *testing.T) {
		c := &Cache{}
		c.AddParts(begin, parts("a"))
		assert.Equal(t, int64(0), c.CachedTokens(begin.Add(entryLifetime+1), parts("a")))
	})
	t.Run("the least recently used part is evicted", func(t *testing.T) {
		c := &Cache{Memory: &Memory{MaxParts: 2}}
		c.AddParts(begin, parts("a"))
		c.AddParts(begin, parts("b"))
		c.AddParts(begin, parts("a"))
		c.AddParts(begin, parts("c"))
		assert.Equal(t, int64(0), c.CachedTokens(begin, parts("b")))
		assert.Equal(t, int64(100), c.CachedTokens(begin, parts("a")))
		assert.Equal(t, 2, c.Memory.Len())
	})
	t.Run("caches share a memory", func(t *testing.T) {
		m := &Memory{MaxParts: 3}
		one, two := &Cache{Memory: m}, &Cache{Memory: m}
		one.AddParts(begin, parts("a", "b"))
		two.AddParts(begin, parts("a", "x"))
		assert.Equal(t, int64(100), one.CachedTokens(begin, parts("a", "b")))
		assert.Equal(t, int64(200), two.CachedTokens(begin, parts("a", "x")))
	})
	t.Run("the first parts of a long prompt stay", func(t *testing.T) {
		c := &Cache{Memory: &Memory{MaxParts: 2}}
		c.AddParts(begin, parts("a", "b", "c", "d"))
		assert.Equal(t, int64(200), c.CachedTokens(begin, parts("a", "b", "c", "d")))
	})
}

// TestCachesHoldNothingThatExpired guards against a memory that grows with the number of different parts that were ever seen.
func TestCachesHoldNothingThatExpired(t *testing.T) {
	m := &Memory{}
	caches := []*Cache{{Memory: m}, {Memory: m}, {Memory: m}}
	now := start()
	for i := range 10_000 {
		caches[i%len(caches)].AddParts(now, []site.Part{{Identifier: strconv.Itoa(i), Tokens: 1}})
		now = now.Add(100 * time.Millisecond)
	}
	held := 0
	for _, c := range caches {
		held += len(c.byIdentifier)
	}
	assert.Equal(t, 301, m.Len())
	assert.Equal(t, m.Len(), held)
}

func TestChoose(t *testing.T) {
	long := Prompt{Tokens: 12_000, SharedTokens: 6_000, Objective: 800 * ms}
	short := Prompt{Tokens: 800, SharedTokens: 100, Objective: 300 * ms}
	for _, c := range []struct {
		name       string
		prompt     Prompt
		candidates []Candidate
		want       int
	}{
		{"idle engines: the home engine is chosen", long, []Candidate{{Hash: 1}, {Hash: 9}, {Hash: 5}}, 1},
		{"cached tokens outweigh the home engine", long, []Candidate{{Hash: 9}, {Hash: 1, CachedTokens: 6_000}}, 1},
		{"a long wait outweighs the home engine", long, []Candidate{{Hash: 9, Wait: 2 * time.Second}, {Hash: 1}}, 1},
		{"a short prompt avoids an engine with a long one", short, []Candidate{{Hash: 9, Wait: 400 * ms}, {Hash: 1, IsRemote: true}}, 1},
		{"a short prompt does not leave the region for a small gain", short, []Candidate{{Hash: 1}, {Hash: 9, IsRemote: true}}, 0},
		{"a slow engine is avoided", short, []Candidate{{Hash: 9, Slowness: Slowness{factor: 8}}, {Hash: 1}}, 1},
		{"requests in flight add to the cost", Prompt{Tokens: 10}, []Candidate{{Hash: 9, InFlight: 40}, {Hash: 1, InFlight: 3}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _, ok := Choose(c.candidates, c.prompt, &Rate{})
			assert.Equal(t, true, ok)
			assert.Equal(t, c.want, got)
		})
	}
	t.Run("no candidates", func(t *testing.T) {
		_, _, ok := Choose(nil, long, &Rate{})
		assert.Equal(t, false, ok)
	})
	t.Run("tokens that the engine has to read", func(t *testing.T) {
		_, missTokens, _ := Choose([]Candidate{{CachedTokens: 5_000}}, long, &Rate{})
		assert.Equal(t, int64(7_000), missTokens)
		_, missTokens, _ = Choose([]Candidate{{CachedTokens: 99_000}}, long, &Rate{})
		assert.Equal(t, int64(0), missTokens)
	})
}

// TestShortAmongLong guards against short prompts that miss their latency objective behind long ones. On engines that
// read prompts one after the other, placement by predicted cost may let at most 3 fewer short prompts begin in time
// than placement by the number of requests in flight.
func TestShortAmongLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		byCost, byInFlight := simulateLoad(seed, true), simulateLoad(seed, false)
		if byCost+3 < byInFlight {
			t.Fatalf("%d of 400 short prompts begin in time by predicted cost, %d by the number of requests", byCost, byInFlight)
		}
	})
}

// simulateLoad sends 400 prompts, every eighth a long one, to six engines and returns how many short prompts begin
// within 300 ms.
func simulateLoad(seed uint64, isPredicting bool) int {
	const engines, prompts, meanGap = 6, 400, 25 * ms
	var backlogs [engines]Backlog
	var busyUntil [engines]time.Time
	var finishTimes [engines][]time.Time
	rate := &Rate{}
	now, onTime := start(), 0
	for i := range prompts {
		seed = seed*6364136223846793005 + 1442695040888963407
		now = now.Add(meanGap/2 + time.Duration(seed>>40)%meanGap)
		p := Prompt{Tokens: 800, Objective: 300 * ms}
		if i%8 == 0 {
			p = Prompt{Tokens: 10_000 + int64(seed>>50), Objective: 800 * ms}
		}
		var candidates [engines]Candidate
		leastLoaded := 0
		for e := range engines {
			candidates[e] = Candidate{Hash: seed >> (e * 3) % 1000, Wait: backlogs[e].Wait(now)}
			for len(finishTimes[e]) > 0 && finishTimes[e][0].Before(now) {
				finishTimes[e] = finishTimes[e][1:]
			}
			if len(finishTimes[e]) < len(finishTimes[leastLoaded]) {
				leastLoaded = e
			}
		}
		chosen := leastLoaded
		if isPredicting {
			chosen, _, _ = Choose(candidates[:], p, rate)
		}
		startsAt := now
		if busyUntil[chosen].After(now) {
			startsAt = busyUntil[chosen]
		}
		busyUntil[chosen] = startsAt.Add(time.Duration(float64(p.Tokens) / initialRate * float64(ms)))
		finishTimes[chosen] = append(finishTimes[chosen], busyUntil[chosen].Add(time.Second))
		backlogs[chosen].AddWork(now, rate.ReadingTime(p.Tokens))
		if p.Tokens == 800 && busyUntil[chosen].Sub(now) <= p.Objective {
			onTime++
		}
	}
	return onTime
}
