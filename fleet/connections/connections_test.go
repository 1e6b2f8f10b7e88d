package connections

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// longHead returns the beginning of a head that takes room.
func longHead() []byte { return []byte("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 10_000)) }

func TestHead(t *testing.T) {
	for _, c := range []struct {
		name, data string
		want       head
	}{
		{"a line", "GET / HTTP/1.1\r\n", head{bytes: 16, lines: 1, hasBegun: true}},
		{"a head with a body", "GET / HTTP/1.1\r\nA: b\r\n\r\nbody\n\n\n", head{bytes: 24, lines: 3, hasBegun: true, isComplete: true}},
		{"lines without carriage returns", "GET / HTTP/1.1\nA: b\n\nbody", head{bytes: 21, lines: 3, hasBegun: true, isComplete: true}},
		{"empty lines", "\r\n\n\r\n", head{bytes: 5, lines: 3}},
		{"empty lines before a head", "\r\nGET / HTTP/1.1\r\n\r\n", head{bytes: 20, lines: 3, hasBegun: true, isComplete: true}},
		{"a part of a line", "GET", head{bytes: 3, lineBytes: 3, hasBegun: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			whole := head{}
			whole.scan([]byte(c.data))
			assert.Equal(t, c.want.isComplete, whole.isComplete)
			assert.Equal(t, c.want.lines, whole.lines)
			assert.Equal(t, c.want.bytes, whole.bytes)
			pieces := head{}
			for _, b := range []byte(c.data) {
				pieces.scan([]byte{b})
			}
			assert.Equal(t, whole.isComplete, pieces.isComplete)
			assert.Equal(t, whole.lines, pieces.lines)
			assert.Equal(t, whole.bytes, pieces.bytes)
		})
	}
}

// TestOldestHeadGoesFirst guards against new clients that find no room because others don't complete their heads.
func TestOldestHeadGoesFirst(t *testing.T) {
	table, now := &Table{Limits: Limits{HeadMemory: 70_000}}, time.Now()
	var open [3]Connection
	for i := range open {
		_, ok := table.Add(now.Add(time.Duration(i)), &open[i])
		assert.Equal(t, true, ok)
	}
	for i := range open {
		outcome, victims := table.Receive(now, &open[i], longHead())
		assert.Equal(t, Continues, outcome)
		assert.Equal(t, i == 2, len(victims) == 1 && victims[0] == &open[0])
	}
	assert.Equal(t, false, open[0].IsOpen())
	assert.Equal(t, 2, table.Count())
}

// TestHeadsOfRequestsInProgress guards against heads that are forgotten once they are complete: their requests still hold them.
func TestHeadsOfRequestsInProgress(t *testing.T) {
	table, now := &Table{Limits: Limits{HeadMemory: 70_000}}, time.Now()
	var open [3]Connection
	for i := range open {
		table.Add(now, &open[i])
	}
	for i := range 2 {
		table.Receive(now, &open[i], longHead())
		table.Serve(&open[i])
	}
	outcome, victims := table.Receive(now, &open[2], []byte("GET / HTTP/1.1\r\n"))
	assert.Equal(t, Continues, outcome)
	outcome, _ = table.Receive(now, &open[2], longHead())
	assert.Equal(t, NoMemory, outcome)
	assert.Equal(t, 0, len(victims))
	table.EndRequest(now, &open[0])
	outcome, _ = table.Receive(now, &open[2], nil)
	assert.Equal(t, Continues, outcome)
}

func TestTooManyLines(t *testing.T) {
	table, c := &Table{Limits: Limits{HeadLines: 10}}, &Connection{}
	table.Add(time.Now(), c)
	outcome, _ := table.Receive(time.Now(), c, []byte("GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 9)))
	assert.Equal(t, Continues, outcome)
	outcome, _ = table.Receive(time.Now(), c, []byte("a:\r\n"))
	assert.Equal(t, TooManyLines, outcome)
	t.Run("in a body", func(t *testing.T) {
		c := &Connection{}
		table.Add(time.Now(), c)
		outcome, _ := table.Receive(time.Now(), c, []byte("GET / HTTP/1.1\r\n\r\n"+strings.Repeat("\n", 1000)))
		assert.Equal(t, Continues, outcome)
	})
}

// TestTooManyConnections guards against clients that keep others out, and against the loss of connections in use for such clients.
func TestTooManyConnections(t *testing.T) {
	table, now := &Table{Limits: Limits{Connections: 2}}, time.Now()
	serving, idle, silent := &Connection{}, &Connection{}, &Connection{}
	for _, c := range []*Connection{serving, idle} {
		table.Add(now, c)
		table.Receive(now, c, []byte("GET / HTTP/1.1\r\n\r\n"))
		table.Serve(c)
	}
	victim, ok := table.Add(now, silent)
	assert.Equal(t, true, victim == nil && !ok && !silent.IsOpen())
	table.EndRequest(now, idle)
	silent = &Connection{}
	victim, ok = table.Add(now, silent)
	assert.Equal(t, true, victim == idle && ok)
	table.EndRequest(now, serving)
	table.Receive(now, serving, []byte("GET"))
	table.Serve(serving)
	table.EndRequest(now, serving)
	victim, ok = table.Add(now.Add(minHeadAge), &Connection{})
	assert.Equal(t, true, victim == silent && ok)
	assert.Equal(t, 2, table.Count())
}

// TestHeldBackConnections guards against unread bytes beyond their memory, and against the loss of connections that hold little.
func TestHeldBackConnections(t *testing.T) {
	table := &Table{Limits: Limits{ReceiveBytes: 100, UnreadMemory: 250}}
	var open [4]Connection
	unread := make(map[*Connection]int64)
	for i, bytes := range []int64{50, 100, 80, 90} {
		assert.Equal(t, i > 2, table.MayHoldTooMuch())
		table.Add(time.Now(), &open[i])
		unread[&open[i]] = bytes
	}
	held := table.RemoveHeldBack(unread)
	assert.Equal(t, true, len(held) == 1 && held[0] == &open[1])
	assert.Equal(t, 0, len(table.RemoveHeldBack(unread)))
	assert.Equal(t, 3, table.Count())
}

func TestCallerLimits(t *testing.T) {
	for _, c := range []struct {
		name          string
		memory        int64
		sockets, want int
	}{
		{"few descriptors", 1 << 30, 800, 600}, {"little memory", 112 << 20, 100_000, 1194}, {"nothing known", 0, 0, 0}, {"no memory known", 0, 800, 600},
		{"no descriptors known", 112 << 20, 0, 1194},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, CallerLimits(c.memory, c.sockets).Connections) })
	}
}

// TestTableProperties guards against sums that differ from what the connections hold, whatever the order of events.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &Table{Limits: Limits{Connections: 8, HeadMemory: 100_000, HeadLines: 50}}
		open, now := make([]Connection, 20), time.Unix(0, 0)
		added := make([]bool, len(open))
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(open)-1).Draw(t, "connection")
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
			if !added[i] {
				added[i] = true
				table.Add(now, &open[i])
				continue
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				table.Receive(now, &open[i], longHead()[:rapid.IntRange(1, 10_000).Draw(t, "bytes")])
			case 1:
				table.Serve(&open[i])
			case 2:
				table.EndRequest(now, &open[i])
			case 3:
				table.Remove(&open[i])
			}
		}
		count, room := 0, int64(0)
		for i := range open {
			if added[i] && open[i].IsOpen() {
				count, room = count+1, room+open[i].room
			}
		}
		if count != table.Count() || room != table.headRoom || count > table.Limits.Connections {
			t.Fatalf("%d connections and %d bytes of heads, the table has %d and %d", count, room, table.Count(), table.headRoom)
		}
		if table.unfinished.Len()+table.waiting.Len() > count {
			t.Fatalf("%d and %d connections in lists, of %d", table.unfinished.Len(), table.waiting.Len(), count)
		}
	})
}
