package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/eventstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

const (
	// numberingAskInterval is the time between two questions to other routers about the numbers of events.
	numberingAskInterval = 250 * time.Millisecond
	// numberingAskTimeout bounds a question: a handshake and an exchange between regions.
	numberingAskTimeout = 300 * time.Millisecond
	// maxNumberingPeers bounds the routers that are asked at once. In a larger fleet others are asked each time.
	maxNumberingPeers = 5
)

// numberingAsker asks other routers how versions number the events of their streams while this router can't tell.
type numberingAsker struct {
	numberings *eventstream.Numberings
	routers    *Routers
}

func (a *numberingAsker) run(ctx context.Context) error {
	wanted := a.numberings.Wanted()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wanted:
		}
		askedAt := time.Now()
		a.ask(ctx)
		a.numberings.RecordAnswers(askedAt)
		clock.Sleep(ctx, numberingAskInterval)
	}
}

func (a *numberingAsker) ask(ctx context.Context) {
	others := a.routers.Roster.Routers()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // spreads questions
	var questions sync.WaitGroup
	asked := 0
	for _, other := range others {
		if other.Instance != a.routers.Self.Instance && asked < maxNumberingPeers {
			asked++
			questions.Go(func() { a.runQuestion(ctx, peer.Address{Instance: other.Instance, Address: other.Address}) })
		}
	}
	questions.Wait()
}

// runQuestion asks one router. What an unresponsive one has told before stays known.
func (a *numberingAsker) runQuestion(ctx context.Context, to peer.Address) {
	ctx, cancel := context.WithTimeout(ctx, numberingAskTimeout)
	defer cancel()
	list, err := a.routers.Node.FetchNumberings(ctx, to)
	if err != nil {
		return
	}
	observed := make(map[eventstream.Version]eventstream.Numbering, len(list))
	for _, v := range list {
		observed[eventstream.Version{Service: v.Service, Software: v.Version}] = eventstream.Numbering{
			ByOne: v.ByOne, Uneven: v.Uneven, Certain: v.Certain, InProgress: v.InProgress, OpenByOne: v.OpenByOne,
			StepsByOne: v.StepsByOne, LargerSteps: v.LargerSteps,
		}
	}
	a.numberings.Learn(to.Instance, observed)
}

// ObservedNumberings implements peer.NumberingObserver.
func (r *Routers) ObservedNumberings() []peer.VersionNumbering {
	if r.Numberings == nil {
		return nil
	}
	var list []peer.VersionNumbering
	for v, n := range r.Numberings.Observed() {
		list = append(list, peer.VersionNumbering{
			Service: v.Service, Version: v.Software, ByOne: n.ByOne, Uneven: n.Uneven, Certain: n.Certain, InProgress: n.InProgress,
			OpenByOne: n.OpenByOne, StepsByOne: n.StepsByOne, LargerSteps: n.LargerSteps,
		})
	}
	return list
}
