package capacity

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// Sizes of what is folded beside the records that are measured.
const (
	groupRecords = 64
	usualBudgets = 1000
	shareTokens  = 1 << 40
)

// writer appends the records of one incarnation to a state.
type writer struct {
	state       *ledger.State
	incarnation ledger.Incarnation
	sequence    uint64
	attempts    uint64
	budgets     int
}

func budgetName(n int) string { return fmt.Sprintf("atelier-budget-%06d", n) }

func request(n uint64) (id ledger.RequestIdentifier) {
	binary.BigEndian.PutUint64(id[:], n*0x9E3779B97F4A7C15)
	binary.BigEndian.PutUint64(id[8:], n)
	return id
}

// join returns a live incarnation of a state.
func join(s *ledger.State, n int) *writer {
	w := &writer{state: s, incarnation: ledger.Incarnation{Instance: fmt.Sprintf("router-%04d", n), Number: uint64(1_796_300_000_000_000_000 + n)}}
	w.write(&ledger.Join{
		AvailabilityZone: fmt.Sprintf("luzon-a%d", n%14), Region: fmt.Sprintf("luzon-%d", n%4),
		Version: "v1.0.0", PeerAddress: fmt.Sprintf("127.0.0.1:%d", 10_000+n),
	})
	return w
}

// cut returns groups of records.
func (w *writer) cut(records []ledger.Record) []ledger.Group {
	var groups []ledger.Group
	for len(records) > 0 {
		n := min(len(records), groupRecords)
		groups = append(groups, ledger.Group{Writer: w.incarnation, First: w.sequence + 1, Records: records[:n]})
		w.sequence += uint64(n)
		records = records[n:]
	}
	return groups
}

func (w *writer) write(records ...ledger.Record) {
	for _, g := range w.cut(records) {
		w.state.ApplyGroup(w.state.Next(), g)
	}
}

// records returns count records of a kind; those that close opens close the oldest ones from first on.
func (w *writer) records(kind string, count int, first uint64) []ledger.Record {
	records := make([]ledger.Record, count)
	for i := range records {
		attempt := first + uint64(i)
		budget := budgetName(int(attempt * 7919 % uint64(w.budgets)))
		records[i] = map[string]func() ledger.Record{
			"Prepaid": func() ledger.Record {
				return &ledger.Prepaid{Budget: budget, Ticket: attempt, Total: shareTokens << 10}
			},
			"Draw":   func() ledger.Record { return &ledger.Draw{Budget: budget, Wanted: 5000, Minimum: 1} },
			"Return": func() ledger.Record { return &ledger.Return{Budget: budget, Amount: 5000} },
			"Open": func() ledger.Record {
				return &ledger.Open{Request: request(attempt), Fingerprint: ledger.Fingerprint(attempt * 0x9E3779B97F4A7C15), Attempt: attempt, Budget: budget, Amount: 700, Idempotent: true}
			},
			"Open (non-idempotent)": func() ledger.Record {
				return &ledger.Open{Request: request(attempt), Attempt: attempt, Budget: budget, Amount: 700}
			},
			"Bill":      func() ledger.Record { return &ledger.Bill{Request: request(attempt), Attempt: attempt, Usage: 500} },
			"Release":   func() ledger.Record { return &ledger.Release{Request: request(attempt), Attempt: attempt} },
			"Heartbeat": func() ledger.Record { return &ledger.Heartbeat{ConfigurationOffset: 610, ConfigurationNumber: 610} },
			"Fence":     func() ledger.Record { return &ledger.Fence{Target: w.incarnation, LastSeen: platform.Offset(attempt)} },
			"Join": func() ledger.Record {
				return &ledger.Join{AvailabilityZone: "luzon-a1", Region: "luzon-a", Version: "v1.0.0", PeerAddress: "127.0.0.1:10001"}
			},
		}[kind]()
	}
	return records
}

// partition returns a state with budgets of which each of some routers holds a share.
func partition(budgets, holders int) (*ledger.State, []*writer) {
	s := &ledger.State{}
	writers := []*writer{join(s, 0)}
	for n := 1; n < holders; n++ {
		writers = append(writers, join(s, n))
	}
	for n := range budgets {
		writers[0].write(&ledger.Prepaid{Budget: budgetName(n), Ticket: 1, Total: shareTokens << 10})
		for _, w := range writers[:holders] {
			w.write(&ledger.Draw{Budget: budgetName(n), Wanted: shareTokens >> 4, Minimum: 1})
		}
	}
	for _, w := range writers {
		w.budgets = budgets
	}
	return s, writers
}

// heapSlopes measures what the ledger's state keeps.
func heapSlopes(t *testing.T, r *results) {
	t.Helper()
	r.heap("budget", "budget", []int{132_500, 265_000, 397_500, 530_000}, func(n int) any { s, _ := partition(n, 0); return s })
	for _, row := range [][]string{
		{"open request", "Open"}, {"idempotent identifier", "Open", "Bill"}, {"non-idempotent identifier", "Open (non-idempotent)", "Bill"},
	} {
		name, kinds := row[0], row[1:]
		r.heap(name, name, []int{50_000, 100_000, 200_000, 400_000}, func(n int) any { return remembering(n, kinds...) })
	}
	r.heap("share", "share", []int{2, 4, 8, 16}, func(n int) any { s, _ := partition(20_000, n); return s }, 20_000)
	r.heap("router", "incarnation", []int{100, 370, 1000, 2000}, func(n int) any {
		s := &ledger.State{}
		for i := range n {
			join(s, i)
		}
		return s
	})
	r.heap("ended instance", "instance name that never returns", []int{5000, 10_000, 20_000, 40_000}, func(n int) any {
		s := &ledger.State{}
		for i := range n {
			join(s, i).write(&ledger.Leave{})
		}
		return s
	})
}

