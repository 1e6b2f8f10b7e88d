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

// variants are the rows of the table: the policy, the baselines, and what was tried.
func variants() []variant {
	return []variant{
		{name: "policy"},
		{name: "round robin", choice: byRoundRobin},
		{name: "least reported load", choice: byReportedLoad},
		{name: "no retry budget", noBudget: true},
		{name: "no affinity", noAffinity: true},
		{name: "fixed limits", fixedLimit: true},
		{name: "the same, no budget", fixedLimit: true, noBudget: true},
		{name: "least of all", choice: byOwnLoad},
		{name: "no affinity, no price", noAffinity: true, policy: Policy{RegionCost: -1}},
		{name: "affinity bound 1.25", policy: Policy{AffinityBound: 1.25}},
		{name: "affinity bound 2", policy: Policy{AffinityBound: 2}},
	}
}

// simulate runs a variant with one of the fixed seeds.
func simulate(v variant, seed uint64, runners int, load float64, faults bool) (simReportCard, []*simEngine) {
	s := &simulation{variant: v, random: rand.New(rand.NewPCG(seed, 2))}
	report := s.run(runners, load, faults)
	return report, s.engines
}

func (c simReportCard) p95() time.Duration {
	if len(c.firstTokens) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.firstTokens))
	return sorted[len(sorted)*95/100]
}

// busiest returns the requests of the busiest engine over the mean of those that live.
func busiest(engines []*simEngine) float64 {
	most, total, alive := 0, 0, 0
	for _, e := range engines {
		if e.dead || e.silent {
			continue
		}
		alive++
		total += e.served
		most = max(most, e.served)
	}
	return float64(most) * float64(alive) / float64(total)
}

// goodput returns the good answers in parts of what the fleet can give.
func goodput(v variant, runners int, load float64, faults bool) float64 {
	report, _ := simulate(v, 1, runners, load, faults)
	return float64(report.good) / float64(report.requests) * load
}

// table prints the rows of one scenario.
func table(runners int, faults bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-22s%9s%9s%7s%7s%9s%8s%8s%7s%7s%7s\n",
		"", "p95 TTFT", "busiest", "cache", "cross", "retries", "failed", "good", "good", "good", "good")
	fmt.Fprintf(&b, "%-22s%9s%9s%7s%7s%9s%8s%8s%7s%7s%7s\n",
		"", "ms", "/mean", "hits", "region", "/request", "", "at 0.7x", "at 1x", "at 2x", "at 3x")
	for _, v := range variants() {
		r, engines := simulate(v, 1, runners, 0.7, faults)
		requests := float64(r.requests)
		fmt.Fprintf(&b, "%-22s%9d%9.2f%7.2f%7.2f%9.3f%8.3f%8.2f", v.name, r.p95().Milliseconds(), busiest(engines),
			float64(r.hits)/float64(r.starts), float64(r.far)/float64(r.attempts), float64(r.retries)/requests,
			float64(r.failed)/requests, float64(r.good)/requests*0.7)
		for _, load := range []float64{1, 2, 3} {
			fmt.Fprintf(&b, "%7.2f", goodput(v, runners, load, faults))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// poisonTable prints what a request does that crashes engines, over several seeds.
func poisonTable(runners int) string {
	rows := fmt.Sprintf("%-22s%9s%9s%9s%8s%9s\n", "", "p95 TTFT", "crashes", "innocent", "failed", "good")
	rows += fmt.Sprintf("%-22s%9s%9s%9s%8s%9s\n", "", "ms", "/poison", "held", "", "/request")
	for _, v := range []variant{
		{name: "no poison"},
		{name: "no quarantine", poison: true, quarantine: ofNone},
		{name: "one for each router", poison: true, quarantine: ofOneRouter},
		{name: "shared", poison: true},
	} {
		var sum simReportCard
		for seed := range uint64(simPoisonSeeds) {
			r, _ := simulate(v, seed+1, runners, 0.7, false)
			sum.requests, sum.good, sum.failed = sum.requests+r.requests, sum.good+r.good, sum.failed+r.failed
			sum.crashes, sum.held = sum.crashes+r.crashes, sum.held+r.held
			sum.firstTokens = append(sum.firstTokens, r.firstTokens...)
		}
		requests, poison := float64(sum.requests), simPoisonSeeds*float64(simDuration/simPoisonEvery)
		rows += fmt.Sprintf("%-22s%9d%9.1f%9d%8.3f%9.2f\n", v.name, sum.p95().Milliseconds(), float64(sum.crashes)/poison, sum.held,
			float64(sum.failed)/requests, float64(sum.good)/requests)
	}
	return rows
}

// TestPolicyTable prints the tables and compares them with those of docs/routing.md.
func TestPolicyTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/routing.md")
	assert.Must(t, err)
	assertShown := func(name string, rows func() string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := rows()
			t.Log("\n" + text)
			if !strings.Contains(string(page), text) {
				t.Error("docs/routing.md shows another table")
			}
		})
	}
	for _, runners := range []int{9, 18} {
		for _, faults := range []bool{false, true} {
			assertShown(fmt.Sprintf("%d runners, faults %v", runners, faults), func() string { return table(runners, faults) })
		}
		assertShown(fmt.Sprintf("%d runners, poison", runners), func() string { return poisonTable(runners) })
	}
}
