package eventstream

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// eventInterval is the time between two events of the streams in these tests.
const eventInterval = 60 * time.Millisecond

// playShared passes a stream on that shares what is known of its version, and returns why it was rejected.
func playShared(n *Numberings, v Version, ids ...int) error {
	s := Stream{Observation: n.Begin(v)}
	defer func() { s.Observation.End(&s) }()
	if err := s.BeginRun(eventsType); err != nil {
		return err
	}
	for _, id := range ids {
		if _, err := s.Accept([]byte(numbered(id))); err != nil {
			return err
		}
		time.Sleep(eventInterval)
	}
	for s.AwaitsEvidence() {
		time.Sleep(eventInterval / 3)
	}
	_, err := s.EndRun(false)
	return err
}

// without returns the numbers from one on without one of them.
func without(missing, last int) []int {
	var ids []int
	for id := 1; id <= last; id++ {
		if id != missing {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestSharedNumbering guards against whole streams that are rejected because each has one larger step, while the streams beside them show that the version's
// steps vary, and against a missing event that passes because others are whole.
func TestSharedNumbering(t *testing.T) {
	version := Version{Service: "engine", Software: "v2"}
	for _, c := range []struct {
		name    string
		before  int
		streams [][]int
		want    []error
	}{
		{
			"each has one larger step", 0,
			[][]int{without(4, 16), without(6, 16), without(8, 16), without(9, 16), without(5, 16), without(11, 16), without(7, 16)}, make([]error, 7),
		},
		{
			"each but one has a larger step", 0,
			[][]int{without(4, 16), without(6, 16), without(0, 9), without(9, 16), without(5, 16), without(8, 16), without(7, 16)}, make([]error, 7),
		},
		{"two at once, alone", 0, [][]int{without(4, 8), without(6, 8)}, []error{ErrGap, ErrGap}},
		{
			"one leaves an event out", 0,
			[][]int{without(0, 16), without(0, 16), without(0, 16), without(4, 16), without(0, 16), without(0, 16)}, []error{nil, nil, nil, ErrGap, nil, nil},
		},
		{"leaves an event out, version known", minStreams, [][]int{without(4, 16), without(2, 16), without(0, 16)}, []error{ErrGap, ErrGap, nil}},
		{"another numbering, version known", minStreams, [][]int{{1, 6, 11, 16}, {5, 10, 15}, without(0, 16)}, make([]error, 3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Numberings{}
				for range c.before {
					assert.NoError(t, playShared(n, version, without(0, 16)...))
				}
				var streams sync.WaitGroup
				for i, ids := range c.streams {
					streams.Go(func() { assert.ErrorIs(t, playShared(n, version, ids...), c.want[i]) })
				}
				streams.Wait()
			})
		})
	}
}

// TestNumberingOfVersions guards against a release whose streams are judged by those of the software before it.
func TestNumberingOfVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Numberings{}
		old, next := Version{Service: "engine", Software: "v1"}, Version{Service: "engine", Software: "v2"}
		for range 2 * minStreams {
			assert.NoError(t, playShared(n, old, without(0, 16)...))
		}
		// Two steps by one, a larger one and another by one: a missing event at a version by one, not judged at an unknown one.
		assert.ErrorIs(t, playShared(n, old, 1, 6, 7), ErrGap)
		assert.NoError(t, playShared(n, next, 1, 6, 7))
	})
}

// TestDoubtIsBounded guards against a caller that gives up a stream, because a missing event is held back for as long as other streams are in progress.
func TestDoubtIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Numberings{}
		v := Version{Service: "engine"}
		other := n.Begin(v)
		began := time.Now()
		assert.ErrorIs(t, playShared(n, v, without(4, 100)...), ErrGap)
		assert.Equal(t, true, time.Since(began) <= 4*eventInterval+MaxDoubt)
		other.End(&Stream{})
	})
}

// TestVersionsAreBounded guards against memory that grows with each version that was ever seen, and against the loss of one that is in use.
func TestVersionsAreBounded(t *testing.T) {
	n := &Numberings{}
	used := n.Begin(Version{Service: "engine"})
	for i := range 2 * maxVersions {
		s := Stream{Observation: n.Begin(Version{Service: "engine", Software: fmt.Sprint(i)})}
		s.Observation.End(&s)
	}
	assert.Equal(t, maxVersions, len(n.byVersion))
	assert.Equal(t, true, n.byVersion[used.Version] != nil)
	used.End(&Stream{})
}

// TestNumberingsOfOtherRouters guards against whole streams that a router cuts one by one although others know that the version's steps vary, and against a
// missing event that passes, or is held back too long, because others know nothing or don't answer.
func TestNumberingsOfOtherRouters(t *testing.T) {
	v := Version{Service: "engine", Software: "v2"}
	for _, c := range []struct {
		name string
		// observed are the streams at the other router; nil if it doesn't answer.
		observed [][]int
		answers  bool
		want     error
	}{
		{"steps vary", [][]int{{5, 10, 15}, {5, 10, 15}, {5, 10, 15}}, true, nil},
		{"by one", [][]int{without(0, 9), without(0, 9), without(0, 9)}, true, ErrGap},
		{"nothing known", nil, true, ErrGap},
		{"no answer", nil, false, ErrGap},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own, other := &Numberings{}, &Numberings{}
				for _, ids := range c.observed {
					assert.NoError(t, playShared(other, v, ids...))
				}
				wanted := own.Wanted()
				go func() {
					for range wanted {
						askedAt := time.Now()
						time.Sleep(eventInterval)
						if c.answers {
							own.Learn("b", other.Observed())
							own.RecordAnswers(askedAt)
						}
					}
				}()
				began := time.Now()
				assert.ErrorIs(t, playShared(own, v, without(4, 9)...), c.want)
				assert.Equal(t, true, time.Since(began) <= 9*eventInterval+MaxDoubt)
				close(own.wanted)
				time.Sleep(3 * eventInterval)
				synctest.Wait()
			})
		})
	}
	t.Run("no streams can show that", func(t *testing.T) {
		n := &Numberings{}
		n.Learn("b", map[Version]Numbering{
			v: {Uneven: -1}, {Service: "a"}: {ByOne: 2 * maxStreams}, {Service: "b"}: {StepsByOne: 2 * maxCount}, {Service: "c"}: {Certain: 1},
		})
		assert.Equal(t, 0, len(n.byVersion))
	})
	t.Run("too many routers", func(t *testing.T) {
		n := &Numberings{}
		for i := range 2 * maxOthers {
			n.Learn(fmt.Sprint(i), map[Version]Numbering{v: seen(true)})
		}
		total := n.byVersion[v].total()
		assert.Equal(t, maxOthers*minStreams, total.ByOne)
	})
}