// recordSlopes measures the bytes of each record and the time to decode and fold it at the letter's number of budgets.
func recordSlopes(t *testing.T, r *results) {
	t.Helper()
	s, writers := partition(letter.Budgets, 1)
	w := writers[0]
	for _, kind := range []string{"Prepaid", "Draw", "Return", "Open", "Bill", "Release", "Heartbeat", "Fence", "Join"} {
		r.add("log bytes: "+kind, "B/record", []int{1, 16, 64, 256}, 1, func(n int) float64 {
			payload, err := ledger.Encode(ledger.Group{Writer: w.incarnation, First: 1 << 20, Records: w.records(kind, n, 1<<20)})
			r.must(err)
			return float64(len(payload))
		})
	}
	apply := func(kind string, n int, first uint64) float64 {
		var payloads [][]byte
		for _, g := range w.cut(w.records(kind, n, first)) {
			payload, err := ledger.Encode(g)
			r.must(err)
			payloads = append(payloads, payload)
		}
		return processorTime(func() {
			for _, payload := range payloads {
				s.Apply(platform.Entry{Offset: s.Next(), Payload: payload})
			}
		}).Seconds() * 1e6
	}
	sizes := []int{32_000, 64_000, 128_000, 256_000}
	for _, kind := range []string{"Draw", "Return", "Heartbeat", "Prepaid"} {
		r.add("fold: "+kind, "µs/record", sizes, repeats, func(n int) float64 { return apply(kind, n, w.sequence+2) })
	}
	for _, closing := range []string{"Release", "Bill"} {
		for _, n := range sizes {
			var opening, closed []float64
			for range repeats {
				first := w.attempts + 1
				w.attempts += uint64(n)
				opening = append(opening, apply("Open", n, first))
				closed = append(closed, apply(closing, n, first))
			}
			if closing == "Bill" {
				r.point("fold: Open", "µs/record", point{float64(n), median(opening)})
			}
			r.point("fold: "+closing, "µs/record", point{float64(n), median(closed)})
		}
	}
}

// snapshotSlopes measures snapshots of a partition in which each budget has one share.
func snapshotSlopes(t *testing.T, r *results) {
	t.Helper()
	for _, n := range []int{132_500, 265_000, 530_000} {
		s, writers := partition(n, 1)
		var chunks [][]byte
		encode := func() (err error) { chunks, err = s.EncodeSnapshot(writers[0].incarnation, 0); return err }
		r.timed("ledger snapshot: encode", n, encode)
		size := 0
		for _, c := range chunks {
			size += len(c)
		}
		r.point("ledger snapshot: bytes", "B/budget", point{float64(n), float64(size)})
		r.timed("ledger snapshot: load", n, func() error {
			a := &ledger.Assembler{}
			for _, c := range chunks {
				if _, err := a.Add(c); err != nil {
					return err
				}
			}
			return nil
		})
	}
	r.add("ledger snapshot: bytes of identifiers", "B/identifier", []int{50_000, 100_000, 200_000}, 1, func(n int) float64 {
		s := remembering(n, "Open", "Bill")
		chunks, err := s.EncodeSnapshot(ledger.Incarnation{Instance: "router-0000"}, 0)
		r.must(err)
		return float64(len(slices.Concat(chunks...)))
	})
}

// remembering returns a state that has folded records of some kinds for each of n requests.
func remembering(n int, kinds ...string) *ledger.State {
	s, writers := partition(usualBudgets, 1)
	for first := 1; first <= n; first += groupRecords {
		for _, kind := range kinds {
			writers[0].write(writers[0].records(kind, groupRecords, uint64(first))...)
		}
	}
	return s
}

// readerSlopes measures the fold of a whole stream from the log, as dragonflyctl does it, and the look at a budget
// that is drawn on by many routers.
func readerSlopes(t *testing.T, r *results) {
	t.Helper()
	r.add("whole stream: read and fold", "µs/record", []int{120_000, 240_000, 480_000}, repeats, func(n int) float64 {
		log, stream := &memory.Log{}, platform.LedgerStream(0)
		_, writers := partition(usualBudgets, 1)
		reader, _ := partition(usualBudgets, 1)
		start := reader.Next()
		w := writers[0]
		for first := uint64(1); first <= uint64(n)/3; first += groupRecords {
			for _, kind := range []string{"Draw", "Open", "Bill"} {
				for _, g := range w.cut(w.records(kind, groupRecords, first)) {
					payload, err := ledger.Encode(g)
					r.must(err)
					_, err = log.Append(t.Context(), stream, payload)
					r.must(err)
				}
			}
		}
		return processorTime(func() {
			for from := platform.Offset(0); ; {
				entries, err := log.Read(t.Context(), stream, from, 1024)
				r.must(err)
				if len(entries) == 0 {
					return
				}
				for _, e := range entries {
					reader.Apply(platform.Entry{Offset: start + e.Offset, Payload: e.Payload})
					from = e.Offset + 1
				}
			}
		}).Seconds() * 1e6
	})
	r.add("look at a budget, by holders", "µs/holder", []int{6, 92, 185, 370}, repeats, func(n int) float64 {
		s, _ := partition(1, n)
		return processorTime(func() {
			for range 2000 {
				s.Budget(budgetName(0))
			}
		}).Seconds() * 1e6 / 2000
	})
}
