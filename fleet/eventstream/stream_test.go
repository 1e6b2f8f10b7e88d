package eventstream

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261206"); err != nil {
		panic(err)
	}
	m.Run()
}

const eventsType = "text/event-stream"

// numbered returns an event with an identifier.
func numbered(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }

// numberedFrom returns the events with the identifiers from first to last.
func numberedFrom(first, last int) string {
	var events strings.Builder
	for id := first; id <= last; id++ {
		events.WriteString(numbered(id))
	}
	return events.String()
}

// numberedBy returns events with the given identifiers.
func numberedBy(ids ...int) string {
	var events strings.Builder
	for _, id := range ids {
		events.WriteString(numbered(id))
	}
	return events.String()
}

// TestAccept guards against bytes of an incomplete event that are passed on, and against events that are counted or identified wrongly.
func TestAccept(t *testing.T) {
	long := strings.Repeat("x", maxPendingBytes+1)
	for _, c := range []struct {
		name   string
		pieces []string
		passed string
		count  int64
		last   string
	}{
		{"nothing", nil, "", 0, ""},
		{"one", []string{"id: 1\ndata: a\n\n"}, "id: 1\ndata: a\n\n", 1, "1"},
		{"in pieces", []string{"id: 1\nda", "ta: a\n", "\nid: 2"}, "id: 1\ndata: a\n\n", 2, "1"},
		{"other line ends", []string{"id: 1\r\n\r\n", "\n\n", "id: 2\n\nid"}, "id: 1\r\n\r\n\n\nid: 2\n\n", 3, "2"},
		{"carriage returns alone", []string{"id: 1\rdata: a\r\rid: 2\r", "\rid: 3\r"}, "id: 1\rdata: a\r\rid: 2\r\r", 3, "2"},
		{"line ends cut in two", []string{"id: 1\r", "\ndata: a\r\n\r", "\nid: 2\r", "\n"}, "id: 1\r\ndata: a\r\n\r\n", 2, "1"},
		{"comments", []string{": a\n", "id: 1\n\n: b\n\n", ": c\n", ": d"}, ": a\nid: 1\n\n: b\n\n: c\n", 2, "1"},
		{"without identifiers", []string{"data: a\n\ndata: b\n\n"}, "data: a\n\ndata: b\n\n", 2, ""},
		{"reconnection time", []string{"id: 1\n\nretry: 100\n\nid: 2\n\n"}, "id: 1\n\nretry: 100\n\nid: 2\n\n", 2, "2"},
		{"further fields", []string{"weight-versions: 3\nid: 1\ndata: a\n\n"}, "weight-versions: 3\nid: 1\ndata: a\n\n", 1, "1"},
		{"uneven numbers", []string{"id: 3\n\nid: 9\n\nid: 10\n\n"}, "id: 3\n\nid: 9\n\nid: 10\n\n", 3, "10"},
		{"without end", []string{long, "y"}, long + "y", 1, ""},
		{"without end after an event", []string{numbered(1) + long, "y"}, numbered(1) + long + "y", 2, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Stream
			assert.NoError(t, s.BeginRun(eventsType))
			passed := ""
			for _, piece := range c.pieces {
				part, err := s.Accept([]byte(piece))
				assert.NoError(t, err)
				passed += string(part)
			}
			assert.Equal(t, c.passed, passed)
			assert.Equal(t, c.count, s.Count())
			assert.Equal(t, c.last, s.Last())
		})
	}
}

// testRun is the answer of an endpoint.
type testRun struct{ contentType, body string }

// join passes the runs of a stream on until one is rejected. Each breaks off, except the last.
func join(s *Stream, runs ...testRun) (passed string, err error) {
	for _, r := range runs {
		if err = s.BeginRun(r.contentType); err != nil {
			return passed, err
		}
		part, err := s.Accept([]byte(r.body))
		if passed += string(part); err != nil {
			return passed, err
		}
	}
	return passed, nil
}

