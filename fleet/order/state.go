package order

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Refusal is the reason for which the fold refused a record; empty if the record was accepted.
type Refusal string

// Reasons for which the fold refuses a record.
const (
	// Copied means that the entry is a duplicate: its sequence number is not above the highest one of its writer. Only
	// writers that hold a claim are checked for duplicates.
	Copied Refusal = "Copied"
	// Unreadable means that the payload is malformed or of an unknown version, or that its record type is unknown.
	Unreadable Refusal = "Unreadable"
	// Held means that an orderer already holds the endpoint's claim.
	Held Refusal = "Held"
	// NotHolder means that the writer does not hold the claim that the record names, or that the target of a Fence
	// holds no claim.
	NotHolder Refusal = "NotHolder"
	// Heard means that the target of a Fence has written a record after the one that the Fence names.
	Heard Refusal = "Heard"
	// Unfinished means that the record is a Yield, a Report or an Order that is not allowed while the endpoint has an
	// unfinished order.
	Unfinished Refusal = "Unfinished"
	// NoOrder means that the offset which a Done names is not that of the endpoint's unfinished order.
	NoOrder Refusal = "NoOrder"
	// LastLoaded means that the order would drop a model that no other endpoint serves.
	LastLoaded Refusal = "LastLoaded"
	// LoadLimit means that as many endpoints are loading as the order's load limit allows.
	LoadLimit Refusal = "LoadLimit"
)

// Result is the outcome of applying an entry. Refused is empty if the record was accepted.
type Result struct {
	Offset  platform.Offset
	Entry   Entry
	Refused Refusal
}

// State is the fold of the orders stream. The zero value covers no entry.
type State struct {
	next      platform.Offset
	orderers  map[ledger.Incarnation]*orderer
	endpoints map[string]*endpoint
}

// orderer is the lease and claim state of an incarnation that holds at least one claim.
type orderer struct {
	// lastSeen is the offset of the orderer's newest record, sequence the highest sequence number of its records.
	lastSeen platform.Offset
	sequence uint64
	claims   int
}

// endpoint is the folded state of an endpoint; the zero value is that of an endpoint that was never claimed.
type endpoint struct {
	held   bool
	holder ledger.Incarnation
	claim  platform.Offset
	// formerEnd is the offset of the record that ended the endpoint's previous claim; it is valid only if hadFormer is
	// set.
	formerEnd platform.Offset
	hadFormer bool
	reported  bool
	loaded    []Artifact
	role      string
	// serves lists the models that none of the endpoint's orders so far can drop any more, even if a duplicate arrives
	// late.
	serves []string
	// latestWanted lists the artifacts that the newest order wants: a late duplicate of that order drops all others.
	// It is valid only if hasLatestWanted is set.
	latestWanted    []Artifact
	hasLatestWanted bool
	unfinished      *unfinishedOrder
	// loading is true while an order that loads artifacts may be in progress.
	loading bool
}

// unfinishedOrder is an order that no Done has closed, or that a Done closed as Unreachable (lost).
type unfinishedOrder struct {
	offset platform.Offset
	order  Order
	lost   bool
}

// Next returns the offset of the next entry to apply.
func (s *State) Next() platform.Offset { return s.next }

// Apply folds the entry at offset Next into the state. It ignores an entry at any other offset and then returns false.
func (s *State) Apply(e platform.Entry) (Result, bool) {
	if e.Offset != s.next {
		return Result{}, false
	}
	s.next++
	if s.orderers == nil {
		s.orderers = make(map[ledger.Incarnation]*orderer)
		s.endpoints = make(map[string]*endpoint)
	}
	decoded, err := Decode(e.Payload)
	if err != nil && !errors.Is(err, ErrUnknownType) {
		return Result{Offset: e.Offset, Refused: Unreadable}, true
	}
	return Result{Offset: e.Offset, Entry: decoded, Refused: s.applyEntry(e.Offset, &decoded)}, true
}

// applyEntry renews the writer's lease and applies the entry's record unless the entry is a duplicate. Leases and
// sequence numbers are kept only for writers that hold a claim.
func (s *State) applyEntry(offset platform.Offset, e *Entry) Refusal {
	if w, ok := s.orderers[e.Writer]; ok {
		w.lastSeen = offset
		if e.Sequence <= w.sequence {
			return Copied
		}
		w.sequence = e.Sequence
	}
	if e.Record == nil {
		return Unreadable
	}
	return s.applyRecord(offset, e)
}

func (s *State) applyRecord(offset platform.Offset, e *Entry) Refusal {
	switch r := e.Record.(type) {
	case *Claim:
		return s.applyClaim(offset, e, r)
	case *Yield:
		return s.applyYield(offset, e.Writer, r)
	case *Fence:
		return s.applyFence(offset, r)
	case *Report:
		return s.applyReport(e.Writer, r)
	case *Order:
		return s.applyOrder(offset, e.Writer, r)
	case *Done:
		return s.applyDone(e.Writer, r)
	default:
		return ""
	}
}

func (s *State) applyClaim(offset platform.Offset, e *Entry, c *Claim) Refusal {
	ep, ok := s.endpoints[c.Endpoint]
	if !ok {
		ep = &endpoint{}
		s.endpoints[c.Endpoint] = ep
	}
	if ep.held {
		return Held
	}
	ep.held, ep.holder, ep.claim = true, e.Writer, offset
	w, ok := s.orderers[e.Writer]
	if !ok {
		w = &orderer{lastSeen: offset, sequence: e.Sequence}
		s.orderers[e.Writer] = w
	}
	w.claims++
	return ""
}

