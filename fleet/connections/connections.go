// Package connections decides which connections of clients a process keeps, so that clients that don't complete their requests take neither its
// memory nor its descriptors. It does no I/O and isn't safe for concurrent use.
//
// A client of ordinary speed sends the head of a request in one packet, so that a head which is long and unfinished is rarely that of an ordinary
// client. When the memory for heads or the number of connections is used up, the connection that has been in an unfinished head for longest goes
// first.
package connections

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

const (
	// bytesFactor is the memory that a byte of a head takes when it is parsed, lineBytes that of a line beside its bytes.
	bytesFactor = 3
	lineBytes   = 200
	// freeRoom is the memory up to which a head counts as short and takes no room.
	freeRoom = 16 << 10
	// minHeadAge is the age from which a client without a complete request goes before clients that have had an answer.
	minHeadAge = time.Second
)

// Limits are the bounds of a Table. Zero stands for none.
type Limits struct {
	// Connections is the number of connections.
	Connections int
	// HeadMemory is the memory in bytes for the heads of requests, except for short ones. It holds for a head until its request has ended.
	HeadMemory int64
	// HeadLines is the number of lines that a head may have.
	HeadLines int
	// ReceiveBytes is the size of a connection's receive buffer, BodyReceiveBytes that of one on which a long body is being read. The kernel may
	// hold twice as much.
	ReceiveBytes, BodyReceiveBytes int64
	// UnreadMemory is the memory in bytes for what the process has received and not yet read on all connections together.
	UnreadMemory int64
}

// Outcome is the decision on bytes that have arrived.
type Outcome uint8

const (
	// Continues means that the connection goes on.
	Continues Outcome = iota
	// TooManyLines means that the head has too many lines.
	TooManyLines
	// NoMemory means that there is no memory for the head.
	NoMemory
)

// state is what a connection waits for.
type state uint8

const (
	// unfinished connections have a part of a head, or haven't had a complete request yet.
	unfinished state = iota
	// idle connections have had answers and wait for the next request, of which nothing has arrived.
	idle
	// serving connections have a request in progress.
	serving
	closed
)

// Connection is a client's connection. Its owner embeds it or keeps it beside the socket.
type Connection struct {
	state state
	since time.Time
	// entry is the connection's place in the list of its state; nil while a request is served.
	entry *list.Element
	// head is what has arrived of the present head, which takes room bytes of memory.
	head head
	room int64
}

// Table holds the connections of a process.
type Table struct {
	Limits Limits

	count    int
	headRoom int64
	// unfinished and waiting are the connections that are unfinished and idle, the oldest first.
	unfinished, waiting list.List
}

// Count returns the number of connections.
func (t *Table) Count() int { return t.count }

// Add adds a new connection. It returns the connection to close for it, or nil, and false if the new one has to be closed.
func (t *Table) Add(now time.Time, c *Connection) (*Connection, bool) {
	var victim *Connection
	if t.Limits.Connections > 0 && t.count >= t.Limits.Connections {
		if victim = t.leastUseful(now); victim == nil {
			c.state = closed
			return nil, false
		}
		t.Remove(victim)
	}
	t.count++
	t.enter(now, c, unfinished)
	return victim, true
}

// Receive notes data that has arrived on a connection. It returns the connections to close.
func (t *Table) Receive(now time.Time, c *Connection, data []byte) (Outcome, []*Connection) {
	if c.state == serving || c.state == closed {
		return Continues, nil
	}
	if c.state == idle {
		t.enter(now, c, unfinished)
	}
	c.head.scan(data)
	if t.Limits.HeadLines > 0 && c.head.lines > t.Limits.HeadLines {
		return TooManyLines, nil
	}
	return t.extend(c)
}

