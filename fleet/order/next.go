package order

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Target is the state that the tickets want of an endpoint.
type Target struct {
	Endpoint string
	// Declared is false for an endpoint of which no ticket wants anything.
	Declared      bool
	ChecksFencing bool
	Wanted        []Artifact
	Role          string
	// Retired are models that no endpoint is to serve any more.
	Retired []string
}

// Reading is a state that an endpoint reported. The zero value stands for none.
type Reading struct {
	Read bool
	// From is the next offset of the orders stream when the reading began, Age the time since then.
	From platform.Offset
	Age  time.Duration
	// Accepted is the fencing number of the newest order that the endpoint took.
	Accepted platform.Offset
	// Busy endpoints carry out an order.
	Busy   bool
	Loaded []Artifact
	Role   string
}

// Progress is how far the sending of an order has come.
type Progress uint8

const (
	// NotSent orders were never sent by this process.
	NotSent Progress = iota
	// InFlight orders have no answer yet.
	InFlight
	// Answered orders were taken or refused.
	Answered
	// Lost orders have no answer and will get none.
	Lost
)

// Sent is the newest order that the process sent to the endpoint.
type Sent struct {
	FencingNumber platform.Offset
	Progress      Progress
	// LostFor is the time since the answer was given up.
	LostFor time.Duration
}

// Terms are the settings of the decisions.
type Terms struct {
	// Lapse is a lease and its margin: after this time an orderer whose claim has ended sends nothing more,
	// and an order whose answer was lost doesn't arrive any more.
	Lapse time.Duration
	// GiveUp is the time without a reading after which an order counts as lost.
	GiveUp time.Duration
	// LoadLimit is the number of endpoints that may load at the same time; zero for no limit.
	LoadLimit uint64
}

// Input is what a decision depends on.
type Input struct {
	Self   ledger.Incarnation
	State  *State
	Target Target
	// Preferred is set at the router that is to claim the endpoint.
	Preferred bool
	// LeaseLeft is the rest of the own lease.
	LeaseLeft time.Duration
	// EndSeenFor is the result of EndWatch.SeenFor.
	EndSeenFor time.Duration
	// Reading is the newest one since the last send; SilentFor is the time since a reading succeeded.
	Reading   Reading
	SilentFor time.Duration
	Sent      Sent
	// Alive are the names of the endpoints that are declared and healthy.
	Alive []string
	Terms Terms
}

// Next returns what the orderer does next for the endpoint.
func Next(in *Input) Action {
	v := in.State.Endpoint(in.Target.Endpoint)
	switch {
	case !v.Held:
		return in.claim(&v)
	case v.Holder != in.Self:
		return &Wait{OtherOrderer}
	case in.LeaseLeft <= 0:
		return &Wait{LeaseLapsed}
	case !in.Target.ChecksFencing && v.HadFormer && in.EndSeenFor < in.Terms.Lapse:
		return &Wait{FormerLease}
	case v.Current != nil && v.Current.Order.Claim == v.Claim && !v.Current.Lost:
		return in.finish(&v)
	case !in.Target.Declared:
		return in.withdraw(&v)
	default:
		return in.change(&v)
	}
}

// claim asks for the claim if there is something to order, or a state to report: other endpoints may drop a
// model only if the log shows where else it is served.
func (in *Input) claim(v *View) Action {
	open := v.Current != nil && !v.Current.Lost
	switch {
	case !in.Target.Declared && !open:
		return &Wait{Reached}
	case !in.Preferred:
		return &Wait{NotPreferred}
	case open:
		return &Append{&Claim{Endpoint: in.Target.Endpoint}}
	case !in.Reading.Read:
		return &Read{}
	case in.reached() && in.reported(v) && in.settled(v):
		return &Wait{Reached}
	default:
		return &Append{&Claim{Endpoint: in.Target.Endpoint}}
	}
}

// reached reports whether the endpoint reported the wanted state.
func (in *Input) reached() bool {
	return equal(in.Reading.Loaded, in.Target.Wanted) && in.Reading.Role == in.Target.Role
}

// reported reports whether the log shows what the endpoint reported.
func (in *Input) reported(v *View) bool {
	return v.Reported && equal(v.Loaded, in.Reading.Loaded) && v.Role == in.Reading.Role
}

// settled reports whether the newest order wanted all models that are loaded. If not, a copy of it would drop
// them, and only another order makes them sure to stay.
func (in *Input) settled(v *View) bool { return slices.Equal(v.Serves, models(v.Loaded)) }

