package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	// leastNoted is the least work of a prompt of which other routers are told: shorter ones delay others by less than an
	// objective's tenth.
	leastNoted = 25 * time.Millisecond
	// notedRouters is the number of other routers up to which all are told. In larger fleets none is: messages grow with the
	// square of the fleet, and sending them takes a small router a quarter of its processor time.
	notedRouters = 16
	// noteBacklog bounds the notes that wait to be sent; further ones are dropped.
	noteBacklog = 64
	// noteTimeout bounds the opening of a connection for a note.
	noteTimeout = 300 * time.Millisecond
)

// noter tells other routers of prompts that were sent to engines.
type noter struct {
	routers *Routers
	notes   chan peer.Note
}

func newNoter(routers *Routers) *noter {
	return &noter{routers: routers, notes: make(chan peer.Note, noteBacklog)}
}

// add passes a note on unless too many wait.
func (n *noter) add(note peer.Note) {
	select {
	case n.notes <- note:
	default:
	}
}

// run sends notes until the context ends.
func (n *noter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case note := <-n.notes:
			n.send(ctx, note)
		}
	}
}

func (n *noter) send(ctx context.Context, note peer.Note) {
	for _, listed := range n.routers.others() {
		one, cancel := context.WithTimeout(ctx, noteTimeout)
		err := n.routers.Node.SendNote(one, peer.Address{Instance: listed.Instance, Address: listed.Address}, note)
		cancel()
		if err != nil {
			n.routers.silent(listed.Instance)
		}
	}
}

// others returns the routers that are told. Those that did not answer lately are left out.
func (r *Routers) others() []peer.Router {
	listed := r.Roster.All()
	if len(listed) > notedRouters+1 {
		return nil
	}
	now := time.Now()
	return slices.DeleteFunc(listed, func(other peer.Router) bool {
		return other.Instance == r.Self.Instance || now.Sub(r.unanswered[other.Instance]) <= silentPause
	})
}

// silentPause is how long a router that could not be told is left out.
const silentPause = 3 * time.Second

func (r *Routers) silent(instance string) { r.unanswered[instance] = time.Now() }

// TakeNote implements peer.Listener.
func (r *Routers) TakeNote(_ string, note peer.Note) {
	if r.Noted != nil {
		r.Noted(note)
	}
}

// Note takes another router's note in.
func (s *Server) Note(note peer.Note) { s.targets.note(note) }

// note adds another router's prompt to an engine's backlog and cache.
func (t *targets) note(note peer.Note) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[note.Endpoint]
	if !ok {
		return
	}
	now := time.Now()
	e.backlog.Add(now, e.slow.Work(t.rateLocked(e.Service).Work(note.Tokens)))
	parts := make([]site.Part, 0, len(note.Parts))
	for _, p := range note.Parts {
		parts = append(parts, site.Part{Identifier: p.Identifier, Tokens: p.Tokens})
	}
	e.cache.Use(now, parts)
}

// tell notes a prompt for other routers if it is long.
func (s *Server) tell(e *target, j *job) {
	if s.notes == nil || j.work < leastNoted || s.notes.routers.Roster.Len() > notedRouters+1 {
		return
	}
	note := peer.Note{Endpoint: e.Name, Tokens: j.miss}
	for i := range len(j.demand.Parts) - 1 {
		p := j.demand.Parts[i]
		note.Parts = append(note.Parts, peer.NotePart{Identifier: p.Identifier, Tokens: p.Tokens})
	}
	s.notes.add(note)
}