// extend gives a head the room that it needs, if need be that of heads which have been unfinished for longer.
func (t *Table) extend(c *Connection) (Outcome, []*Connection) {
	needed := int64(bytesFactor*c.head.bytes + lineBytes*c.head.lines)
	if needed <= freeRoom {
		needed = 0
	}
	t.headRoom += needed - c.room
	c.room = needed
	if t.Limits.HeadMemory <= 0 {
		return Continues, nil
	}
	var victims []*Connection
	for e := t.unfinished.Front(); e != nil && t.headRoom > t.Limits.HeadMemory; {
		other := e.Value.(*Connection)
		e = e.Next()
		if other != c && other.room > 0 {
			t.Remove(other)
			victims = append(victims, other)
		}
	}
	if t.headRoom > t.Limits.HeadMemory && c.room > 0 {
		return NoMemory, victims
	}
	return Continues, victims
}

// Serve notes that a head is complete and its request in progress.
func (t *Table) Serve(c *Connection) {
	if c.state != closed {
		t.leave(c)
		c.state = serving
	}
}

// EndRequest notes that a request has ended and the connection waits for the next one.
func (t *Table) EndRequest(now time.Time, c *Connection) {
	if c.state == closed {
		return
	}
	t.headRoom -= c.room
	c.head, c.room = head{}, 0
	t.enter(now, c, idle)
}

// Remove removes a connection. It has no effect on one that was removed before.
func (t *Table) Remove(c *Connection) {
	if c.state == closed {
		return
	}
	t.leave(c)
	c.state = closed
	t.count--
	t.headRoom -= c.room
}

// IsOpen reports whether a connection was added and not removed since.
func (c *Connection) IsOpen() bool { return c.state != closed }

// leastUseful returns the connection to close if there are too many, or nil if all have requests in progress.
func (t *Table) leastUseful(now time.Time) *Connection {
	oldest, longestIdle := t.unfinished.Front(), t.waiting.Front()
	switch {
	case oldest != nil && (longestIdle == nil || now.Sub(oldest.Value.(*Connection).since) >= minHeadAge):
		return oldest.Value.(*Connection)
	case longestIdle != nil:
		return longestIdle.Value.(*Connection)
	default:
		return nil
	}
}

// MayHoldTooMuch reports whether there are so many connections that their receive buffers together can exceed the memory for unread bytes.
func (t *Table) MayHoldTooMuch() bool {
	largest := max(t.Limits.ReceiveBytes, t.Limits.BodyReceiveBytes)
	return t.Limits.UnreadMemory > 0 && int64(t.count)*largest > t.Limits.UnreadMemory
}

// RemoveHeldBack removes the connections on which most is unread until the memory for unread bytes suffices for the others. It returns them.
// unread are the unread bytes of connections.
func (t *Table) RemoveHeldBack(unread map[*Connection]int64) []*Connection {
	total := int64(0)
	candidates := make([]*Connection, 0, len(unread))
	for c, bytes := range unread {
		if c.IsOpen() && bytes > 0 {
			total += bytes
			candidates = append(candidates, c)
		}
	}
	if t.Limits.UnreadMemory <= 0 || total <= t.Limits.UnreadMemory {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *Connection) int { return cmp.Compare(unread[b], unread[a]) })
	for i, c := range candidates {
		if total <= t.Limits.UnreadMemory {
			return candidates[:i]
		}
		t.Remove(c)
		total -= unread[c]
	}
	return candidates
}

// enter puts a connection last into the list of a state.
func (t *Table) enter(now time.Time, c *Connection, s state) {
	t.leave(c)
	c.state, c.since = s, now
	c.entry = t.listOf(s).PushBack(c)
}

// leave takes a connection out of the list of its state.
func (t *Table) leave(c *Connection) {
	if c.entry == nil {
		return
	}
	t.listOf(c.state).Remove(c.entry)
	c.entry = nil
}

// listOf returns the list of the connections without a request in progress that are in a state.
func (t *Table) listOf(s state) *list.List {
	if s == idle {
		return &t.waiting
	}
	return &t.unfinished
}
