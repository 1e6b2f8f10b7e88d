package endpoint

import (
	"strconv"
	"time"
)

// maxStatedColdTime bounds the time for which an answer may state that an endpoint stays cold.
const maxStatedColdTime = 10 * time.Minute

// staleEntryTime is how long after a restart an entry that the former process wrote may still arrive at the platform.
const staleEntryTime = time.Second

// ColdReason is why an endpoint counts as cold. The values are suffixes of counters.
type ColdReason string

// The reasons. NotCold stands for none.
const (
	NotCold ColdReason = ""
	// ColdByEntry and ColdByAnswer: the endpoint itself says so in its entry, or in the answer to a health check.
	ColdByEntry  ColdReason = "entry"
	ColdByAnswer ColdReason = "answer"
	// ColdAfterLoss: connections to it were refused or reset, and then one was opened.
	ColdAfterLoss ColdReason = "loss"
	// ColdAfterReturn: its entry came back, from another process or after a removal, and doesn't say whether it is cold.
	ColdAfterReturn ColdReason = "return"
	// ColdAfterEvacuation: the evacuation of its availability zone has ended.
	ColdAfterEvacuation ColdReason = "evacuation"
)

// ParseColdTime parses the milliseconds for which an endpoint states that it stays cold. It reports false for anything but a number of at least
// zero.
func ParseColdTime(value string) (time.Duration, bool) {
	milliseconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(milliseconds >= 0) {
		return 0, false
	}
	return time.Duration(min(milliseconds, float64(maxStatedColdTime.Milliseconds())) * float64(time.Millisecond)), true
}

// Cold is what one router knows about whether an endpoint is cold, which it is for some time after its start: it then fails under a load
// that it can take later. The longest of the times counts that its entry and its answers state and that the router presumes. The zero
// value is an endpoint that is not cold.
type Cold struct {
	// startedAt is the start of the process whose entry was read last, in Unix milliseconds.
	startedAt int64
	// entryUntil and answerUntil are the ends of the times that the entry and the answers state.
	entryUntil, answerUntil time.Time
	// presumedUntil is the end of the presumed time, which began at presumedAt for a reason.
	presumedAt, presumedUntil time.Time
	presumedFor               ColdReason
	// lostAt is when a connection was refused or reset and none was opened since; zero if that isn't so.
	lostAt time.Time
}

// EntryArrival describes how a router got an endpoint's entry.
type EntryArrival struct {
	ReadAt time.Time
	// WrittenAfter is a time after which the entry reached the platform; zero if that isn't known.
	WrittenAfter time.Time
}

// RecordEntry records an entry by the process that started at a time. coldFor is the time for which it says that the endpoint stays cold,
// which counts from when the entry was read. A presumption ends if the entry was written after it began.
func (c *Cold) RecordEntry(a EntryArrival, startedAt int64, coldFor time.Duration) {
	isAfter := func(t time.Time) bool { return !a.WrittenAfter.Before(t.Add(staleEntryTime)) }
	if startedAt != c.startedAt {
		isAfter = func(t time.Time) bool { return a.WrittenAfter.After(t) }
	}
	if isAfter(c.lostAt) {
		c.lostAt = time.Time{}
	}
	if isAfter(c.presumedAt) {
		c.presumedUntil = time.Time{}
	}
	c.startedAt, c.entryUntil = startedAt, a.ReadAt.Add(coldFor)
}

// RecordAnswer records that an answer states for how much longer the endpoint is cold.
func (c *Cold) RecordAnswer(now time.Time, coldFor time.Duration) {
	c.answerUntil = now.Add(coldFor)
}

// Presume presumes that the endpoint is cold for a time.
func (c *Cold) Presume(now time.Time, reason ColdReason, coldTime time.Duration) {
	c.presumedAt, c.presumedUntil, c.presumedFor = now, now.Add(coldTime), reason
}

// RecordLoss records that a connection was refused or reset.
func (c *Cold) RecordLoss(now time.Time) { c.lostAt = now }

// ForgetLoss records that the loss was not the endpoint's: this router was cut off.
func (c *Cold) ForgetLoss() { c.lostAt = time.Time{} }

// IsLost reports whether a connection was refused or reset and none was opened since.
func (c *Cold) IsLost() bool { return !c.lostAt.IsZero() }

// RecordConnection records a connection that works and was opened at a time, and reports whether the endpoint is now presumed to be cold
// because it was lost before. A connection from before the loss shows that the process has not ended.
func (c *Cold) RecordConnection(now, openedAt time.Time, coldTime time.Duration) bool {
	if !c.IsLost() {
		return false
	}
	isNew := openedAt.After(c.lostAt)
	c.lostAt = time.Time{}
	if isNew {
		c.Presume(now, ColdAfterLoss, coldTime)
	}
	return isNew
}

// TimeLeft returns for how much longer the endpoint counts as cold; zero or less if it isn't.
func (c *Cold) TimeLeft(now time.Time) time.Duration {
	return later(later(c.entryUntil, c.answerUntil), c.presumedUntil).Sub(now)
}

// Reason returns why the endpoint counts as cold, of several reasons the one that lasts longest.
func (c *Cold) Reason(now time.Time) ColdReason {
	until := later(later(c.entryUntil, c.answerUntil), c.presumedUntil)
	switch {
	case !until.After(now):
		return NotCold
	case until.Equal(c.entryUntil):
		return ColdByEntry
	case until.Equal(c.answerUntil):
		return ColdByAnswer
	default:
		return c.presumedFor
	}
}
