package ledger

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Sizes of the benchmarked states and workloads.
const (
	benchmarkRouters      = 6
	benchmarkBudgets      = 530_000
	benchmarkEnded        = 160 * 365 * 2
	benchmarkGroups       = 2000
	benchmarkGroupRecords = 64
)

func budgetName(n int) string { return fmt.Sprintf("atelier-budget-%06d", n) }

func numberedRequest(n int) RequestIdentifier {
	var id RequestIdentifier
	binary.BigEndian.PutUint64(id[:], uint64(n)*0x9E3779B97F4A7C15)
	return id
}

// newPartitionState returns a state with benchmarkRouters live routers and the given number of budgets. The first
// routers, as many as holders says, hold a share in each budget.
func newPartitionState(budgets, holders int) *State {
	s := &State{}
	for n := range benchmarkRouters {
		s.ApplyGroup(s.Next(), Group{Writer: router(n), First: 1, Records: []Record{&Join{}}})
	}
	sequences := make([]uint64, benchmarkRouters)
	write := func(n int, r Record) {
		s.ApplyGroup(s.Next(), Group{Writer: router(n), First: sequences[n] + 2, Records: []Record{r}})
		sequences[n]++
	}
	for n := range budgets {
		write(0, &Prepaid{Budget: budgetName(n), Ticket: 1, Total: 1 << 40, Reserve: ReservePolicy{Share: 1000}})
		for h := range holders {
			write(h, &Draw{Budget: budgetName(n), Wanted: 1 << 30, Minimum: 1})
		}
	}
	return s
}

// trafficGroups returns groups that open and bill requests, with a draw before every eighth request.
func trafficGroups(s *State, budgets int) []Group {
	groups := make([]Group, benchmarkGroups)
	next := make(map[Incarnation]uint64)
	request := 0
	for n := range groups {
		g := Group{Writer: router(n % benchmarkRouters)}
		g.First = max(next[g.Writer], s.AppliedSequence(g.Writer)+1)
		for len(g.Records) < benchmarkGroupRecords {
			request++
			name, id := budgetName(request*7919%budgets), numberedRequest(request)
			if request%8 == 0 {
				g.Records = append(g.Records, &Draw{Budget: name, Wanted: 1000, Minimum: 1})
			}
			g.Records = append(g.Records,
				&Open{Request: id, Attempt: uint64(request), Budget: name, Amount: 700, Idempotent: request%16 != 0},
				&Bill{Request: id, Attempt: uint64(request), Usage: 500})
		}
		next[g.Writer] = g.lastSequence() + 1
		groups[n] = g
	}
	return groups
}

// BenchmarkFold measures the folding of decoded and of encoded groups for few and for many budgets.
func BenchmarkFold(b *testing.B) {
	for _, budgets := range []int{1000, benchmarkBudgets} {
		state := newPartitionState(budgets, benchmarkRouters)
		data, err := state.encode()
		assert.Must(b, err)
		groups := trafficGroups(state, budgets)
		payloads := make([][]byte, len(groups))
		for n, g := range groups {
			payloads[n], _ = Encode(g)
		}
		b.Run(fmt.Sprintf("decoded/budgets=%d", budgets), func(b *testing.B) {
			benchmarkFold(b, data, func(s *State, n int) { s.ApplyGroup(s.Next(), groups[n]) })
		})
		b.Run(fmt.Sprintf("encoded/budgets=%d", budgets), func(b *testing.B) {
			benchmarkFold(b, data, func(s *State, n int) { s.Apply(platform.Entry{Offset: s.Next(), Payload: payloads[n]}) })
		})
	}
}

// benchmarkFold measures fold, called once for each group on a state that is loaded from a snapshot.
func benchmarkFold(b *testing.B, data []byte, fold func(s *State, n int)) {
	b.Helper()
	b.ReportAllocs()
	records := uint64(0)
	for range b.N {
		b.StopTimer()
		s, err := loadState(data)
		assert.Must(b, err)
		runtime.GC()
		b.StartTimer()
		for n := range benchmarkGroups {
			fold(s, n)
		}
		records += s.Counters().Records
	}
	b.ReportMetric(float64(records)/b.Elapsed().Seconds(), "records/s")
}

// heapBytes returns the number of live heap bytes after garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkMemory measures the heap bytes per budget, ended incarnation, open request and remembered request.
func BenchmarkMemory(b *testing.B) {
	const requests = 200_000
	apply := func(s *State, r Record) { s.apply(s.members[router(0)], r, s.findBudget(r)) }
	open := func(s *State, n int) {
		apply(s, &Open{Request: numberedRequest(n), Attempt: uint64(n), Budget: budgetName(n % 1000), Amount: 1})
	}
	for _, c := range []struct {
		name    string
		count   int
		holders int
		apply   func(s *State, n int)
	}{
		{name: "budget", count: benchmarkBudgets},
		{name: "budget+holders", count: benchmarkBudgets, holders: benchmarkRouters},
		{name: "ended", count: benchmarkEnded, apply: func(s *State, n int) {
			writer := Incarnation{Instance: fmt.Sprintf("router-luzon-a-%06d", n), Number: uint64(1_796_300_000_000_000_000 + n)}
			s.ApplyGroup(s.Next(), Group{Writer: writer, First: 1, Records: []Record{&Join{}, &Leave{}}})
		}},
		{name: "open", count: requests, apply: open},
		{name: "remembered", count: requests, apply: func(s *State, n int) {
			open(s, n)
			apply(s, &Bill{Request: numberedRequest(n), Attempt: uint64(n), Usage: 1})
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				start := newPartitionState(1000, benchmarkRouters)
				before, s := heapBytes(), start
				if c.apply == nil {
					s = newPartitionState(c.count, c.holders)
				}
				for n := 0; c.apply != nil && n < c.count; n++ {
					c.apply(s, n)
				}
				s.events = nil
				b.ReportMetric(float64(heapBytes()-before)/float64(c.count), "bytes/"+c.name)
				runtime.KeepAlive([]*State{start, s})
			}
		})
	}
}

// BenchmarkSnapshot measures the encoding and the loading of a snapshot without and with shares.
func BenchmarkSnapshot(b *testing.B) {
	for _, holders := range []int{0, benchmarkRouters} {
		s := newPartitionState(benchmarkBudgets, holders)
		chunks, err := s.EncodeSnapshot(router(0), 0)
		assert.Must(b, err)
		size := 0
		for _, c := range chunks {
			size += len(c)
		}
		b.Run(fmt.Sprintf("encode/holders=%d", holders), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.EncodeSnapshot(router(0), 0); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes/snapshot")
		})
		b.Run(fmt.Sprintf("load/holders=%d", holders), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if state, err := addPayloads(&Assembler{}, chunks...); state == nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRead measures the lookup of a budget, of a holder, and of all budgets of an ending incarnation.
func BenchmarkRead(b *testing.B) {
	s := newPartitionState(benchmarkBudgets, benchmarkRouters)
	names := make([]string, 1024)
	for n := range names {
		names[n] = budgetName(n * 499)
	}
	for name, read := range map[string]func(n int){
		"budget": func(n int) { s.Budget(names[n%len(names)]) },
		"holder": func(n int) { s.Holder(names[n%len(names)], router(0)) },
		"end":    func(int) { s.budgetsHeldBy(s.members[router(0)]) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for n := range b.N {
				read(n)
			}
		})
	}
}