// finish sends the unfinished order of the own claim and closes it once the endpoint's state was read back.
func (in *Input) finish(v *View) Action {
	progress := in.Sent.Progress
	if in.Sent.FencingNumber != v.Current.Offset {
		progress = NotSent
	}
	if progress == NotSent {
		return &Send{FencingNumber: v.Current.Offset, Order: v.Current.Order}
	}
	if progress == InFlight {
		return &Wait{AnswerDue}
	}
	if !in.Reading.Read || in.Reading.From <= v.Current.Offset {
		return in.read(v)
	}
	taken := in.Reading.Accepted == v.Current.Offset
	switch {
	case in.Reading.Busy:
		return &Wait{Busy}
	case taken || progress == Answered:
		return in.done(v)
	case !in.Target.ChecksFencing && in.Sent.LostFor < in.Terms.Lapse:
		return &Wait{AnswerLost}
	default:
		return &Send{FencingNumber: v.Current.Offset, Order: v.Current.Order}
	}
}

// read asks for a reading, or gives the unfinished order up if there was none for long.
func (in *Input) read(v *View) Action {
	if v.Current != nil && !v.Current.Lost && in.SilentFor >= in.Terms.GiveUp {
		return in.unreachable(v)
	}
	return &Read{}
}

func (in *Input) unreachable(v *View) Action {
	return &Append{&Done{
		Endpoint: in.Target.Endpoint, Claim: v.Claim, Order: v.Current.Offset, Outcome: Unreachable,
	}}
}

// done closes the unfinished order with the newest reading.
func (in *Input) done(v *View) Action {
	outcome := Failed
	if in.Reading.Accepted == v.Current.Offset &&
		equal(in.Reading.Loaded, v.Current.Order.Wanted) && in.Reading.Role == v.Current.Order.Role {
		outcome = Applied
	}
	return &Append{&Done{
		Endpoint: in.Target.Endpoint, Claim: v.Claim, Order: v.Current.Offset, Outcome: outcome,
		Loaded: sorted(in.Reading.Loaded), Role: in.Reading.Role,
	}}
}

// withdraw ends the claim of an endpoint of which nothing is wanted any more.
func (in *Input) withdraw(v *View) Action {
	if v.Current != nil && !v.Current.Lost {
		return in.unreachable(v)
	}
	return &Append{&Yield{Endpoint: in.Target.Endpoint, Claim: v.Claim}}
}

// change starts the next order if the endpoint's state differs from the wanted one.
func (in *Input) change(v *View) Action {
	if !in.Reading.Read || in.Reading.From <= v.Claim || in.readEarly(v) {
		return in.read(v)
	}
	if in.Reading.Busy {
		return &Wait{Busy}
	}
	if v.Current != nil {
		if in.Reading.Accepted == v.Current.Offset {
			return in.done(v)
		}
		return in.order(v)
	}
	if !in.reported(v) {
		return &Append{&Report{
			Endpoint: in.Target.Endpoint, Claim: v.Claim, Loaded: sorted(in.Reading.Loaded), Role: in.Reading.Role,
		}}
	}
	if !in.reached() || !in.settled(v) {
		return in.order(v)
	}
	if !in.Preferred {
		return &Append{&Yield{Endpoint: in.Target.Endpoint, Claim: v.Claim}}
	}
	return &Wait{Reached}
}

// readEarly reports whether an order of a former orderer may have come after the reading.
func (in *Input) readEarly(v *View) bool {
	return !in.Target.ChecksFencing && v.HadFormer && in.Reading.Age > in.EndSeenFor-in.Terms.Lapse
}

// order asks for the order that leads to the wanted state, unless it would leave a model unserved or exceed
// the pace of loads.
func (in *Input) order(v *View) Action {
	o := &Order{
		Endpoint: in.Target.Endpoint, Claim: v.Claim, Loaded: sorted(in.Reading.Loaded),
		Wanted: sorted(in.Target.Wanted), Role: in.Target.Role, Retired: in.Target.Retired,
		LoadLimit: in.Terms.LoadLimit,
	}
	for _, model := range dropped(v.Serves, o) {
		if !in.servedByOther(model) {
			return &Wait{LastEndpoint}
		}
	}
	limit := int(in.Terms.LoadLimit)
	if limit > 0 && !v.Loading && loads(o.Loaded, o.Wanted) && in.State.LoadsInProgress(o.Endpoint) >= limit {
		return &Wait{LoadsInProgress}
	}
	return &Append{o}
}

// servedByOther reports whether another endpoint, healthy as far as this router knows, serves a model.
func (in *Input) servedByOther(model string) bool {
	return slices.ContainsFunc(in.State.ServingElsewhere(model, in.Target.Endpoint), func(name string) bool {
		return slices.Contains(in.Alive, name)
	})
}
