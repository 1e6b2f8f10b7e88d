package order

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Refusal says why the fold refused a record.
type Refusal string

// The refusals.
const (
	// Copied records have a sequence number that their writer used before.
	Copied Refusal = "Copied"
	// Unreadable payloads are of an unknown version, of an unknown type or malformed.
	Unreadable Refusal = "Unreadable"
	// Held endpoints have an orderer.
	Held Refusal = "Held"
	// NotHolder writers don't hold the claim that the record names.
	NotHolder Refusal = "NotHolder"
	// Heard orderers wrote a record after the one that the fence names.
	Heard Refusal = "Heard"
	// Unfinished orders stand against the record.
	Unfinished Refusal = "Unfinished"
	// NoOrder is unfinished with the offset that the record names.
	NoOrder Refusal = "NoOrder"
	// LastLoaded models would be served by no endpoint.
	LastLoaded Refusal = "LastLoaded"
	// LoadLimit endpoints load already.
	LoadLimit Refusal = "LoadLimit"
)

// Result is what an entry of the log led to. Refused is empty if its record was accepted.
type Result struct {
	Offset  platform.Offset
	Entry   Entry
	Refused Refusal
}

// State is the fold of the orders stream. The zero value has read nothing.
type State struct {
	next      platform.Offset
	orderers  map[ledger.Incarnation]*orderer
	endpoints map[string]*endpoint
}

// orderer is an incarnation that holds a claim.
type orderer struct {
	lastSeen platform.Offset
	sequence uint64
	claims   int
}

// endpoint is the state of an endpoint; the zero value was never claimed.
type endpoint struct {
	held   bool
	holder ledger.Incarnation
	claim  platform.Offset
	// formerEnd is the offset at which the newest former claim ended.
	formerEnd platform.Offset
	hadFormer bool
	reported  bool
	loaded    []Artifact
	role      string
	// serves are the models that stay loaded whatever becomes of the orders so far.
	serves []string
	// bound is what the newest order wanted: a copy of it that arrives late drops everything else.
	bound   []Artifact
	bounded bool
	current *unfinished
	// loading is set while an order that loads may be in progress.
	loading bool
}

// unfinished is an order without its Done.
type unfinished struct {
	offset platform.Offset
	order  Order
	lost   bool
}

// Next returns the offset of the first entry that is not folded in.
func (s *State) Next() platform.Offset { return s.next }

// Apply folds the next entry of the log; an entry at any other offset changes nothing and has no result.
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
	if err != nil && !errors.Is(err, ErrType) {
		return Result{Offset: e.Offset, Refused: Unreadable}, true
	}
	return Result{Offset: e.Offset, Entry: decoded, Refused: s.receive(e.Offset, &decoded)}, true
}

// receive renews the lease of the writer and applies the record unless it is a copy.
func (s *State) receive(offset platform.Offset, e *Entry) Refusal {
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
	return s.apply(offset, e)
}

func (s *State) apply(offset platform.Offset, e *Entry) Refusal {
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
	p, ok := s.endpoints[c.Endpoint]
	if !ok {
		p = &endpoint{}
		s.endpoints[c.Endpoint] = p
	}
	if p.held {
		return Held
	}
	p.held, p.holder, p.claim = true, e.Writer, offset
	w, ok := s.orderers[e.Writer]
	if !ok {
		w = &orderer{lastSeen: offset, sequence: e.Sequence}
		s.orderers[e.Writer] = w
	}
	w.claims++
	return ""
}

func (s *State) applyYield(offset platform.Offset, writer ledger.Incarnation, y *Yield) Refusal {
	p := s.claimed(y.Endpoint, writer, y.Claim)
	if p == nil {
		return NotHolder
	}
	if p.current != nil && p.current.order.Claim == p.claim && !p.current.lost {
		return Unfinished
	}
	s.end(offset, p)
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
	for _, p := range s.endpoints {
		if p.held && p.holder == f.Target {
			s.end(offset, p)
		}
	}
	return ""
}

// end ends the claim of an endpoint and forgets an orderer without claims.
func (s *State) end(offset platform.Offset, p *endpoint) {
	w := s.orderers[p.holder]
	w.claims--
	if w.claims == 0 {
		delete(s.orderers, p.holder)
	}
	p.held, p.holder, p.claim = false, ledger.Incarnation{}, 0
	p.formerEnd, p.hadFormer = offset, true
}

// claimed returns the endpoint if the writer holds the claim; else nil.
func (s *State) claimed(name string, writer ledger.Incarnation, claim platform.Offset) *endpoint {
	p := s.endpoints[name]
	if p == nil || !p.held || p.holder != writer || p.claim != claim {
		return nil
	}
	return p
}

// OrdererView is an orderer that holds claims.
type OrdererView struct {
	Incarnation ledger.Incarnation
	LastSeen    platform.Offset
}

// Orderers returns the orderers that hold claims, sorted.
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

// Holds reports whether an incarnation holds a claim.
func (s *State) Holds(i ledger.Incarnation) bool { return s.orderers[i] != nil }

// Names returns the sorted names of the endpoints that were ever claimed.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.endpoints)) }

// View is what the log says of an endpoint. The zero value is that of an endpoint that was never claimed.
type View struct {
	Held   bool
	Holder ledger.Incarnation
	Claim  platform.Offset
	// FormerEnd is the offset at which the newest former claim ended; HadFormer is false if there was none.
	FormerEnd platform.Offset
	HadFormer bool
	// Reported is set once a Report or a Done told what is loaded.
	Reported bool
	Loaded   []Artifact
	Role     string
	Serves   []string
	Loading  bool
	// Current is the unfinished order; its offset is the fencing number.
	Current *Unclosed
}

// Unclosed is an order without a Done that closes it.
type Unclosed struct {
	Offset platform.Offset
	Order  Order
	// Lost orders were given up because the endpoint did not report.
	Lost bool
}

// Endpoint returns the view of an endpoint.
func (s *State) Endpoint(name string) View {
	p, ok := s.endpoints[name]
	if !ok {
		return View{}
	}
	v := View{
		Held: p.held, Holder: p.holder, Claim: p.claim, FormerEnd: p.formerEnd, HadFormer: p.hadFormer,
		Reported: p.reported, Loaded: p.loaded, Role: p.role, Serves: p.serves, Loading: p.loading,
	}
	if p.current != nil {
		v.Current = &Unclosed{Offset: p.current.offset, Order: p.current.order, Lost: p.current.lost}
	}
	return v
}

// LoadsInProgress returns the number of endpoints other than the named one that may be loading.
func (s *State) LoadsInProgress(except string) int {
	count := 0
	for name, p := range s.endpoints {
		if p.loading && name != except {
			count++
		}
	}
	return count
}

// ServingElsewhere returns the sorted names of the endpoints other than the named one that are sure to serve
// a model.
func (s *State) ServingElsewhere(model, except string) []string {
	names := []string{}
	for name, p := range s.endpoints {
		if name != except && slices.Contains(p.serves, model) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
