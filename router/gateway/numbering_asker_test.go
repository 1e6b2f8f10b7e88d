package gateway

import (
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/eventstream"
	keyed "github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// TestNumberingsAreAsked guards against a router that cuts the first streams of a version although another router knows how it numbers events.
func TestNumberingsAreAsked(t *testing.T) {
	v := eventstream.Version{Service: "engine", Software: "v2"}
	shared := &keyed.KeyedLog{}
	first, second := startRouter(t.Context(), t, "a", shared), startRouter(t.Context(), t, "b", shared)
	waitFor(t, func() bool { return first.Roster.Len() == 2 && second.Roster.Len() == 2 })
	second.Numberings = &eventstream.Numberings{}
	play := func(n *eventstream.Numberings, ids ...int) error {
		s := eventstream.Stream{Observation: n.Begin(v)}
		defer func() { s.Observation.End(&s) }()
		assert.NoError(t, s.BeginRun("text/event-stream"))
		if _, err := s.Accept([]byte(streamOf(ids...))); err != nil {
			return err
		}
		waitFor(t, func() bool { return !s.AwaitsEvidence() })
		_, err := s.EndRun(false)
		return err
	}
	for range 5 {
		assert.NoError(t, play(second.Numberings, 4, 8, 9, 13))
	}
	own := &eventstream.Numberings{}
	assert.ErrorIs(t, play(own, 1, 2, 3, 5, 6), eventstream.ErrGap)
	own = &eventstream.Numberings{}
	asker := &numberingAsker{numberings: own, routers: first}
	own.Wanted()
	go func() { _ = asker.run(t.Context()) }()
	assert.NoError(t, play(own, 1, 2, 3, 5, 6))
}