// TestJoinedRuns guards against events that come twice, go back, are left out or are none, in one run or where a run goes on after another one.
func TestJoinedRuns(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed"
	events := func(body string) testRun { return testRun{eventsType, body} }
	for _, c := range []struct {
		name   string
		after  string
		runs   []testRun
		passed string
		want   error
	}{
		{"goes on", "", []testRun{events(numberedFrom(1, 3) + "id: 4\nda"), events(numberedFrom(4, 5))}, numberedFrom(1, 5), nil},
		{"has nothing to add", "", []testRun{events(numberedFrom(1, 3)), events("")}, numberedFrom(1, 3), nil},
		{"begins anew", "", []testRun{events(numberedFrom(1, 2)), events(numberedFrom(1, 3))}, numberedFrom(1, 2), ErrOrder},
		{"repeats the last event", "", []testRun{events(numberedFrom(1, 2)), events(numberedFrom(2, 3))}, numberedFrom(1, 2), ErrOrder},
		{"leaves an event out", "", []testRun{events(numberedFrom(1, 2)), events(numberedFrom(4, 5))}, numberedFrom(1, 2), ErrGap},
		{"leaves an event out in a run", "", []testRun{events(numberedFrom(1, 2) + numberedFrom(4, 7))}, numberedFrom(1, 2), ErrGap},
		{"numbers unevenly", "", []testRun{events(numbered(3) + numbered(9)), events(numbered(15))}, numbered(3) + numbered(9) + numbered(15), nil},
		{"goes back in one run", "", []testRun{events(numberedFrom(1, 3) + numberedFrom(2, 5))}, numberedFrom(1, 3), ErrOrder},
		{"repeats a name", "", []testRun{events("id: a\n\nid: b\n\n"), events("id: b\n\n")}, "id: a\n\nid: b\n\n", ErrOrder},
		{"goes on after what the caller has", "7", []testRun{events(numberedFrom(8, 9))}, numberedFrom(8, 9), nil},
		{"begins anew after what the caller has", "7", []testRun{events(numberedFrom(1, 9))}, "", ErrOrder},
		{"text", "", []testRun{events(numberedFrom(1, 2)), events("the engine failed\n\n" + numbered(3))}, numberedFrom(1, 2), ErrNotEvent},
		{"text of another type", "", []testRun{events(numberedFrom(1, 2)), {"text/plain", "failed\n\n"}}, numberedFrom(1, 2), ErrMedia},
		{"same type with parameters", "", []testRun{events(numbered(1)), {"Text/Event-Stream; charset=utf-8", numbered(2)}}, numberedFrom(1, 2), nil},
		{"data without an identifier in one run", "", []testRun{events(numbered(1) + "event: ping\ndata: a\n\n" + numbered(2))}, numbered(1) + "event: ping\ndata: a\n\n" + numbered(2), nil},
		{"name after a number", "", []testRun{events(numbered(1) + "id: a\n\n")}, numbered(1), ErrOrder},
		{"data without an identifier", "", []testRun{events(numberedFrom(1, 2)), events("data: failed\n\n")}, numberedFrom(1, 2), ErrNotEvent},
		{"head of an answer", "", []testRun{events(numberedFrom(1, 2) + head)}, numberedFrom(1, 2), ErrNotEvent},
		{"head of an answer in an event", "", []testRun{events(numberedFrom(1, 2) + "id: 3\ndata: " + head)}, numberedFrom(1, 2), ErrNotEvent},
		{"head of an answer at once", "", []testRun{events(head)}, "", ErrNotEvent},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Stream
			s.Resume(c.after)
			passed, err := join(&s, c.runs...)
			assert.Equal(t, c.passed, passed)
			assert.ErrorIs(t, err, c.want)
		})
	}
}

