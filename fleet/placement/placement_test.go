package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const ms = time.Millisecond

// start is when the tests begin.
func start() time.Time { return time.Unix(1_800_000_000, 0) }

func TestBacklog(t *testing.T) {
	begin := start()
	t.Run("adds up and drains", func(t *testing.T) {
		b := &Backlog{}
		b.Add(begin, 100*ms)
		b.Add(begin.Add(40*ms), 50*ms)
		assert.Equal(t, 110*ms, b.Wait(begin.Add(40*ms)))
		assert.Equal(t, time.Duration(0), b.Wait(begin.Add(time.Second)))
	})
	t.Run("own prompts that have not begun count", func(t *testing.T) {
		b := &Backlog{}
		first := b.Send(begin, 100*ms)
		b.Send(begin, 200*ms)
		assert.Equal(t, 180*ms, b.Wait(begin.Add(time.Second)))
		b.Began(begin.Add(time.Second), first, true)
		assert.Equal(t, 120*ms, b.Wait(begin.Add(time.Second)))
	})
	t.Run("a first event shows what has been read", func(t *testing.T) {
		b := &Backlog{}
		b.Add(begin, time.Second)
		first := b.Send(begin, 100*ms)
		b.Began(begin.Add(200*ms), first, true)
		assert.Equal(t, 800*ms, b.Wait(begin.Add(200*ms)))
		b.Began(begin.Add(200*ms), first, true)
		assert.Equal(t, 800*ms, b.Wait(begin.Add(200*ms)))
	})
	t.Run("a failed attempt shows nothing", func(t *testing.T) {
		b := &Backlog{}
		d := b.Send(begin, 100*ms)
		b.Began(begin, d, false)
		assert.Equal(t, 100*ms, b.Wait(begin))
	})
}

func TestRate(t *testing.T) {
	t.Run("learns by size", func(t *testing.T) {
		r, s := &Rate{}, &Slowness{}
		for range 50 {
			r.Observe(Observation{Tokens: 3_000, First: 50*ms + overhead}, s)
			r.Observe(Observation{Tokens: 50_000, First: 1250*ms + overhead}, s)
		}
		assert.Equal(t, true, r.Work(3_000) < 60*ms && r.Work(3_000) > 40*ms)
		assert.Equal(t, true, r.Work(50_000) < 1400*ms && r.Work(50_000) > 1100*ms)
		assert.Equal(t, r.Work(3_000)/3, r.Work(1_000))
	})
	t.Run("an engine that is slow", func(t *testing.T) {
		r, slow, usual := &Rate{}, &Slowness{}, &Slowness{}
		for range 40 {
			r.Observe(Observation{Tokens: 500, First: 5 * (r.Work(500) + overhead)}, slow)
			r.Observe(Observation{Tokens: 500, First: r.Work(500) + overhead}, usual)
		}
		assert.Equal(t, true, slow.Factor() > 4)
		assert.Equal(t, 1.0, usual.Factor())
		for range 20 {
			r.Observe(Observation{Tokens: 500, First: r.Work(500) + overhead}, slow)
		}
		assert.Equal(t, true, slow.Factor() < 1.1)
	})
	t.Run("a wait tells nothing", func(t *testing.T) {
		r, s := &Rate{}, &Slowness{}
		r.Observe(Observation{Tokens: 5_000, First: time.Minute, Wait: time.Second}, s)
		r.Observe(Observation{Tokens: 5_000}, s)
		assert.Equal(t, 1.0, s.Factor())
	})
}

func TestCache(t *testing.T) {
	begin := start()
	parts := func(names ...string) []site.Part {
		var parts []site.Part
		for _, name := range names {
			parts = append(parts, site.Part{Identifier: name, Tokens: 100})
		}
		return parts
	}
	t.Run("only beginnings count", func(t *testing.T) {
		c := &Cache{}
		c.Use(begin, parts("a", "b", "c"))
		assert.Equal(t, int64(300), c.Hit(begin, parts("a", "b", "c")))
		assert.Equal(t, int64(100), c.Hit(begin, parts("a", "x", "c")))
		assert.Equal(t, int64(0), c.Hit(begin, parts("x", "b")))
	})
	t.Run("parts are forgotten with time", func(t *testing.T) {
		c := &Cache{}
		c.Use(begin, parts("a"))
		assert.Equal(t, int64(0), c.Hit(begin.Add(cacheTime+1), parts("a")))
	})
	t.Run("the least recently used part yields", func(t *testing.T) {
		c := &Cache{Tokens: 200}
		c.Use(begin, parts("a"))
		c.Use(begin, parts("b"))
		c.Use(begin, parts("a"))
		c.Use(begin, parts("c"))
		assert.Equal(t, int64(0), c.Hit(begin, parts("b")))
		assert.Equal(t, int64(100), c.Hit(begin, parts("a")))
	})
}

