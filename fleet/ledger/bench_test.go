package ledger

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Sizes of the benchmarks.
const (
	benchmarkRouters      = 6
	benchmarkBudgets      = 530_000
	benchmarkGroups       = 2000
	benchmarkGroupRecords = 64
)

func budgetName(n int) string { return fmt.Sprintf("atelier-budget-%06d", n) }

func requestNumber(n int) RequestIdentifier {
	var id RequestIdentifier
	binary.BigEndian.PutUint64(id[:], uint64(n)*0x9E3779B97F4A7C15)
	return id
}

// newPartition returns a state with live routers and budgets of which each router holds a share.
func newPartition(budgets, holders int) *State {
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

// trafficGroups returns groups that draw, open and bill: three records a request and four a second router's.
func trafficGroups(s *State, budgets int) []Group {
	groups := make([]Group, 0, benchmarkGroups)
	next := make([]uint64, benchmarkRouters)
	for n := range next {
		next[n] = s.AppliedSequence(router(n)) + 1
	}
	request := 0
	for n := range benchmarkGroups {
		writer := n % benchmarkRouters
		g := Group{Writer: router(writer), First: next[writer]}
		for len(g.Records) < benchmarkGroupRecords {
			request++
			name, id := budgetName(request*7919%budgets), requestNumber(request)
			if request%8 == 0 {
				g.Records = append(g.Records, &Draw{Budget: name, Wanted: 1000, Minimum: 1})
			}
			g.Records = append(g.Records,
				&Open{Request: id, Attempt: uint64(request), Budget: name, Amount: 700, Idempotent: request%16 != 0},
				&Bill{Request: id, Attempt: uint64(request), Usage: 500})
		}
		next[writer] += uint64(len(g.Records))
		groups = append(groups, g)
	}
	return groups
}

func BenchmarkFold(b *testing.B) {
	for _, budgets := range []int{1000, benchmarkBudgets} {
		state := newPartition(budgets, benchmarkRouters)
		groups := trafficGroups(state, budgets)
		payloads, records := make([][]byte, len(groups)), 0
		for n, g := range groups {
			payloads[n], _ = Encode(g)
			records += len(g.Records)
		}
		data, err := state.encode()
		if err != nil {
			b.Fatal(err)
		}
		run := func(b *testing.B, fold func(s *State, n int)) {
			b.Helper()
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				s, err := loadState(data)
				if err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				b.StartTimer()
				for n := range groups {
					fold(s, n)
				}
			}
			b.ReportMetric(float64(records*b.N)/b.Elapsed().Seconds(), "records/s")
		}
		b.Run(fmt.Sprintf("decoded/budgets=%d", budgets), func(b *testing.B) {
			run(b, func(s *State, n int) { s.ApplyGroup(s.Next(), groups[n]) })
		})
		b.Run(fmt.Sprintf("encoded/budgets=%d", budgets), func(b *testing.B) {
			run(b, func(s *State, n int) { s.Apply(platform.Entry{Offset: s.Next(), Payload: payloads[n]}) })
		})
	}
}

// heapBytes returns the live bytes of the heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkMemory(b *testing.B) {
	const requests = 200_000
	for name, build := range map[string]func(s *State) (int, *State){
		"budget":         func(*State) (int, *State) { return benchmarkBudgets, newPartition(benchmarkBudgets, 0) },
		"budget+holders": func(*State) (int, *State) { return benchmarkBudgets, newPartition(benchmarkBudgets, benchmarkRouters) },
		"open": func(s *State) (int, *State) {
			for n := range requests {
				open := &Open{Request: requestNumber(n), Attempt: uint64(n), Budget: budgetName(n % 1000), Amount: 1, Idempotent: true}
				s.apply(s.members[router(n%benchmarkRouters)], open)
			}
			return requests, s
		},
		"remembered": func(s *State) (int, *State) {
			for n := range requests {
				s.apply(s.members[router(0)], &Open{Request: requestNumber(n), Attempt: uint64(n), Budget: budgetName(0), Amount: 1, Idempotent: true})
				s.apply(s.members[router(0)], &Bill{Request: requestNumber(n), Attempt: uint64(n), Usage: 1})
			}
			s.events = nil
			return requests, s
		},
	} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				start := newPartition(1000, benchmarkRouters)
				before := heapBytes()
				count, s := build(start)
				s.events = nil
				b.ReportMetric(float64(heapBytes()-before)/float64(count), "bytes/"+name)
				runtime.KeepAlive(s)
				runtime.KeepAlive(start)
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, holders := range []int{0, benchmarkRouters} {
		s := newPartition(benchmarkBudgets, holders)
		chunks, err := s.EncodeSnapshot(router(0), 0)
		if err != nil {
			b.Fatal(err)
		}
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
				if state, err := add(&Assembler{}, chunks...); state == nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkRead(b *testing.B) {
	s := newPartition(benchmarkBudgets, benchmarkRouters)
	names := make([]string, 1024)
	for n := range names {
		names[n] = budgetName(n * 499)
	}
	b.Run("budget", func(b *testing.B) {
		b.ReportAllocs()
		for n := range b.N {
			s.Budget(names[n%len(names)])
		}
	})
	b.Run("holder", func(b *testing.B) {
		b.ReportAllocs()
		for n := range b.N {
			s.Holder(names[n%len(names)], router(0))
		}
	})
}

// BenchmarkEnd looks for the shares of an incarnation that ends.
func BenchmarkEnd(b *testing.B) {
	s := newPartition(benchmarkBudgets, 1)
	for b.Loop() {
		s.budgetsOf(s.members[router(0)])
	}
}
