package endpoint

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// variants returns the rows of the table: the policy, the baselines and alternative settings.
func variants() []variant {
	return []variant{
		{name: "policy"},
		{name: "round robin", choice: byRoundRobin},
		{name: "least reported load", choice: byReportedLoad},
		{name: "no retry budget", hasUnlimitedBudget: true},
		{name: "no affinity", hasNoAffinity: true},
		{name: "fixed limits", hasFixedLimit: true},
		{name: "the same, no budget", hasFixedLimit: true, hasUnlimitedBudget: true},
		{name: "least of all", choice: byLowestScore},
		{name: "no affinity, no price", hasNoAffinity: true, policy: Policy{RegionCost: -1}},
		{name: "affinity bound 1.25", policy: Policy{AffinityBound: 1.25}},
		{name: "affinity bound 2", policy: Policy{AffinityBound: 2}},
	}
}

// simulate runs a variant with one of the fixed seeds.
func simulate(v variant, seed uint64, engineCount int, load float64, faults bool) (simResults, []*simEngine) {
	s := &simulation{variant: v, random: rand.New(rand.NewPCG(seed, 2))}
	results := s.run(engineCount, load, faults)
	return results, s.engines
}

func (c simResults) p95() time.Duration {
	if len(c.firstTokens) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.firstTokens))
	return sorted[len(sorted)*95/100]
}

// busiestOverMean returns the number of requests at the busiest engine divided by the mean of the engines that are
// not down.
func busiestOverMean(engines []*simEngine) float64 {
	maximum, total, alive := 0, 0, 0
	for _, e := range engines {
		if e.isDead || e.isUnresponsive {
			continue
		}
		alive++
		total += e.served
		maximum = max(maximum, e.served)
	}
	return float64(maximum) * float64(alive) / float64(total)
}

// goodput returns the good responses as a fraction of the fleet's capacity.
func goodput(v variant, engineCount int, load float64, faults bool) float64 {
	results, _ := simulate(v, 1, engineCount, load, faults)
	return float64(results.goodResponses) / float64(results.requests) * load
}

// policyTable formats the results of all variants in one scenario.
func policyTable(engineCount int, faults bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-22s%9s%9s%7s%7s%9s%8s%8s%7s%7s%7s\n",
		"", "p95 TTFT", "busiest", "cache", "cross", "retries", "failed", "good", "good", "good", "good")
	fmt.Fprintf(&b, "%-22s%9s%9s%7s%7s%9s%8s%8s%7s%7s%7s\n",
		"", "ms", "/mean", "hits", "region", "/request", "", "at 0.7x", "at 1x", "at 2x", "at 3x")
	for _, v := range variants() {
		r, engines := simulate(v, 1, engineCount, 0.7, faults)
		requests := float64(r.requests)
		fmt.Fprintf(&b, "%-22s%9d%9.2f%7.2f%7.2f%9.3f%8.3f%8.2f", v.name, r.p95().Milliseconds(), busiestOverMean(engines),
			float64(r.cacheHits)/float64(r.starts), float64(r.crossRegionAttempts)/float64(r.attempts), float64(r.retries)/requests,
			float64(r.failed)/requests, float64(r.goodResponses)/requests*0.7)
		for _, load := range []float64{1, 2, 3} {
			fmt.Fprintf(&b, "%7.2f", goodput(v, engineCount, load, faults))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// poisonTable formats the effect of requests that crash engines, over several seeds.
func poisonTable(engineCount int) string {
	rows := fmt.Sprintf("%-22s%9s%9s%9s%8s%9s\n", "", "p95 TTFT", "crashes", "innocent", "failed", "good")
	rows += fmt.Sprintf("%-22s%9s%9s%9s%8s%9s\n", "", "ms", "/poison", "held", "", "/request")
	for _, v := range []variant{
		{name: "no poison"},
		{name: "no quarantine", hasPoison: true, crashSources: crashesOfNone},
		{name: "one for each router", hasPoison: true, crashSources: crashesOfOneRouter},
		{name: "shared", hasPoison: true},
	} {
		var sum simResults
		for seed := range uint64(simPoisonSeeds) {
			r, _ := simulate(v, seed+1, engineCount, 0.7, false)
			sum.requests, sum.goodResponses, sum.failed = sum.requests+r.requests, sum.goodResponses+r.goodResponses, sum.failed+r.failed
			sum.crashes, sum.refusedInnocent = sum.crashes+r.crashes, sum.refusedInnocent+r.refusedInnocent
			sum.firstTokens = append(sum.firstTokens, r.firstTokens...)
		}
		requests, poison := float64(sum.requests), simPoisonSeeds*float64(simDuration/simPoisonInterval)
		rows += fmt.Sprintf("%-22s%9d%9.1f%9d%8.3f%9.2f\n", v.name, sum.p95().Milliseconds(), float64(sum.crashes)/poison,
			sum.refusedInnocent, float64(sum.failed)/requests, float64(sum.goodResponses)/requests)
	}
	return rows
}

// TestPolicyTable guards against a documented table that no longer matches the code: it simulates all variants and
// compares the results with docs/routing.md.
func TestPolicyTable(t *testing.T) {
	document, err := os.ReadFile("../../docs/routing.md")
	assert.Must(t, err)
	assertDocumented := func(name string, rows func() string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := rows()
			t.Log("\n" + text)
			if !strings.Contains(string(document), text) {
				t.Error("docs/routing.md shows another table")
			}
		})
	}
	for _, runners := range []int{9, 18} {
		for _, faults := range []bool{false, true} {
			assertDocumented(fmt.Sprintf("%d runners, faults %v", runners, faults), func() string { return policyTable(runners, faults) })
		}
		assertDocumented(fmt.Sprintf("%d runners, poison", runners), func() string { return poisonTable(runners) })
	}
}
