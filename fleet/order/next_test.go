package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// newInput folds records of orderer a and returns a decision input with a valid lease and a fresh reading of
// endpoint x.
func newInput(t *testing.T, records ...Record) *Input {
	t.Helper()
	log := &foldedLog{t: t}
	for n, r := range records {
		log.applyExpecting("", "a", uint64(n+1), r)
	}
	brush := []Artifact{{Model: "brush", Version: "1"}}
	return &Input{
		Self: incarnation("a"), State: &log.state, Preferred: true, LeaseRemaining: time.Second, EndObservedFor: leaseExpiry,
		Target:  Target{Endpoint: "x", Declared: true, Wanted: brush},
		Reading: Reading{Valid: true, FromOffset: log.state.Next(), Loaded: []Artifact{}},
		Limits:  Limits{LeaseExpiry: leaseExpiry, UnresponsiveTimeout: unresponsiveTimeout, LoadLimit: 1},
	}
}

// describeAction returns the action's type, or its record type, together with the wait reason or the order outcome.
func describeAction(action Action) string {
	switch a := action.(type) {
	case *Wait:
		return string(a.Reason)
	case *Append:
		if d, ok := a.Record.(*Done); ok {
			return fmt.Sprintf("%T %d", a.Record, d.Outcome)
		}
		return fmt.Sprintf("%T", a.Record)
	default:
		return fmt.Sprintf("%T", a)
	}
}

// Records for newInput; the offset of each record is its index in the list.
func claimedRecords() []Record  { return []Record{&Claim{Endpoint: "x"}} }
func reportedRecords() []Record { return append(claimedRecords(), &Report{Endpoint: "x"}) }
func orderedRecords() []Record {
	return append(reportedRecords(), &Order{Endpoint: "x", Wanted: []Artifact{{Model: "brush", Version: "1"}}})
}
func reclaimedRecords() []Record {
	return append(claimedRecords(), &Yield{Endpoint: "x"}, &Claim{Endpoint: "x"}, &Report{Endpoint: "x", Claim: 2})
}

// failedOrderRecords contains an order that wants no artifacts but was closed as Failed with brush still loaded.
func failedOrderRecords() []Record {
	brush := []Artifact{{Model: "brush", Version: "1"}}
	return append(reportedRecords(), &Order{Endpoint: "x"}, &Done{Endpoint: "x", Order: orderOffset, Outcome: Failed, Loaded: brush})
}

const orderOffset = platform.Offset(2)

func TestNext(t *testing.T) {
	withSend := func(p Progress) func(*Input) {
		return func(in *Input) { in.LatestSend = SendStatus{FencingNumber: orderOffset, Progress: p} }
	}
	combine := func(changes ...func(*Input)) func(*Input) {
		return func(in *Input) {
			for _, c := range changes {
				c(in)
			}
		}
	}
	checksFencing := func(in *Input) { in.Target.ChecksFencing = true }
	noReading := func(in *Input) { in.Reading = Reading{} }
	earlyReading := func(in *Input) { in.Reading.FromOffset = 0 }
	busy := func(in *Input) { in.Reading.Busy = true }
	accepted := func(in *Input) { in.Reading.Accepted = orderOffset }
	unresponsive := func(in *Input) { in.UnresponsiveFor = unresponsiveTimeout }
	notPreferred := func(in *Input) { in.Preferred = false }
	undeclared := func(in *Input) { in.Target.Declared = false }
	noneWanted := func(in *Input) { in.Target.Wanted = nil }
	unchanged := func(*Input) {}
	for _, c := range []struct {
		name    string
		records []Record
		change  func(*Input)
		want    string
	}{
		{"claim to change the state", nil, unchanged, "*order.Claim"},
		{"claim to report the state", nil, noneWanted, "*order.Claim"},
		{"not the preferred router", nil, notPreferred, string(NotPreferred)},
		{"no claim without a ticket", nil, undeclared, string(Reached)},
		{"read before the claim", nil, noReading, "*order.Read"},
		{"held by another orderer", claimedRecords(), func(in *Input) { in.Self = incarnation("b") }, string(OtherOrderer)},
		{"own lease expired", orderedRecords(), func(in *Input) { in.LeaseRemaining = 0 }, string(LeaseLapsed)},
		{"report the state", claimedRecords(), unchanged, "*order.Report"},
		{"order the target state", reportedRecords(), unchanged, "*order.Order"},
		{"no order while busy", reportedRecords(), busy, string(Busy)},
		{"reading older than the claim", reportedRecords(), earlyReading, "*order.Read"},
		{"failed order may arrive again", failedOrderRecords(), func(in *Input) { in.Reading.Loaded = in.Target.Wanted }, "*order.Order"},
		{"target state reached", reportedRecords(), noneWanted, string(Reached)},
		{"yield to the preferred router", reportedRecords(), combine(noneWanted, notPreferred), "*order.Yield"},
		{"yield without a ticket", reportedRecords(), undeclared, "*order.Yield"},
		{"close the order without a ticket", orderedRecords(), combine(undeclared, unresponsive, withSend(Lost), noReading), "*order.Done 2"},
		{"send the order", orderedRecords(), unchanged, "*order.Send"},
		{"another order is in flight", orderedRecords(), combine(withSend(InFlight), func(in *Input) { in.LatestSend.FencingNumber++ }), "*order.Send"},
		{"answer pending", orderedRecords(), withSend(InFlight), string(AnswerDue)},
		{"read after the answer", orderedRecords(), combine(withSend(Answered), noReading), "*order.Read"},
		{"read after a lost answer", orderedRecords(), combine(withSend(Lost), noReading), "*order.Read"},
		{"reading older than the order", orderedRecords(), combine(withSend(Answered), earlyReading), "*order.Read"},
		{"unresponsive endpoint", orderedRecords(), combine(withSend(Lost), noReading, unresponsive), "*order.Done 2"},
		{"order is being executed", orderedRecords(), combine(withSend(Answered), accepted, busy), string(Busy)},
		{"accepted order without effect", orderedRecords(), combine(withSend(Lost), accepted), "*order.Done 1"},
		{"order applied", orderedRecords(), combine(withSend(Lost), accepted, func(in *Input) { in.Reading.Loaded = in.Target.Wanted }), "*order.Done 0"},
		{"order rejected", orderedRecords(), withSend(Answered), "*order.Done 1"},
		{"lost order may arrive", orderedRecords(), withSend(Lost), string(AnswerLost)},
		{"resend a lost order", orderedRecords(), combine(withSend(Lost), func(in *Input) { in.LatestSend.LostFor = leaseExpiry }), "*order.Send"},
		{"resend at once with fencing checks", orderedRecords(), combine(withSend(Lost), checksFencing), "*order.Send"},
		{"former lease still valid", reclaimedRecords(), func(in *Input) { in.EndObservedFor = leaseExpiry - 1 }, string(FormerLease)},
		{"former lease with fencing checks", reclaimedRecords(), combine(checksFencing, func(in *Input) { in.EndObservedFor = 0 }), "*order.Order"},
		{"former lease expired", reclaimedRecords(), unchanged, "*order.Order"},
		{"reading older than the lease expiry", reclaimedRecords(), func(in *Input) { in.Reading.Age = 1 }, "*order.Read"},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := newInput(t, c.records...)
			c.change(in)
			if diff := cmp.Diff(c.want, describeAction(Next(in))); diff != "" {
				t.Fatalf("unexpected action (-want +got):\n%s", diff)
			}
		})
	}
}