// TestServiceNumberedByOne guards against events that are left out in one run of a service that numbers them by one.
func TestServiceNumberedByOne(t *testing.T) {
	for _, c := range []struct {
		name, after, body, passed string
		want                      error
		byOne                     bool
	}{
		{"whole", "", numberedFrom(1, 4), numberedFrom(1, 4), nil, true},
		{"leaves an event out", "", numberedFrom(1, 2) + numberedFrom(4, 5), numberedFrom(1, 2), ErrGap, false},
		{"leaves the second event out", "", numbered(1) + numbered(3), numbered(1), ErrGap, false},
		{"from another number on", "", numberedFrom(2, 5), numberedFrom(2, 5), nil, true},
		{"from another number on, leaves an event out", "", numberedFrom(2, 3) + numberedFrom(5, 6), numberedFrom(2, 3), ErrGap, false},
		{"from zero on", "", numberedFrom(0, 4), numberedFrom(0, 4), nil, true},
		{"resumed", "3", numberedFrom(4, 5), numberedFrom(4, 5), nil, true},
		{"resumed, leaves an event out", "3", numberedFrom(5, 6), "", ErrGap, false},
		{"begins anew", "", numberedFrom(1, 2) + numberedFrom(1, 2), numberedFrom(1, 2), ErrOrder, true},
		{"names", "", "id: a\n\nid: c\n\n", "id: a\n\nid: c\n\n", nil, false},
		{"by fives", "", numberedBy(5, 10, 15, 20), numberedBy(5, 10, 15, 20), nil, false},
		{"by tokens, now and then by one", "", numberedBy(4, 8, 9, 13), numberedBy(4, 8, 9, 13), nil, false},
		{"by fives from one on", "", numberedBy(1, 6, 11, 16), numberedBy(1, 6, 11, 16), nil, false},
		{"by fives, resumed", "8", numberedBy(13, 18, 23), numberedBy(13, 18, 23), nil, false},
		{"by one first", "", numberedBy(1, 2, 6, 10), numberedBy(1, 2, 6, 10), nil, false},
		{"leaves an event out after two steps by one, and another one", "", numberedFrom(1, 3) + numberedBy(5, 7), numberedFrom(1, 3), ErrGap, false},
		{"leaves the last but one out", "", numberedFrom(1, 3) + numberedBy(5), numberedFrom(1, 3), ErrGap, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Stream{Known: seen(true)}
			s.Resume(c.after)
			passed, err := join(&s, testRun{eventsType, c.body})
			if err == nil {
				var held []byte
				held, err = s.EndRun(false)
				passed += string(held)
			}
			assert.Equal(t, c.passed, passed)
			assert.ErrorIs(t, err, c.want)
			byOne, ok := s.IsNumberedByOne()
			assert.Equal(t, c.byOne, byOne && ok)
		})
	}
}

// TestUnknownNumbering guards, at a service of which nothing is known, against whole streams that are rejected for how they are numbered (review/13), and
// against streams by one of which an event is left out.
func TestUnknownNumbering(t *testing.T) {
	for _, c := range []struct {
		name, after, body, passed string
		want                      error
	}{
		{"by one", "", numberedFrom(1, 4), numberedFrom(1, 4), nil},
		{"by fives", "", numberedBy(5, 10, 15, 20), numberedBy(5, 10, 15, 20), nil},
		{"by fives from zero on", "", numberedBy(0, 5, 10), numberedBy(0, 5, 10), nil},
		{"by twos", "", numberedBy(1, 3, 5), numberedBy(1, 3, 5), nil},
		{"by sevens from 100 on", "", numberedBy(100, 107, 114), numberedBy(100, 107, 114), nil},
		{"by tokens, now and then by one", "", numberedBy(4, 8, 9, 13), numberedBy(4, 8, 9, 13), nil},
		{"by tokens, by one first", "", numberedBy(1, 2, 6, 7, 11), numberedBy(1, 2, 6, 7, 11), nil},
		{"by tokens, two steps by one", "", numberedBy(1, 5, 6, 7, 11), numberedBy(1, 5, 6, 7, 11), nil},
		{"by tokens, ends with a larger step", "", numberedBy(1, 2, 6), numberedBy(1, 2, 6), nil},
		{"by tokens, resumed", "8", numberedBy(13, 14, 18), numberedBy(13, 14, 18), nil},
		{"by tokens, resumed before the last event", "8", numberedBy(13), numberedBy(13), nil},
		{"larger step and an event without a number", "", numberedBy(1, 5) + "data: a\n\n" + numberedBy(9), numberedBy(1, 5) + "data: a\n\n" + numberedBy(9), nil},
		{"leaves an event out", "", numberedFrom(1, 3) + numberedFrom(5, 8), numberedFrom(1, 3), ErrGap},
		{"leaves the second event out", "", numberedBy(1) + numberedFrom(3, 6), numberedBy(1), ErrGap},
		{"leaves an event out near the end", "", numberedFrom(1, 3) + numberedFrom(5, 6), numberedFrom(1, 3), ErrGap},
		{"leaves the last but one out", "", numberedFrom(1, 3) + numberedBy(5), numberedFrom(1, 3), ErrGap},
		{"resumed, leaves an event out", "3", numberedFrom(5, 9), "", ErrGap},
		{"goes back after a larger step", "", numberedBy(1, 5, 2), numberedBy(1), ErrOrder},
		{"head of an answer after a larger step", "", numberedBy(1, 5) + "HTTP/1.1 500 Internal Server Error\r\n\r\n", numberedBy(1), ErrNotEvent},
		{"ends inside an event after a larger step", "", numberedBy(1, 5) + "id: 6\nda", numberedBy(1), ErrCut},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Stream
			s.Resume(c.after)
			passed, err := join(&s, testRun{eventsType, c.body})
			if err == nil {
				var held []byte
				held, err = s.EndRun(false)
				passed += string(held)
			}
			assert.Equal(t, c.passed, passed)
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, strings.Count(c.passed, "data:"), int(s.Completed()))
		})
	}
}

