package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// situation is a log with a claim of orderer a at endpoint x, and an input that is ready to act on it.
func situation(t *testing.T, records ...Record) *Input {
	t.Helper()
	h := &history{t: t}
	for n, r := range records {
		h.expect("", "a", uint64(n+1), r)
	}
	brush := []Artifact{{Model: "brush", Version: "1"}}
	return &Input{
		Self: incarnation("a"), State: &h.state, Preferred: true, LeaseLeft: time.Second, EndSeenFor: lapse,
		Target:  Target{Endpoint: "x", Declared: true, Wanted: brush},
		Reading: Reading{Read: true, From: h.state.Next(), Loaded: []Artifact{}},
		Terms:   Terms{Lapse: lapse, GiveUp: giveUp, LoadLimit: 1},
	}
}

// summary names an action with what tells it from others of its type.
func summary(action Action) string {
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

// Records of the situations; each record's offset is its place.
func claimed() []Record  { return []Record{&Claim{Endpoint: "x"}} }
func reported() []Record { return append(claimed(), &Report{Endpoint: "x"}) }
func ordered() []Record {
	return append(reported(), &Order{Endpoint: "x", Wanted: []Artifact{{Model: "brush", Version: "1"}}})
}
func retaken() []Record {
	return append(claimed(), &Yield{Endpoint: "x"}, &Claim{Endpoint: "x"}, &Report{Endpoint: "x", Claim: 2})
}

// failed is an order without models that left the endpoint with one.
func failed() []Record {
	brush := []Artifact{{Model: "brush", Version: "1"}}
	return append(reported(), &Order{Endpoint: "x"}, &Done{Endpoint: "x", Order: orderOffset, Outcome: Failed, Loaded: brush})
}

const orderOffset = platform.Offset(2)

func TestNext(t *testing.T) {
	sent := func(p Progress) func(*Input) {
		return func(in *Input) { in.Sent = Sent{FencingNumber: orderOffset, Progress: p} }
	}
	with := func(changes ...func(*Input)) func(*Input) {
		return func(in *Input) {
			for _, c := range changes {
				c(in)
			}
		}
	}
	checks := func(in *Input) { in.Target.ChecksFencing = true }
	unread := func(in *Input) { in.Reading = Reading{} }
	early := func(in *Input) { in.Reading.From = 0 }
	busy := func(in *Input) { in.Reading.Busy = true }
	taken := func(in *Input) { in.Reading.Accepted = orderOffset }
	silent := func(in *Input) { in.SilentFor = giveUp }
	other := func(in *Input) { in.Preferred = false }
	undeclared := func(in *Input) { in.Target.Declared = false }
	reached := func(in *Input) { in.Target.Wanted = nil }
	none := func(*Input) {}
	for _, c := range []struct {
		name    string
		records []Record
		change  func(*Input)
		want    string
	}{
		{"a change is claimed", nil, none, "*order.Claim"},
		{"a state is claimed to report it", nil, reached, "*order.Claim"},
		{"another router claims", nil, other, string(NotPreferred)},
		{"no ticket, no claim", nil, undeclared, string(Reached)},
		{"a state is read first", nil, unread, "*order.Read"},
		{"another orderer", claimed(), func(in *Input) { in.Self = incarnation("b") }, string(OtherOrderer)},
		{"lease lapsed", ordered(), func(in *Input) { in.LeaseLeft = 0 }, string(LeaseLapsed)},
		{"a state is reported", claimed(), none, "*order.Report"},
		{"a change is ordered", reported(), none, "*order.Order"},
		{"a busy endpoint is not ordered", reported(), busy, string(Busy)},
		{"a reading before the claim", reported(), early, "*order.Read"},
		{"a copy of a former order may come", failed(), func(in *Input) { in.Reading.Loaded = in.Target.Wanted }, "*order.Order"},
		{"nothing to do", reported(), reached, string(Reached)},
		{"a claim goes to the preferred router", reported(), with(reached, other), "*order.Yield"},
		{"no ticket, no order", reported(), undeclared, "*order.Yield"},
		{"no ticket, order given up", ordered(), with(undeclared, silent, sent(Lost), unread), "*order.Done 2"},
		{"an order is sent", ordered(), none, "*order.Send"},
		{"an order of another number was sent", ordered(), with(sent(InFlight), func(in *Input) { in.Sent.FencingNumber++ }), "*order.Send"},
		{"an answer is due", ordered(), sent(InFlight), string(AnswerDue)},
		{"an answer is read back", ordered(), with(sent(Answered), unread), "*order.Read"},
		{"a lost answer is read back", ordered(), with(sent(Lost), unread), "*order.Read"},
		{"a reading before the order", ordered(), with(sent(Answered), early), "*order.Read"},
		{"a silent endpoint is given up", ordered(), with(sent(Lost), unread, silent), "*order.Done 2"},
		{"an order is carried out", ordered(), with(sent(Answered), taken, busy), string(Busy)},
		{"an order was taken without its effect", ordered(), with(sent(Lost), taken), "*order.Done 1"},
		{"an order was applied", ordered(), with(sent(Lost), taken, func(in *Input) { in.Reading.Loaded = in.Target.Wanted }), "*order.Done 0"},
		{"an order was refused", ordered(), sent(Answered), "*order.Done 1"},
		{"a lost order may arrive", ordered(), sent(Lost), string(AnswerLost)},
		{"a lost order is repeated", ordered(), with(sent(Lost), func(in *Input) { in.Sent.LostFor = lapse }), "*order.Send"},
		{"a lost order is repeated at an endpoint that checks", ordered(), with(sent(Lost), checks), "*order.Send"},
		{"the former lease is in force", retaken(), func(in *Input) { in.EndSeenFor = lapse - 1 }, string(FormerLease)},
		{"the former lease counts for nothing", retaken(), with(checks, func(in *Input) { in.EndSeenFor = 0 }), "*order.Order"},
		{"the former lease has lapsed", retaken(), none, "*order.Order"},
		{"a reading before the lapse", retaken(), func(in *Input) { in.Reading.Age = 1 }, "*order.Read"},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := situation(t, c.records...)
			c.change(in)
			if diff := cmp.Diff(c.want, summary(Next(in))); diff != "" {
				t.Fatalf("the decision differs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestModelStaysAtAHealthyEndpoint(t *testing.T) {
	brush := []Artifact{{Model: "brush", Version: "1"}}
	in := situation(t, &Claim{Endpoint: "x"}, &Claim{Endpoint: "y"}, &Report{Endpoint: "x", Loaded: brush},
		&Report{Endpoint: "y", Claim: 1, Loaded: brush})
	in.Reading.Loaded = brush
	in.Target.Wanted = []Artifact{{Model: "palette", Version: "1"}}
	for _, c := range []struct {
		alive []string
		want  string
	}{{nil, string(LastEndpoint)}, {[]string{"x"}, string(LastEndpoint)}, {[]string{"y"}, "*order.Order"}} {
		in.Alive = c.alive
		if diff := cmp.Diff(c.want, summary(Next(in))); diff != "" {
			t.Fatalf("healthy %v: the decision differs (-want +got):\n%s", c.alive, diff)
		}
	}
}

func TestEndWatchCountsOnlyReadingWithoutGaps(t *testing.T) {
	start := time.Date(2026, time.December, 3, 0, 0, 0, 0, time.UTC)
	w := EndWatch{GapLimit: gapLimit}
	expect := func(after, want time.Duration, end platform.Offset) {
		t.Helper()
		if diff := cmp.Diff(want, w.SeenFor(start.Add(after), end)); diff != "" {
			t.Fatalf("after %v (-want +got):\n%s", after, diff)
		}
	}
	w.Read(start, 3)
	w.Read(start.Add(4*time.Second), 3)
	expect(5*time.Second, 5*time.Second, 3)
	expect(5*time.Second, 0, 4)
	expect(10*time.Second, 0, 3)
	w.Read(start.Add(10*time.Second), 3)
	expect(11*time.Second, time.Second, 3)
	w.Read(start.Add(12*time.Second), 9)
	expect(13*time.Second, time.Second, 9)
}

func TestPreferredIsOfTheRegion(t *testing.T) {
	routers := []Router{{"a", "luzon-a"}, {"b", "luzon-a"}, {"c", "visayas-a"}, {"d", "visayas-a"}}
	shares := map[string]int{}
	for n := range 100 {
		chosen := Preferred(fmt.Sprint("runner-", n), "luzon-a", routers)
		shares[chosen]++
		if diff := cmp.Diff(chosen, Preferred(fmt.Sprint("runner-", n), "luzon-a", []Router{routers[1], routers[0]})); diff != "" {
			t.Fatal(diff)
		}
	}
	if shares["a"]+shares["b"] != 100 || min(shares["a"], shares["b"]) < 25 {
		t.Fatal(shares)
	}
	if diff := cmp.Diff("c", Preferred("x", "luzon-a", routers[2:3])); diff != "" {
		t.Fatal(diff)
	}
}
