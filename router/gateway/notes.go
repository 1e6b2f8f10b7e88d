package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	// minNoticeWork is the minimum time that an engine needs to read a prompt for which other routers get a placement
	// notice. Shorter prompts delay other prompts by less than a tenth of an objective.
	minNoticeWork = 25 * time.Millisecond
	// maxNoticeRecipients is the number of other routers up to which placement notices are sent. Larger fleets send
	// none: the number of messages grows with the square of the number of routers, and sending them takes a small router
	// a quarter of its processor time.
	maxNoticeRecipients = 16
	// maxQueuedNotices bounds the placement notices that wait to be sent; further ones are dropped.
	maxQueuedNotices = 64
	// noticeTimeout bounds the opening of a connection for a placement notice.
	noticeTimeout = 300 * time.Millisecond
)

// noticeSender sends placement notices, which inform other routers of prompts that this router has sent to engines.
type noticeSender struct {
	routers *Routers
	queue   chan peer.PlacementNotice
}

func newNoticeSender(routers *Routers) *noticeSender {
	return &noticeSender{routers: routers, queue: make(chan peer.PlacementNotice, maxQueuedNotices)}
}

// enqueue queues a placement notice; a notice that finds the queue full is dropped.
func (n *noticeSender) enqueue(notice peer.PlacementNotice) {
	select {
	case n.queue <- notice:
	default:
	}
}

// run sends the queued placement notices until the context ends.
func (n *noticeSender) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case notice := <-n.queue:
			n.send(ctx, notice)
		}
	}
}

func (n *noticeSender) send(ctx context.Context, notice peer.PlacementNotice) {
	for _, listed := range n.routers.noticeRecipients() {
		sendContext, cancel := context.WithTimeout(ctx, noticeTimeout)
		err := n.routers.Node.SendNotice(sendContext, peer.Address{Instance: listed.Instance, Address: listed.Address}, notice)
		cancel()
		if err != nil {
			n.routers.markUnresponsive(listed.Instance)
		}
	}
}

// noticeRecipients returns the routers that get placement notices. It leaves out routers that were unresponsive within
// unresponsiveBackoff, and returns none in fleets above maxNoticeRecipients.
func (r *Routers) noticeRecipients() []peer.Router {
	listed := r.Roster.Routers()
	if len(listed) > maxNoticeRecipients+1 {
		return nil
	}
	now := time.Now()
	return slices.DeleteFunc(listed, func(other peer.Router) bool {
		return other.Instance == r.Self.Instance || now.Sub(r.lastUnresponsive[other.Instance]) <= unresponsiveBackoff
	})
}

// unresponsiveBackoff is how long a router gets no placement notices after the connection to it could not be opened or a
// notice could not be sent.
const unresponsiveBackoff = 3 * time.Second

func (r *Routers) markUnresponsive(instance string) { r.lastUnresponsive[instance] = time.Now() }

// HandleNotice implements peer.NoticeHandler.
func (r *Routers) HandleNotice(_ string, notice peer.PlacementNotice) {
	if r.ApplyNotice != nil {
		r.ApplyNotice(notice)
	}
}

// ApplyNotice adds the prompt of another router's placement notice to this router's view of the engine.
func (s *Server) ApplyNotice(notice peer.PlacementNotice) { s.targets.applyNotice(notice) }

// applyNotice adds the prompt of another router's placement notice to the engine's predicted backlog and cache.
func (t *targets) applyNotice(notice peer.PlacementNotice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byName[notice.Endpoint]
	if !ok {
		return
	}
	now := time.Now()
	e.backlog.AddWork(now, e.slowness.Scale(t.readRateLocked(e.Service).ReadingTime(notice.Tokens)))
	parts := make([]site.Part, 0, len(notice.Parts))
	for _, p := range notice.Parts {
		parts = append(parts, site.Part{Identifier: p.Identifier, Tokens: p.Tokens})
	}
	e.cache.AddParts(now, parts)
}

// announcePlacement queues a placement notice for a prompt that takes the engine at least minNoticeWork to read.
func (s *Server) announcePlacement(e *target, j *job) {
	if s.notices == nil || j.readTime < minNoticeWork || s.notices.routers.Roster.Len() > maxNoticeRecipients+1 {
		return
	}
	notice := peer.PlacementNotice{Endpoint: e.Name, Tokens: j.unreadTokens}
	for i := range len(j.demand.Parts) - 1 {
		p := j.demand.Parts[i]
		notice.Parts = append(notice.Parts, peer.PlacementPart{Identifier: p.Identifier, Tokens: p.Tokens})
	}
	s.notices.enqueue(notice)
}
