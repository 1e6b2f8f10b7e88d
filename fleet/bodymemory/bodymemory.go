// Package bodymemory decides which bodies of requests a router holds in memory, which wait for room, and which are refused, so that
// many large bodies at once don't exceed the memory of the machine. It does no I/O and isn't safe for concurrent use.
//
// A body claims room once its first byte has arrived, and gives it back when its request has ended. Small bodies have a part of the
// room of their own and never wait behind large ones; within each class the order is that of arrival. While others wait, a body whose
// sender is so slow that it can't be complete in time is given up.
package bodymemory

import (
	"slices"
	"time"
)

const (
	// SmallBytes is the size up to which a body counts as small.
	SmallBytes = 256 << 10
	// smallDivisor is the part of the room that only small bodies get: one in smallDivisor bytes.
	smallDivisor = 4
	// maxQueueRounds bounds the bytes that wait, as a multiple of the room. A body behind more than that is refused at once.
	maxQueueRounds = 8
	// minObservation is how long a sender is observed before it may count as slow.
	minObservation = 500 * time.Millisecond
)

// Outcome is the decision on a claim.
type Outcome uint8

const (
	// Granted means that the body may be read.
	Granted Outcome = iota
	// Waits means that the body must not be read yet. It is granted by a later Release, unless it is withdrawn.
	Waits
	// Refused means that there is no room for the body, or will be none in time.
	Refused
)

// Claim is the room of one body.
type Claim struct {
	// Received is the number of bytes that have arrived; the owner updates it while the body is read.
	Received int64

	size, wanted int64
	// receivedBefore is the number of bytes that had arrived at observedAt, since when the sender is observed.
	receivedBefore int64
	observedAt     time.Time
	// place is the position in Budget.reading, counted from one; zero if the body isn't being read.
	place            int
	isWaiting, isCut bool
}

// Size returns the number of bytes that the claim holds.
func (c *Claim) Size() int64 { return c.size }

// Budget divides the memory for bodies. The zero value has no bound.
type Budget struct {
	// Bytes is the number of bytes for all bodies together; zero for no bound. It must not change while there are claims.
	Bytes int64
	// ReadTimeout is the time within which a body must arrive.
	ReadTimeout time.Duration

	small, large class
	// reading are the granted claims of bodies that aren't complete.
	reading []*Claim
}

// class are the small or the large bodies.
type class struct {
	// held is the number of bytes of granted claims, waitingBytes the number for which the claims that wait ask.
	held, waitingBytes int64
	waiting            []*Claim
}

// Held returns the number of bytes of all granted claims.
func (b *Budget) Held() int64 { return b.small.held + b.large.held }

// Waiting returns the number of claims that wait.
func (b *Budget) Waiting() int { return len(b.small.waiting) + len(b.large.waiting) }

// Extend asks that a claim hold size bytes in all. A claim that waits keeps what it holds already.
func (b *Budget) Extend(now time.Time, c *Claim, size int64) Outcome {
	c.wanted = max(size, c.size)
	class := b.classOf(c.wanted)
	switch {
	case b.Bytes <= 0:
	case c.wanted > b.roomOf(class):
		return Refused
	case len(class.waiting) == 0 && b.hasRoom(c):
	case class.waitingBytes+c.wanted > maxQueueRounds*b.roomOf(class):
		return Refused
	default:
		c.isWaiting = true
		class.waitingBytes += c.wanted
		class.waiting = append(class.waiting, c)
		return Waits
	}
	b.grant(now, c)
	return Granted
}

// Complete notes that the body has arrived as a whole, and gives back what its claim holds beyond it. It returns the claims that
// are granted by that.
func (b *Budget) Complete(now time.Time, c *Claim) []*Claim {
	b.stopReading(c)
	b.resize(c, min(c.size, c.Received))
	return b.grantWaiting(now)
}

// Release gives back all that a claim holds, or withdraws it if it waits. It returns the claims that are granted by that.
func (b *Budget) Release(now time.Time, c *Claim) []*Claim {
	b.withdraw(c)
	b.stopReading(c)
	b.resize(c, 0)
	return b.grantWaiting(now)
}

