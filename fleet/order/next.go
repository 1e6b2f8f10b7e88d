package order

import (
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Target is the state that the change tickets set for an endpoint.
type Target struct {
	Endpoint string
	// Declared is false if no change ticket sets a state for the endpoint, or if the router is leaving and must yield
	// its claims.
	Declared      bool
	ChecksFencing bool
	Wanted        []Artifact
	Role          string
	// Retired lists models that no endpoint needs to serve any more, so that their last copy may be dropped.
	Retired []string
}

// Reading is a state that an endpoint reported. The zero value means that there is no reading.
type Reading struct {
	Valid bool
	// FromOffset is the next offset of the orders stream at the time when the reading began: the state may be older
	// than any record at or after this offset. Age is the time since the reading began.
	FromOffset platform.Offset
	Age        time.Duration
	// Accepted is the fencing number of the newest order that the endpoint accepted.
	Accepted platform.Offset
	// Busy reports whether the endpoint is executing an order.
	Busy   bool
	Loaded []Artifact
	Role   string
}

// Progress is the delivery state of an order.
type Progress uint8

const (
	// NotSent means that this process has not sent the order.
	NotSent Progress = iota
	// InFlight means that the order was sent and its answer is pending.
	InFlight
	// Answered means that the endpoint accepted or rejected the order.
	Answered
	// Lost means that no answer arrived and none is expected: the call failed or timed out.
	Lost
)

// SendStatus is the delivery state of the newest order that this process sent to the endpoint.
type SendStatus struct {
	FencingNumber platform.Offset
	Progress      Progress
	// LostFor is the time since the order's progress became Lost.
	LostFor time.Duration
}

// Limits are the time limits and the load limit that Next applies.
type Limits struct {
	// LeaseExpiry is the lease term plus its margin. Once this time has passed after the end of a claim, the former
	// holder sends no more orders; once it has passed after the answer to an order was lost, that order no longer
	// arrives.
	LeaseExpiry time.Duration
	// UnresponsiveTimeout is the time without a successful reading of an endpoint's state after which the endpoint's
	// unfinished order is closed as Unreachable.
	UnresponsiveTimeout time.Duration
	// LoadLimit is the maximum number of endpoints that may load at the same time; zero means no limit.
	LoadLimit uint64
}

// Input holds everything that a decision of Next depends on.
type Input struct {
	Self   ledger.Incarnation
	State  *State
	Target Target
	// Preferred reports whether this router should claim the endpoint.
	Preferred bool
	// LeaseRemaining is the remaining time of the orderer's own lease.
	LeaseRemaining time.Duration
	// EndObservedFor is the result of ClaimEndTimer.ObservedFor for the endpoint.
	EndObservedFor time.Duration
	// Reading is the newest reading since the last send. UnresponsiveFor is the time for which the endpoint has been
	// unresponsive: the time without a successful reading.
	Reading         Reading
	UnresponsiveFor time.Duration
	LatestSend      SendStatus
	// Healthy lists the names of the declared endpoints that are healthy.
	Healthy []string
	Limits  Limits
}

// Next returns the orderer's next action for the endpoint.
func Next(in *Input) Action {
	v := in.State.Endpoint(in.Target.Endpoint)
	switch {
	case !v.Held:
		return in.claimEndpoint(&v)
	case v.Holder != in.Self:
		return &Wait{OtherOrderer}
	case in.LeaseRemaining <= 0:
		return &Wait{LeaseLapsed}
	case !in.Target.ChecksFencing && v.HadFormer && in.EndObservedFor < in.Limits.LeaseExpiry:
		return &Wait{FormerLease}
	case v.Current != nil && v.Current.Order.Claim == v.Claim && !v.Current.Lost:
		return in.finishOrder(&v)
	case !in.Target.Declared:
		return in.yieldClaim(&v)
	default:
		return in.changeState(&v)
	}
}

// claimEndpoint decides for an endpoint without a claim. The endpoint is claimed if it needs an order, if its
// unfinished order must be closed or superseded, or if the log does not show its state: other endpoints may drop a
// model only if the log shows another endpoint that serves it.
func (in *Input) claimEndpoint(v *View) Action {
	hasUnfinishedOrder := v.Current != nil && !v.Current.Lost
	switch {
	case !in.Target.Declared && !hasUnfinishedOrder:
		return &Wait{Reached}
	case !in.Preferred:
		return &Wait{NotPreferred}
	case hasUnfinishedOrder:
		return &Append{&Claim{Endpoint: in.Target.Endpoint}}
	case !in.Reading.Valid:
		return &Read{}
	case in.hasTargetState() && in.isReportCurrent(v) && in.keepsAllLoaded(v):
		return &Wait{Reached}
	default:
		return &Append{&Claim{Endpoint: in.Target.Endpoint}}
	}
}

// hasTargetState reports whether the newest reading shows the target's artifacts and role.
func (in *Input) hasTargetState() bool {
	return sameArtifacts(in.Reading.Loaded, in.Target.Wanted) && in.Reading.Role == in.Target.Role
}

// isReportCurrent reports whether the log shows the same state as the newest reading.
func (in *Input) isReportCurrent(v *View) bool {
	return v.Reported && sameArtifacts(v.Loaded, in.Reading.Loaded) && v.Role == in.Reading.Role
}

// keepsAllLoaded reports whether the newest order wants every model that is loaded. Otherwise a late duplicate
// of that order may drop a model, and only a further order prevents this.
func (in *Input) keepsAllLoaded(v *View) bool { return slices.Equal(v.Serves, baseModels(v.Loaded)) }

// finishOrder sends the unfinished order of the orderer's own claim, again if it was lost, and closes it once a later
// reading shows its result.
func (in *Input) finishOrder(v *View) Action {
	progress := in.LatestSend.Progress
	if in.LatestSend.FencingNumber != v.Current.Offset {
		progress = NotSent
	}
	if progress == NotSent {
		return &Send{FencingNumber: v.Current.Offset, Order: v.Current.Order}
	}
	if progress == InFlight {
		return &Wait{AnswerDue}
	}
	if !in.Reading.Valid || in.Reading.FromOffset <= v.Current.Offset {
		return in.readState(v)
	}
	accepted := in.Reading.Accepted == v.Current.Offset
	switch {
	case in.Reading.Busy:
		return &Wait{Busy}
	case accepted || progress == Answered:
		return in.closeOrder(v)
	case !in.Target.ChecksFencing && in.LatestSend.LostFor < in.Limits.LeaseExpiry:
		return &Wait{AnswerLost}
	default:
		return &Send{FencingNumber: v.Current.Offset, Order: v.Current.Order}
	}
}

// readState requests a reading. If the endpoint has been unresponsive for the time UnresponsiveTimeout, it closes the
// unfinished order as Unreachable instead.
func (in *Input) readState(v *View) Action {
	if v.Current != nil && !v.Current.Lost && in.UnresponsiveFor >= in.Limits.UnresponsiveTimeout {
		return in.markUnreachable(v)
	}
	return &Read{}
}

func (in *Input) markUnreachable(v *View) Action {
	return &Append{&Done{
		Endpoint: in.Target.Endpoint, Claim: v.Claim, Order: v.Current.Offset, Outcome: Unreachable,
	}}
}

// closeOrder closes the unfinished order with the state of the newest reading.
func (in *Input) closeOrder(v *View) Action {
	outcome := Failed
	if in.Reading.Accepted == v.Current.Offset &&
		sameArtifacts(in.Reading.Loaded, v.Current.Order.Wanted) && in.Reading.Role == v.Current.Order.Role {
		outcome = Applied
	}
	return &Append{&Done{
		Endpoint: in.Target.Endpoint, Claim: v.Claim, Order: v.Current.Offset, Outcome: outcome,
		Loaded: sortedUnique(in.Reading.Loaded), Role: in.Reading.Role,
	}}
}

// yieldClaim ends the claim of an endpoint whose target is not Declared. An unfinished order of an earlier claim is
// first closed as Unreachable, without reading the endpoint's state.
func (in *Input) yieldClaim(v *View) Action {
	if v.Current != nil && !v.Current.Lost {
		return in.markUnreachable(v)
	}
	return &Append{&Yield{Endpoint: in.Target.Endpoint, Claim: v.Claim}}
}

// changeState decides for an endpoint under the orderer's own claim that has no unfinished order of that claim. It
// closes or supersedes an order of an earlier claim or one that was closed as Unreachable, reports the endpoint's
// state, and places an order if that state differs from the target or if a late duplicate of the newest order may drop
// a model. If nothing is left to do and another router is preferred, it yields the claim.
func (in *Input) changeState(v *View) Action {
	if !in.Reading.Valid || in.Reading.FromOffset <= v.Claim || in.mayPrecedeFormerOrder(v) {
		return in.readState(v)
	}
	if in.Reading.Busy {
		return &Wait{Busy}
	}
	if v.Current != nil {
		if in.Reading.Accepted == v.Current.Offset {
			return in.closeOrder(v)
		}
		return in.placeOrder(v)
	}
	if !in.isReportCurrent(v) {
		return &Append{&Report{
			Endpoint: in.Target.Endpoint, Claim: v.Claim, Loaded: sortedUnique(in.Reading.Loaded), Role: in.Reading.Role,
		}}
	}
	if !in.hasTargetState() || !in.keepsAllLoaded(v) {
		return in.placeOrder(v)
	}
	if !in.Preferred {
		return &Append{&Yield{Endpoint: in.Target.Endpoint, Claim: v.Claim}}
	}
	return &Wait{Reached}
}

// mayPrecedeFormerOrder reports whether an order of a former claim holder may have arrived after the reading, which is
// possible only at an endpoint that does not check fencing numbers.
func (in *Input) mayPrecedeFormerOrder(v *View) bool {
	return !in.Target.ChecksFencing && v.HadFormer && in.Reading.Age > in.EndObservedFor-in.Limits.LeaseExpiry
}

// placeOrder requests the order that leads to the target state. It waits if the order would drop a model, other than a
// retired one, that no other healthy endpoint serves, or if it would exceed the load limit.
func (in *Input) placeOrder(v *View) Action {
	o := &Order{
		Endpoint: in.Target.Endpoint, Claim: v.Claim, Loaded: sortedUnique(in.Reading.Loaded),
		Wanted: sortedUnique(in.Target.Wanted), Role: in.Target.Role, Retired: in.Target.Retired,
		LoadLimit: in.Limits.LoadLimit,
	}
	for _, model := range droppedModels(v.Serves, o) {
		if !in.isServedElsewhere(model) {
			return &Wait{LastEndpoint}
		}
	}
	limit := int(in.Limits.LoadLimit)
	if limit > 0 && !v.Loading && requiresLoad(o.Loaded, o.Wanted) && in.State.LoadsInProgress(o.Endpoint) >= limit {
		return &Wait{LoadsInProgress}
	}
	return &Append{o}
}

// isServedElsewhere reports whether another endpoint serves the model according to the log and is healthy as far as
// this router knows.
func (in *Input) isServedElsewhere(model string) bool {
	return slices.ContainsFunc(in.State.ServingElsewhere(model, in.Target.Endpoint), func(name string) bool {
		return slices.Contains(in.Healthy, name)
	})
}