// TestContinuationNumberedOtherwise guards against the rejection of a run that goes on by fives (review/13).
func TestContinuationNumberedOtherwise(t *testing.T) {
	for _, known := range []Numbering{{}, seen(true), seen(false)} {
		for _, first := range []string{numbered(5), numbered(5) + numbered(10)} {
			s := Stream{Known: known}
			passed, err := join(&s, testRun{eventsType, first}, testRun{eventsType, numbered(15) + numbered(20)})
			assert.Equal(t, first+numbered(15)+numbered(20), passed)
			assert.NoError(t, err)
		}
	}
}

// TestHeldEvents guards against events after a larger step that are lost or come twice where a run breaks off, and against more memory for them than for others.
func TestHeldEvents(t *testing.T) {
	t.Run("run breaks off", func(t *testing.T) {
		var s Stream
		passed, err := join(&s, testRun{eventsType, numberedBy(1, 5)}, testRun{eventsType, numberedBy(5, 9)})
		assert.NoError(t, err)
		assert.Equal(t, numberedBy(1, 5, 9), passed)
		assert.Equal(t, "9", s.Last())
	})
	t.Run("long events", func(t *testing.T) {
		var s Stream
		long := numberedBy(1) + "id: 5\ndata: " + strings.Repeat("x", maxPendingBytes) + "\n\n"
		passed, err := join(&s, testRun{eventsType, long})
		assert.NoError(t, err)
		assert.Equal(t, long, passed)
		assert.Equal(t, int64(2), s.Completed())
	})
}

// seen returns what is known of a version after the fewest streams that tell whether it numbers by one.
func seen(byOne bool) Numbering {
	var n Numbering
	for range minStreams {
		n.record(byOne)
	}
	return n
}

// record counts a stream of eleven events by one, or one with a larger step.
func (n *Numbering) record(byOne bool) {
	if byOne {
		n.StepsByOne += 10
	} else {
		n.LargerSteps++
	}
	n.count(byOne)
}