func TestChoose(t *testing.T) {
	long := Prompt{Tokens: 12_000, Shared: 6_000, Target: 800 * ms}
	short := Prompt{Tokens: 800, Shared: 100, Target: 300 * ms}
	for _, c := range []struct {
		name       string
		prompt     Prompt
		candidates []Candidate
		want       int
	}{
		{"idle engines: the home", long, []Candidate{{Hash: 1}, {Hash: 9}, {Hash: 5}}, 1},
		{"what is cached goes before the home", long, []Candidate{{Hash: 9}, {Hash: 1, Hit: 6_000}}, 1},
		{"a long wait goes before what is cached", long, []Candidate{{Hash: 9, Wait: 2 * time.Second}, {Hash: 1}}, 1},
		{"a short prompt avoids a long one", short, []Candidate{{Hash: 9, Wait: 400 * ms}, {Hash: 1, Remote: true}}, 1},
		{"a short prompt does not go far for little", short, []Candidate{{Hash: 1}, {Hash: 9, Remote: true}}, 0},
		{"a slow engine is avoided", short, []Candidate{{Hash: 9, Slow: Slowness{factor: 8}}, {Hash: 1}}, 1},
		{"requests in progress count", Prompt{Tokens: 10}, []Candidate{{Hash: 9, Beside: 40}, {Hash: 1, Beside: 3}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _, ok := Choose(c.candidates, c.prompt, &Rate{})
			assert.Equal(t, true, ok)
			assert.Equal(t, c.want, got)
		})
	}
	t.Run("nothing to choose from", func(t *testing.T) {
		_, _, ok := Choose(nil, long, &Rate{})
		assert.Equal(t, false, ok)
	})
	t.Run("what is left to read", func(t *testing.T) {
		_, miss, _ := Choose([]Candidate{{Hit: 5_000}}, long, &Rate{})
		assert.Equal(t, int64(7_000), miss)
		_, miss, _ = Choose([]Candidate{{Hit: 99_000}}, long, &Rate{})
		assert.Equal(t, int64(0), miss)
	})
}

// TestShortAmongLong plays short prompts among long ones over some engines that read one after the other, and compares the
// share that begins in time with choosing by the number of requests.
func TestShortAmongLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		predicted, counted := playLoad(seed, true), playLoad(seed, false)
		if predicted+3 < counted {
			t.Fatalf("%d of 400 begin in time, %d by the number of requests", predicted, counted)
		}
	})
}

// playLoad sends 400 prompts to six engines, every eighth a long one, and counts the short ones that begin within 300 ms.
func playLoad(seed uint64, predict bool) int {
	const engines, prompts, gap = 6, 400, 25 * ms
	var backlogs [engines]Backlog
	var busy [engines]time.Time
	var beside [engines][]time.Time
	rate := &Rate{}
	now, inTime := start(), 0
	for i := range prompts {
		seed = seed*6364136223846793005 + 1442695040888963407
		now = now.Add(gap/2 + time.Duration(seed>>40)%gap)
		p := Prompt{Tokens: 800, Target: 300 * ms}
		if i%8 == 0 {
			p = Prompt{Tokens: 10_000 + int64(seed>>50), Target: 800 * ms}
		}
		var candidates [engines]Candidate
		least := 0
		for e := range engines {
			candidates[e] = Candidate{Hash: seed >> (e * 3) % 1000, Wait: backlogs[e].Wait(now)}
			for len(beside[e]) > 0 && beside[e][0].Before(now) {
				beside[e] = beside[e][1:]
			}
			if len(beside[e]) < len(beside[least]) {
				least = e
			}
		}
		chosen := least
		if predict {
			chosen, _, _ = Choose(candidates[:], p, rate)
		}
		begins := now
		if busy[chosen].After(now) {
			begins = busy[chosen]
		}
		busy[chosen] = begins.Add(time.Duration(float64(p.Tokens) / firstRate * float64(ms)))
		beside[chosen] = append(beside[chosen], busy[chosen].Add(time.Second))
		backlogs[chosen].Add(now, rate.Work(p.Tokens))
		if p.Tokens == 800 && busy[chosen].Sub(now) <= p.Target {
			inTime++
		}
	}
	return inTime
}
