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

const (
	// recordsPerGroup is the maximum number of records in a group.
	recordsPerGroup = 64
	// backgroundBudgets is the number of budgets in a ledger state whose size is not the subject of the measurement.
	backgroundBudgets = 1000
	// ampleTokens is an amount of prepaid tokens that the measured records never use up. Totals and shares are derived from it.
	ampleTokens = 1 << 40
)

// recordWriter applies the records of one incarnation to a ledger state.
type recordWriter struct {
	state       *ledger.State
	incarnation ledger.Incarnation
	sequence    uint64
	attempts    uint64
	budgets     int
}

func budgetName(n int) string { return fmt.Sprintf("atelier-budget-%06d", n) }

func requestID(n uint64) (id ledger.RequestIdentifier) {
	binary.BigEndian.PutUint64(id[:], n*0x9E3779B97F4A7C15)
	binary.BigEndian.PutUint64(id[8:], n)
	return id
}

// joinRouter adds a live incarnation to a state and returns its writer.
func joinRouter(s *ledger.State, n int) *recordWriter {
	w := &recordWriter{state: s, incarnation: ledger.Incarnation{Instance: fmt.Sprintf("router-%04d", n), Number: uint64(1_796_300_000_000_000_000 + n)}}
	w.write(&ledger.Join{
		AvailabilityZone: fmt.Sprintf("luzon-a%d", n%14), Region: fmt.Sprintf("luzon-%d", n%4),
		Version: "v1.0.0", PeerAddress: fmt.Sprintf("127.0.0.1:%d", 10_000+n),
	})
	return w
}

// splitIntoGroups splits records into groups of at most recordsPerGroup.
func (w *recordWriter) splitIntoGroups(records []ledger.Record) []ledger.Group {
	var groups []ledger.Group
	for len(records) > 0 {
		n := min(len(records), recordsPerGroup)
		groups = append(groups, ledger.Group{Writer: w.incarnation, First: w.sequence + 1, Records: records[:n]})
		w.sequence += uint64(n)
		records = records[n:]
	}
	return groups
}

func (w *recordWriter) write(records ...ledger.Record) {
	for _, g := range w.splitIntoGroups(records) {
		w.state.ApplyGroup(w.state.Next(), g)
	}
}

// records returns count records of a kind. Attempt numbers count up from first, so that closing records close the opens with
// the same numbers.
func (w *recordWriter) records(kind string, count int, first uint64) []ledger.Record {
	records := make([]ledger.Record, count)
	for i := range records {
		attempt := first + uint64(i)
		budget := budgetName(int(attempt * 7919 % uint64(w.budgets)))
		records[i] = map[string]func() ledger.Record{
			"Prepaid": func() ledger.Record {
				return &ledger.Prepaid{Budget: budget, Ticket: attempt, Total: ampleTokens << 10}
			},
			"Draw":   func() ledger.Record { return &ledger.Draw{Budget: budget, Wanted: 5000, Minimum: 1} },
			"Return": func() ledger.Record { return &ledger.Return{Budget: budget, Amount: 5000} },
			"Open": func() ledger.Record {
				return &ledger.Open{Request: requestID(attempt), Fingerprint: ledger.Fingerprint(attempt * 0x9E3779B97F4A7C15), Attempt: attempt, Budget: budget, Amount: 700, Idempotent: true}
			},
			"Open (non-idempotent)": func() ledger.Record {
				return &ledger.Open{Request: requestID(attempt), Attempt: attempt, Budget: budget, Amount: 700}
			},
			"Bill":      func() ledger.Record { return &ledger.Bill{Request: requestID(attempt), Attempt: attempt, Usage: 500} },
			"Release":   func() ledger.Record { return &ledger.Release{Request: requestID(attempt), Attempt: attempt} },
			"Heartbeat": func() ledger.Record { return &ledger.Heartbeat{ConfigurationOffset: 610, ConfigurationNumber: 610} },
			"Fence":     func() ledger.Record { return &ledger.Fence{Target: w.incarnation, LastSeen: platform.Offset(attempt)} },
			"Join": func() ledger.Record {
				return &ledger.Join{AvailabilityZone: "luzon-a1", Region: "luzon-a", Version: "v1.0.0", PeerAddress: "127.0.0.1:10001"}
			},
		}[kind]()
	}
	return records
}

// newPartition returns a ledger state in which each of the holders has a share of every budget, and their writers.
func newPartition(budgets, holders int) (*ledger.State, []*recordWriter) {
	s := &ledger.State{}
	writers := []*recordWriter{joinRouter(s, 0)}
	for n := 1; n < holders; n++ {
		writers = append(writers, joinRouter(s, n))
	}
	for n := range budgets {
		writers[0].write(&ledger.Prepaid{Budget: budgetName(n), Ticket: 1, Total: ampleTokens << 10})
		for _, w := range writers[:holders] {
			w.write(&ledger.Draw{Budget: budgetName(n), Wanted: ampleTokens >> 4, Minimum: 1})
		}
	}
	for _, w := range writers {
		w.budgets = budgets
	}
	return s, writers
}