// Slowest returns the body to give up in favour of those that wait: the one with the lowest rate among those with which a whole body
// would not arrive within the read timeout. It returns nil if there is none, or if those given up before, which haven't been released yet,
// make room enough for the first that wait. Each claim is returned once.
func (b *Budget) Slowest(now time.Time) *Claim {
	missing := b.small.firstWanted() + b.large.firstWanted()
	if missing == 0 {
		return nil
	}
	var slowest *Claim
	least := 1.0
	for _, c := range b.reading {
		if c.isCut {
			missing -= c.size
			continue
		}
		if c.isWaiting || now.Sub(c.observedAt) < minObservation || !b.blocks(b.classOf(c.size)) {
			continue
		}
		if pace := c.pace(now, b.ReadTimeout); pace >= 1 {
			c.observe(now)
		} else if pace < least {
			slowest, least = c, pace
		}
	}
	if slowest == nil || missing <= 0 {
		return nil
	}
	slowest.isCut = true
	return slowest
}

// observe begins a new observation of the sender.
func (c *Claim) observe(now time.Time) { c.observedAt, c.receivedBefore = now, c.Received }

// pace returns the rate of the sender while it was observed, as a multiple of the rate with which the whole body arrives within a timeout.
func (c *Claim) pace(now time.Time, timeout time.Duration) float64 {
	expected := float64(c.size) * float64(now.Sub(c.observedAt)) / float64(timeout)
	return float64(c.Received-c.receivedBefore) / expected
}

// firstWanted returns the size of the claim that waits first; zero if none waits.
func (c *class) firstWanted() int64 {
	if len(c.waiting) == 0 {
		return 0
	}
	return c.waiting[0].wanted
}

// blocks reports whether a class holds what others wait for.
func (b *Budget) blocks(c *class) bool {
	return len(c.waiting) > 0 || c == &b.small && len(b.large.waiting) > 0 && c.held > b.roomOf(c)
}

// classOf returns the class of bodies of a size.
func (b *Budget) classOf(size int64) *class {
	if size <= SmallBytes {
		return &b.small
	}
	return &b.large
}

// roomOf returns the number of bytes that a class may hold while the other one waits.
func (b *Budget) roomOf(c *class) int64 {
	if c == &b.small {
		return b.Bytes / smallDivisor
	}
	return b.Bytes - b.Bytes/smallDivisor
}

// hasRoom reports whether a claim can be granted now. Small bodies take room outside of their own part only if no large one waits for it.
func (b *Budget) hasRoom(c *Claim) bool {
	class := b.classOf(c.wanted)
	if b.Held()+c.wanted-c.size > b.Bytes {
		return false
	}
	if class == &b.small && len(b.large.waiting) == 0 {
		return true
	}
	held := class.held
	if b.classOf(c.size) == class {
		held -= c.size
	}
	return held+c.wanted <= b.roomOf(class)
}

func (b *Budget) grant(now time.Time, c *Claim) {
	b.resize(c, c.wanted)
	c.observe(now)
	if c.place == 0 {
		b.reading = append(b.reading, c)
		c.place = len(b.reading)
	}
}

// resize changes the bytes that a claim holds, and with them perhaps its class.
func (b *Budget) resize(c *Claim, size int64) {
	b.classOf(c.size).held -= c.size
	b.classOf(size).held += size
	c.size = size
}

// grantWaiting grants the claims that wait for which there is room now, small ones first.
func (b *Budget) grantWaiting(now time.Time) []*Claim {
	var granted []*Claim
	for _, class := range []*class{&b.small, &b.large} {
		for len(class.waiting) > 0 && b.hasRoom(class.waiting[0]) {
			c := class.waiting[0]
			b.withdraw(c)
			b.grant(now, c)
			granted = append(granted, c)
		}
	}
	return granted
}

func (b *Budget) withdraw(c *Claim) {
	if !c.isWaiting {
		return
	}
	class := b.classOf(c.wanted)
	i := slices.Index(class.waiting, c)
	class.waiting = slices.Delete(class.waiting, i, i+1)
	class.waitingBytes -= c.wanted
	c.isWaiting = false
}

func (b *Budget) stopReading(c *Claim) {
	if c.place == 0 {
		return
	}
	last := b.reading[len(b.reading)-1]
	b.reading[c.place-1], last.place = last, c.place
	// A pointer left behind in the array would keep the body that the claim belongs to.
	b.reading[len(b.reading)-1] = nil
	b.reading = b.reading[:len(b.reading)-1]
	c.place = 0
}