// TestNumbering guards against a service that is taken for one of another kind because some endpoints fail, or before enough of it has been seen.
func TestNumbering(t *testing.T) {
	record := func(n *Numbering, byOne bool, streams int) {
		for range streams {
			n.record(byOne)
		}
	}
	var n Numbering
	assert.Equal(t, SchemeUnknown, n.Scheme())
	record(&n, false, minStreams-1)
	assert.Equal(t, SchemeUnknown, n.Scheme())
	record(&n, false, 1)
	assert.Equal(t, SchemeOther, n.Scheme())
	record(&n, true, 10*maxStreams)
	record(&n, false, maxStreams/8)
	assert.Equal(t, SchemeByOne, n.Scheme())
	record(&n, false, maxStreams)
	assert.Equal(t, SchemeOther, n.Scheme())
	n = Numbering{}
	record(&n, true, minStreams-1)
	assert.Equal(t, SchemeUnknown, n.Scheme())
	record(&n, true, 1)
	assert.Equal(t, SchemeByOne, n.Scheme())
}

// TestEndRun guards against a stream that ends inside an event, or with its connection before the first event of a run, as complete.
func TestEndRun(t *testing.T) {
	for _, c := range []struct {
		name, body         string
		endsWithConnection bool
		want               error
	}{
		{"after an event", numbered(2), false, nil},
		{"after an event, with its connection", numbered(2), true, nil},
		{"without events", "", false, nil},
		{"without events, with its connection", "", true, ErrCut},
		{"comment only, with its connection", ": a\n", true, ErrCut},
		{"inside an event", numbered(2) + "id: 3\ndata", false, ErrCut},
		{"before the empty line", "id: 2\ndata: a\n", false, ErrCut},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Stream
			_, err := join(&s, testRun{eventsType, numbered(1)}, testRun{eventsType, c.body})
			assert.NoError(t, err)
			_, err = s.EndRun(c.endsWithConnection)
			assert.ErrorIs(t, err, c.want)
		})
	}
}

// TestCanContinue guards against a run that is to go on after events of which the newest has no identifier.
func TestCanContinue(t *testing.T) {
	for _, c := range []struct {
		name, body string
		want       bool
	}{
		{"nothing", "", true},
		{"incomplete event", "data: a", true},
		{"numbered event", numbered(1), true},
		{"event without an identifier", "data: a\n\n", false},
		{"event with an empty identifier", numbered(1) + "id:\ndata: a\n\n", false},
		{"named event", "id: a\ndata: a\n\n", false},
		{"event that is too long", strings.Repeat("x", maxPendingBytes+1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Stream
			_, err := join(&s, testRun{eventsType, c.body})
			assert.NoError(t, err)
			assert.Equal(t, c.want, s.CanContinue())
		})
	}
}

// TestStreamIsWhole guards against a stream of any runs, in any pieces, of which an event is missing, comes twice or out of order.
func TestStreamIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const events = 12
		s := Stream{Known: rapid.SampledFrom([]Numbering{seen(true), {}}).Draw(t, "known")}
		passed := ""
		for passed != numberedFrom(1, events) {
			has := int(s.Completed())
			first := has + 1
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				first = rapid.IntRange(1, events).Draw(t, "first")
			}
			body := numberedFrom(first, events)
			body = body[:rapid.IntRange(0, len(body)).Draw(t, "length")]
			if s.BeginRun(eventsType) != nil {
				t.Fatal("run rejected")
			}
			for len(body) > 0 {
				size := rapid.IntRange(1, len(body)).Draw(t, "size")
				part, err := s.Accept([]byte(body[:size]))
				passed += string(part)
				if body = body[size:]; err != nil {
					break
				}
			}
			// The first event of a stream shows no order.
			if has == 0 && s.Completed() > 0 && first != 1 {
				t.Skip()
			}
			if want := numberedFrom(1, int(s.Completed())); passed != want {
				t.Fatalf("passed on %q, want %q", passed, want)
			}
		}
	})
}

// TestLongLines guards against a stream without line ends that fills the memory.
func TestLongLines(t *testing.T) {
	var s Stream
	part := []byte(strings.Repeat("x", 8<<10))
	passed := 0
	for range 1000 {
		released, err := s.Accept(part)
		assert.NoError(t, err)
		passed += len(released)
	}
	assert.Equal(t, 1000*len(part), passed)
	assert.Equal(t, true, cap(s.line) <= 2*maxLineBytes)
	assert.Equal(t, true, cap(s.pending) <= 4*maxPendingBytes)
}