// heapSlopes measures the heap use of the ledger's state.
func heapSlopes(t *testing.T, r *results) {
	t.Helper()
	r.measureHeap("budget", "budget", []int{132_500, 265_000, 397_500, 530_000}, func(n int) any { s, _ := newPartition(n, 0); return s })
	for _, row := range [][]string{
		{"open request", "Open"}, {"idempotent identifier", "Open", "Bill"}, {"non-idempotent identifier", "Open (non-idempotent)", "Bill"},
	} {
		name, kinds := row[0], row[1:]
		r.measureHeap(name, name, []int{50_000, 100_000, 200_000, 400_000}, func(n int) any { return stateWithRequests(n, kinds...) })
	}
	r.measureHeap("share", "share", []int{2, 4, 8, 16}, func(n int) any { s, _ := newPartition(20_000, n); return s }, 20_000)
	r.measureHeap("router", "incarnation", []int{100, 370, 1000, 2000}, func(n int) any {
		s := &ledger.State{}
		for i := range n {
			joinRouter(s, i)
		}
		return s
	})
	r.measureHeap("ended instance", "instance name that is never reused", []int{5000, 10_000, 20_000, 40_000}, func(n int) any {
		s := &ledger.State{}
		for i := range n {
			joinRouter(s, i).write(&ledger.Leave{})
		}
		return s
	})
}

// recordSlopes measures the encoded size of each kind of record and the CPU time to decode and fold it in a state with the
// number of budgets of requiredSize.
func recordSlopes(t *testing.T, r *results) {
	t.Helper()
	s, writers := newPartition(requiredSize.Budgets, 1)
	w := writers[0]
	for _, kind := range []string{"Prepaid", "Draw", "Return", "Open", "Bill", "Release", "Heartbeat", "Fence", "Join"} {
		r.measure("log bytes: "+kind, "B/record", []int{1, 16, 64, 256}, 1, func(n int) float64 {
			payload, err := ledger.Encode(ledger.Group{Writer: w.incarnation, First: 1 << 20, Records: w.records(kind, n, 1<<20)})
			r.requireNoError(err)
			return float64(len(payload))
		})
	}
	apply := func(kind string, n int, first uint64) float64 {
		var payloads [][]byte
		for _, g := range w.splitIntoGroups(w.records(kind, n, first)) {
			payload, err := ledger.Encode(g)
			r.requireNoError(err)
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
		r.measure("fold: "+kind, "µs/record", sizes, measurementRuns, func(n int) float64 { return apply(kind, n, w.sequence+2) })
	}
	for _, closing := range []string{"Release", "Bill"} {
		for _, n := range sizes {
			var opening, closed []float64
			for range measurementRuns {
				first := w.attempts + 1
				w.attempts += uint64(n)
				opening = append(opening, apply("Open", n, first))
				closed = append(closed, apply(closing, n, first))
			}
			if closing == "Bill" {
				r.addPoint("fold: Open", "µs/record", point{float64(n), median(opening)})
			}
			r.addPoint("fold: "+closing, "µs/record", point{float64(n), median(closed)})
		}
	}
}

// snapshotSlopes measures the size, the encoding and the loading of ledger snapshots with one share per budget.
func snapshotSlopes(t *testing.T, r *results) {
	t.Helper()
	for _, n := range []int{132_500, 265_000, 530_000} {
		s, writers := newPartition(n, 1)
		var chunks [][]byte
		encode := func() (err error) { chunks, err = s.EncodeSnapshot(writers[0].incarnation, 0); return err }
		r.measureCall("ledger snapshot: encode", n, encode)
		size := 0
		for _, c := range chunks {
			size += len(c)
		}
		r.addPoint("ledger snapshot: bytes", "B/budget", point{float64(n), float64(size)})
		r.measureCall("ledger snapshot: load", n, func() error {
			a := &ledger.Assembler{}
			for _, c := range chunks {
				if _, err := a.Add(c); err != nil {
					return err
				}
			}
			return nil
		})
	}
	r.measure("ledger snapshot: bytes of identifiers", "B/identifier", []int{50_000, 100_000, 200_000}, 1, func(n int) float64 {
		s := stateWithRequests(n, "Open", "Bill")
		chunks, err := s.EncodeSnapshot(ledger.Incarnation{Instance: "router-0000"}, 0)
		r.requireNoError(err)
		return float64(len(slices.Concat(chunks...)))
	})
}

// stateWithRequests returns a state that has folded one record of each kind for each of n requests.
func stateWithRequests(n int, kinds ...string) *ledger.State {
	s, writers := newPartition(backgroundBudgets, 1)
	for first := 1; first <= n; first += recordsPerGroup {
		for _, kind := range kinds {
			writers[0].write(writers[0].records(kind, recordsPerGroup, uint64(first))...)
		}
	}
	return s
}

// readerSlopes measures reading and folding a whole stream from the log, as dragonflyctl does, and reading a budget in which
// many routers hold shares.
func readerSlopes(t *testing.T, r *results) {
	t.Helper()
	r.measure("whole stream: read and fold", "µs/record", []int{120_000, 240_000, 480_000}, measurementRuns, func(n int) float64 {
		log, stream := &memory.Log{}, platform.LedgerStream(0)
		_, writers := newPartition(backgroundBudgets, 1)
		reader, _ := newPartition(backgroundBudgets, 1)
		start := reader.Next()
		w := writers[0]
		for first := uint64(1); first <= uint64(n)/3; first += recordsPerGroup {
			for _, kind := range []string{"Draw", "Open", "Bill"} {
				for _, g := range w.splitIntoGroups(w.records(kind, recordsPerGroup, first)) {
					payload, err := ledger.Encode(g)
					r.requireNoError(err)
					_, err = log.Append(t.Context(), stream, payload)
					r.requireNoError(err)
				}
			}
		}
		return processorTime(func() {
			for from := platform.Offset(0); ; {
				entries, err := log.Read(t.Context(), stream, from, 1024)
				r.requireNoError(err)
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
	r.measure("look up a budget, by holders", "µs/holder", []int{6, 92, 185, 370}, measurementRuns, func(n int) float64 {
		s, _ := newPartition(1, n)
		return processorTime(func() {
			for range 2000 {
				s.Budget(budgetName(0))
			}
		}).Seconds() * 1e6 / 2000
	})
}