// TestModelStaysAtAHealthyEndpoint guards against dropping a model whose only other copy is at an endpoint that is not
// healthy.
func TestModelStaysAtAHealthyEndpoint(t *testing.T) {
	brush := []Artifact{{Model: "brush", Version: "1"}}
	in := newInput(t, &Claim{Endpoint: "x"}, &Claim{Endpoint: "y"}, &Report{Endpoint: "x", Loaded: brush},
		&Report{Endpoint: "y", Claim: 1, Loaded: brush})
	in.Reading.Loaded = brush
	in.Target.Wanted = []Artifact{{Model: "palette", Version: "1"}}
	for _, c := range []struct {
		healthy []string
		want    string
	}{{nil, string(LastEndpoint)}, {[]string{"x"}, string(LastEndpoint)}, {[]string{"y"}, "*order.Order"}} {
		in.Healthy = c.healthy
		if diff := cmp.Diff(c.want, describeAction(Next(in))); diff != "" {
			t.Fatalf("healthy endpoints %v: unexpected action (-want +got):\n%s", c.healthy, diff)
		}
	}
}

// TestClaimEndTimerCountsOnlyReadingWithoutGaps guards against an order that is sent before the former lease has
// expired: time in which the router did not read the log must not count.
func TestClaimEndTimerCountsOnlyReadingWithoutGaps(t *testing.T) {
	start := time.Date(2026, time.December, 3, 0, 0, 0, 0, time.UTC)
	timer := ClaimEndTimer{GapLimit: readGapLimit}
	expect := func(after, want time.Duration, end platform.Offset) {
		t.Helper()
		if diff := cmp.Diff(want, timer.ObservedFor(start.Add(after), end)); diff != "" {
			t.Fatalf("after %v (-want +got):\n%s", after, diff)
		}
	}
	timer.Read(start, 3)
	timer.Read(start.Add(4*time.Second), 3)
	expect(5*time.Second, 5*time.Second, 3)
	expect(5*time.Second, 0, 4)
	expect(10*time.Second, 0, 3)
	timer.Read(start.Add(10*time.Second), 3)
	expect(11*time.Second, time.Second, 3)
	timer.Read(start.Add(12*time.Second), 9)
	expect(13*time.Second, time.Second, 9)
}

func TestPreferredInstanceIsOfTheRegion(t *testing.T) {
	routers := []Router{{"a", "luzon-a"}, {"b", "luzon-a"}, {"c", "visayas-a"}, {"d", "visayas-a"}}
	shares := map[string]int{}
	for n := range 100 {
		preferred := PreferredInstance(fmt.Sprint("runner-", n), "luzon-a", routers)
		shares[preferred]++
		if diff := cmp.Diff(preferred, PreferredInstance(fmt.Sprint("runner-", n), "luzon-a", []Router{routers[1], routers[0]})); diff != "" {
			t.Fatal(diff)
		}
	}
	if shares["a"]+shares["b"] != 100 || min(shares["a"], shares["b"]) < 25 {
		t.Fatal(shares)
	}
	if diff := cmp.Diff("c", PreferredInstance("x", "luzon-a", routers[2:3])); diff != "" {
		t.Fatal(diff)
	}
}
