package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	scaleRouters, scaleEngines, scaleAdded = 295, 200, 40
	scalePromptsPerSecond, scaleSubjects   = 400, 1235
	// scaleAddedAt is when the empty engines are added. They are judged between scaleJudgedFrom and the end.
	scaleAddedAt, scaleJudgedFrom, scaleEnd = 4 * time.Second, 6 * time.Second, 10 * time.Second
	// scaleRead is the rate at which engines read prompts, in tokens per millisecond.
	scaleRead = 66
)

// scaleEngine is an engine that reads prompts one after the other, with the parts that it has cached.
type scaleEngine struct {
	hash      uint64
	busyUntil time.Time
	cache     Cache
}

// scaleView is what one router believes of one engine.
type scaleView struct {
	backlog Backlog
	cache   Cache
}

// scaleResult is what prompts meet at the engines of one group.
type scaleResult struct {
	prompts   int
	late      int
	worstWait time.Duration
}

// simulateScaleOut lets many routers, none of which sees the others' choices, place long prompts on engines, and returns
// what those met that were placed in the judged period: at the engines that were there from the start, and at the added ones.
func simulateScaleOut(seed uint64) (old, added scaleResult) {
	random := rand.New(rand.NewPCG(seed, seed))
	engines := make([]*scaleEngine, scaleEngines+scaleAdded)
	for i := range engines {
		engines[i] = &scaleEngine{hash: xxhash.Sum64String(fmt.Sprintf("engine-%d", i))}
	}
	views := make([]map[int]*scaleView, scaleRouters)
	for i := range views {
		views[i] = make(map[int]*scaleView)
	}
	rate := &Rate{}
	for now := start(); now.Before(start().Add(scaleEnd)); now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second/scalePromptsPerSecond))) {
		subject := fmt.Sprintf("subject-%d", random.IntN(scaleSubjects))
		parts := []site.Part{{Identifier: "system", Tokens: 500}, {Identifier: subject, Tokens: 4_900}}
		p := Prompt{Tokens: 12_000, SharedTokens: 5_400, Objective: 800 * ms}
		view := views[random.IntN(scaleRouters)]
		available := scaleEngines
		if now.Sub(start()) >= scaleAddedAt {
			available += scaleAdded
		}
		candidates := make([]Candidate, available)
		for i := range candidates {
			known := view[i]
			if known == nil {
				known = &scaleView{}
				view[i] = known
			}
			candidates[i] = Candidate{
				Hash: endpoint.MixHash(engines[i].hash ^ xxhash.Sum64String(subject)), Wait: known.backlog.Wait(now), CachedTokens: known.cache.CachedTokens(now, parts),
			}
		}
		chosen, unread, _ := Choose(candidates, p, rate)
		view[chosen].backlog.AddWork(now, rate.ReadingTime(unread))
		view[chosen].cache.AddParts(now, parts)
		e := engines[chosen]
		wait := max(0, e.busyUntil.Sub(now))
		reading := time.Duration(p.Tokens-e.cache.CachedTokens(now, parts)) * ms / scaleRead
		e.cache.AddParts(now, parts)
		e.busyUntil = now.Add(wait + reading)
		if now.Sub(start()) < scaleJudgedFrom {
			continue
		}
		result := &old
		if chosen >= scaleEngines {
			result = &added
		}
		result.prompts++
		result.worstWait = max(result.worstWait, wait)
		if wait+reading > p.Objective {
			result.late++
		}
	}
	return old, added
}

// TestScaleOut guards against empty engines that are added and stay idle, and against a herd of routers that all choose
// them: within two seconds they take between half and twice their even part, and no prompt waits longer there than the
// objective allows.
func TestScaleOut(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			old, added := simulateScaleOut(seed)
			even := float64(old.prompts+added.prompts) * scaleAdded / (scaleEngines + scaleAdded)
			t.Logf("old %+v, added %+v, even part of the added ones %.0f", old, added, even)
			assert.Equal(t, true, float64(added.prompts) >= even/2 && float64(added.prompts) <= 2*even)
			assert.Equal(t, true, added.late <= old.late*scaleAdded/scaleEngines+added.prompts/100)
		})
	}
}
