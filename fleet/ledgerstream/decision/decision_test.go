package decision

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

func assertEqual[T any](tb testing.TB, description string, want, got T) {
	tb.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		tb.Errorf("%s (-want +got):\n%s", description, diff)
	}
}

func start() time.Time { return time.Date(2026, time.December, 3, 0, 0, 0, 0, time.UTC) }

// TestSizeDraw checks draws for waiting requests and in advance, with plentiful, low and contended budgets.
func TestSizeDraw(t *testing.T) {
	for _, row := range []struct {
		Name string
		In   DrawInput
		Want DrawSize
	}{
		{"nothing asked", DrawInput{Available: 100}, DrawSize{}},
		{"waiting and plentiful", DrawInput{Waiting: []ledger.Tokens{30, 20}, Free: 10, Expected: 100, Available: 4000, Routers: 2}, DrawSize{Wanted: 140, Minimum: 10}},
		{"running low", DrawInput{Waiting: []ledger.Tokens{30}, Expected: 100, Available: 80, Routers: 2}, DrawSize{Wanted: 40, Minimum: 30}},
		{"contended", DrawInput{Waiting: []ledger.Tokens{30}, Expected: 100, Available: 4000, Contended: true}, DrawSize{Wanted: 30, Minimum: 30}},
		{"nothing available", DrawInput{Waiting: []ledger.Tokens{30}, Expected: 100}, DrawSize{Wanted: 30, Minimum: 30}},
		{"in advance", DrawInput{Free: 40, Expected: 100, Available: 4000, Routers: 2}, DrawSize{Wanted: 60, Minimum: 1}},
		{"enough held", DrawInput{Free: 50, Expected: 100, Available: 4000, Routers: 2}, DrawSize{}},
	} {
		t.Run(row.Name, func(t *testing.T) { assertEqual(t, "size", row.Want, SizeDraw(row.In)) })
	}
}

// TestSizeReturnAndReserve checks the thresholds of returns and of reserve draws, one token on either side.
func TestSizeReturnAndReserve(t *testing.T) {
	assertEqual(t, "recalled", 70, SizeReturn(ReturnInput{Free: 70, Expected: 100, Recalled: true}))
	assertEqual(t, "idle", 70, SizeReturn(ReturnInput{Free: 70, Expected: 100, Idle: true}))
	assertEqual(t, "in use", 0, SizeReturn(ReturnInput{Free: 400, Expected: 100}))
	assertEqual(t, "excess", 301, SizeReturn(ReturnInput{Free: 401, Expected: 100}))
	assertEqual(t, "plentiful reserve", 40, SizeReserve(ReserveInput{Policy: 50, Held: 10, Available: 400, Routers: 2}))
	assertEqual(t, "scarce reserve", 0, SizeReserve(ReserveInput{Policy: 50, Held: 10, Available: 399, Routers: 2}))
	assertEqual(t, "contended reserve", 0, SizeReserve(ReserveInput{Policy: 50, Available: 4000, Contended: true}))
}

// TestDemandDecays guards against an average demand that does not decrease after requests have stopped.
func TestDemandDecays(t *testing.T) {
	d := Demand{}
	d.Add(start(), 300)
	assertEqual(t, "rate", 100.0, d.Rate(start()))
	assertEqual(t, "a time constant later", 73, d.Within(start().Add(demandTimeConstant), 2*time.Second))
	assertEqual(t, "a minute later", 0, d.Within(start().Add(time.Minute), 2*time.Second))
}

// TestLease guards against a lease that an older record shortens or that is valid within its margin.
func TestLease(t *testing.T) {
	l := Lease{Term: 10 * time.Second, Margin: 2 * time.Second}
	assertEqual(t, "unknown", false, l.Valid(start()))
	l.Renew(start())
	l.Renew(start().Add(-time.Second))
	assertEqual(t, "left", time.Second, l.Left(start().Add(7*time.Second)))
	assertEqual(t, "lapsed", false, l.Valid(start().Add(8*time.Second)))
}

// TestFenceDue guards against a fence for an incarnation whose records this router could not have read because of
// gaps.
func TestFenceDue(t *testing.T) {
	terms := FenceTerms{Working: 12 * time.Second, Reserve: time.Minute, Jitter: time.Second}
	observe := func(c *ReadContinuity, from, to int) {
		for second := from; second <= to; second++ {
			c.RecordRead(start().Add(time.Duration(second) * time.Second))
		}
	}
	check := func(name string, suspended, want bool, prepare func(c *ReadContinuity, i *Inactivity)) {
		t.Run(name, func(t *testing.T) {
			c, i := ReadContinuity{GapLimit: 2 * time.Second}, Inactivity{}
			i.Update(&c, 7)
			prepare(&c, &i)
			_, due := FenceDue(&c, &i, suspended, terms)
			assertEqual(t, "due", want, due)
		})
	}
	check("silent", false, true, func(c *ReadContinuity, _ *Inactivity) { observe(c, 0, 13) })
	check("not long enough", false, false, func(c *ReadContinuity, _ *Inactivity) { observe(c, 0, 12) })
	check("seen in between", false, false, func(c *ReadContinuity, i *Inactivity) { observe(c, 0, 5); i.Update(c, 8); observe(c, 6, 17) })
	check("gap", false, false, func(c *ReadContinuity, _ *Inactivity) { observe(c, 0, 12); observe(c, 20, 30) })
	check("unreachable", false, false, func(c *ReadContinuity, _ *Inactivity) { observe(c, 0, 12); c.Interrupt(); observe(c, 13, 20) })
	check("reserve term", true, false, func(c *ReadContinuity, _ *Inactivity) { observe(c, 0, 60) })
	check("reserve over a gap", true, true, func(c *ReadContinuity, _ *Inactivity) { observe(c, 0, 40); observe(c, 50, 71) })
}

// TestPace checks the bounds of the backoff, of the append rate and of the draw deadline.
func TestPace(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := Backoff{First: 50 * time.Millisecond, Limit: time.Second}
	for failures, highest := range []time.Duration{0, 50, 100, 200, 400, 800, 1000, 1000} {
		if failures == 0 {
			continue
		}
		highest *= time.Millisecond
		delay := b.Delay(failures, random)
		assertEqual(t, "delay within its bounds", true, delay >= highest/2 && delay <= highest)
	}
	assertEqual(t, "rate", 40.0, AppendRate(240, 6))
	assertEqual(t, "fast log", time.Second, DrawDeadline(time.Second, 20*time.Millisecond, 5*time.Second))
	assertEqual(t, "slow log", 3*time.Second, DrawDeadline(time.Second, 500*time.Millisecond, 5*time.Second))
	assertEqual(t, "slower log", 5*time.Second, DrawDeadline(time.Second, 2*time.Second, 5*time.Second))
}

// TestSnapshotWait checks that the mean interval grows with the number of routers and the jitter stays within its
// bounds.
func TestSnapshotWait(t *testing.T) {
	for _, row := range []struct {
		Routers  int
		Fraction float64
		Want     time.Duration
	}{
		{0, 0, 30 * time.Second}, {1, 0.5, time.Minute}, {6, 0, 3 * time.Minute}, {6, 0.75, 7*time.Minute + 30*time.Second},
	} {
		assertEqual(t, "wait", row.Want, SnapshotWait(time.Minute, row.Routers, row.Fraction))
	}
}