func (s *State) applyYield(offset platform.Offset, writer ledger.Incarnation, y *Yield) Refusal {
	ep := s.endpointUnderClaim(y.Endpoint, writer, y.Claim)
	if ep == nil {
		return NotHolder
	}
	if ep.unfinished != nil && ep.unfinished.order.Claim == ep.claim && !ep.unfinished.lost {
		return Unfinished
	}
	s.endClaim(offset, ep)
	return ""
}

func (s *State) applyFence(offset platform.Offset, f *Fence) Refusal {
	w, ok := s.orderers[f.Target]
	if !ok {
		return NotHolder
	}
	if w.lastSeen != f.LastSeen {
		return Heard
	}
	for _, ep := range s.endpoints {
		if ep.held && ep.holder == f.Target {
			s.endClaim(offset, ep)
		}
	}
	return ""
}

// endClaim ends the claim of an endpoint and removes an orderer that holds no other claim.
func (s *State) endClaim(offset platform.Offset, ep *endpoint) {
	w := s.orderers[ep.holder]
	w.claims--
	if w.claims == 0 {
		delete(s.orderers, ep.holder)
	}
	ep.held, ep.holder, ep.claim = false, ledger.Incarnation{}, 0
	ep.formerEnd, ep.hadFormer = offset, true
}

// endpointUnderClaim returns the named endpoint if the writer holds it under the given claim, and nil otherwise.
func (s *State) endpointUnderClaim(name string, writer ledger.Incarnation, claim platform.Offset) *endpoint {
	ep := s.endpoints[name]
	if ep == nil || !ep.held || ep.holder != writer || ep.claim != claim {
		return nil
	}
	return ep
}

// OrdererView is an orderer that holds claims, with the offset of its newest record.
type OrdererView struct {
	Incarnation ledger.Incarnation
	LastSeen    platform.Offset
}

// Orderers returns the orderers that hold claims, sorted by instance and incarnation number.
func (s *State) Orderers() []OrdererView {
	views := make([]OrdererView, 0, len(s.orderers))
	for i, w := range s.orderers {
		views = append(views, OrdererView{Incarnation: i, LastSeen: w.lastSeen})
	}
	slices.SortFunc(views, func(a, b OrdererView) int {
		return cmp.Or(
			cmp.Compare(a.Incarnation.Instance, b.Incarnation.Instance),
			cmp.Compare(a.Incarnation.Number, b.Incarnation.Number),
		)
	})
	return views
}

// Holds reports whether an incarnation holds at least one claim.
func (s *State) Holds(i ledger.Incarnation) bool { return s.orderers[i] != nil }

// Names returns the sorted names of all endpoints that were ever claimed.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.endpoints)) }

// View is the state of an endpoint according to the log. The zero value is that of an endpoint that was never claimed.
type View struct {
	Held   bool
	Holder ledger.Incarnation
	Claim  platform.Offset
	// FormerEnd is the offset of the record that ended the endpoint's previous claim; it is valid only if HadFormer is
	// set.
	FormerEnd platform.Offset
	HadFormer bool
	// Reported is true if the log shows the endpoint's state, from a Report or a Done; a Done with the outcome
	// Unreachable clears it.
	Reported bool
	Loaded   []Artifact
	Role     string
	// Serves lists the models that none of the endpoint's orders so far can drop any more, even if a duplicate arrives
	// late.
	Serves []string
	// Loading is true while an order that loads artifacts may be in progress.
	Loading bool
	// Current is the unfinished order, or nil; its offset is the fencing number.
	Current *UnfinishedOrder
}

// UnfinishedOrder is an order that no Done has closed, or that a Done closed as Unreachable.
type UnfinishedOrder struct {
	Offset platform.Offset
	Order  Order
	// Lost reports whether the order was closed as Unreachable.
	Lost bool
}

// Endpoint returns the view of the named endpoint.
func (s *State) Endpoint(name string) View {
	ep, ok := s.endpoints[name]
	if !ok {
		return View{}
	}
	v := View{
		Held: ep.held, Holder: ep.holder, Claim: ep.claim, FormerEnd: ep.formerEnd, HadFormer: ep.hadFormer,
		Reported: ep.reported, Loaded: ep.loaded, Role: ep.role, Serves: ep.serves, Loading: ep.loading,
	}
	if ep.unfinished != nil {
		v.Current = &UnfinishedOrder{Offset: ep.unfinished.offset, Order: ep.unfinished.order, Lost: ep.unfinished.lost}
	}
	return v
}

// LoadsInProgress returns the number of endpoints, apart from the excluded one, that may be loading artifacts.
func (s *State) LoadsInProgress(excluded string) int {
	count := 0
	for name, ep := range s.endpoints {
		if ep.loading && name != excluded {
			count++
		}
	}
	return count
}

// ServingElsewhere returns the sorted names of the endpoints, apart from the excluded one, at which no order so far
// can drop the model.
func (s *State) ServingElsewhere(model, excluded string) []string {
	names := []string{}
	for name, ep := range s.endpoints {
		if name != excluded && slices.Contains(ep.serves, model) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
