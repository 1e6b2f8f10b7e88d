package http1

import (
	"fmt"
	"strings"
	"time"
)

const (
	// adoptMargin is the time before the end of a response up to which another connection must have been opened to belong to the same process.
	adoptMargin = 100 * time.Millisecond
	// lossMargin is the time before the end of a response from which on the losses of other connections may show the end of the process: lost packets
	// delay the end of a connection.
	lossMargin = 1 * time.Second
	// maxLossSpread is the time within which connections are lost together at most: the sockets of a process that ends are closed one after the other.
	maxLossSpread = 150 * time.Millisecond
	// lossSpreadShare is that time as a share of the time between their openings. A time-out of idle connections ends them as they were opened.
	lossSpreadShare = 0.6
	// endSpread is the time within which a single connection and a response end together.
	endSpread = 50 * time.Millisecond
	// onlyAge is the age up to which the only witness isn't lost to a time-out of idle connections.
	onlyAge = 250 * time.Millisecond
)

// otherConnection is what is known of another connection to a server at the end of a response.
type otherConnection struct {
	// openedAt is when the connection was opened, lostAt when the server ended it; zero if it is open.
	openedAt, lostAt time.Time
	// isOutlasted reports whether a part of the response arrived after the loss, isOnly whether it was the only witness from its opening on.
	isOutlasted, isOnly bool
	// isWitness reports whether nothing is sent on it. isTold reports whether the kernel told its state, or when it was lost; else reads did.
	isWitness, isTold bool
}

// describe returns what is known of the connection, with times in milliseconds before the end of a response.
func (c *otherConnection) describe(endedAt time.Time) string {
	words := []string{"connection"}
	if c.isWitness {
		words[0] = "witness"
	}
	words = append(words, fmt.Sprintf("opened %d ms before", endedAt.Sub(c.openedAt).Milliseconds()))
	if c.lostAt.IsZero() {
		words = append(words, "open")
	} else {
		words = append(words, fmt.Sprintf("lost %d ms before", endedAt.Sub(c.lostAt).Milliseconds()))
	}
	for _, fact := range []struct {
		holds bool
		word  string
	}{{!c.isTold, "by reads only"}, {c.isOutlasted, "data arrived after that"}, {c.isOnly, "no other witness"}} {
		if fact.holds {
			words = append(words, fact.word)
		}
	}
	return strings.Join(words, ", ")
}

// describeAll returns what is known of connections at the end of a response.
func describeAll(endedAt time.Time, others []otherConnection) string {
	if len(others) == 0 {
		return "no other connections known"
	}
	descriptions := make([]string, 0, len(others))
	for _, c := range others {
		descriptions = append(descriptions, c.describe(endedAt))
	}
	return strings.Join(descriptions, "; ")
}

// processState is what other connections tell of a server's process at the end of a response.
type processState int

const (
	// processUnknown: nothing shows whether the process goes on.
	processUnknown processState = iota
	// processGoesOn: another connection is open.
	processGoesOn
	// processEnded: nothing of the response arrived after a loss of connections that were opened at different times and lost together, or of the only
	// one, which is too young for a time-out and was lost with the end of the response.
	processEnded
)

// judgeProcess tells whether a server's process outlasted a response that ended at a time. The loss of a single connection shows nothing: servers close idle
// connections one by one at their time-outs, or all of them when they stop or have many requests, and finish responses after that.
func judgeProcess(endedAt time.Time, others []otherConnection) processState {
	state := processUnknown
	for i, c := range others {
		if c.lostAt.IsZero() && endedAt.Sub(c.openedAt) > adoptMargin {
			return processGoesOn
		}
		if c.mayShowEnd(endedAt) && c.isTooYoungForTimeout() && endedAt.Sub(c.lostAt).Abs() <= endSpread {
			state = processEnded
		}
		for _, d := range others[:i] {
			if c.mayShowEnd(endedAt) && d.mayShowEnd(endedAt) && c.isLostWith(&d) {
				state = processEnded
			}
		}
	}
	return state
}

// mayShowEnd reports whether the connection may have been lost at the end of the process that the response ended with.
func (c *otherConnection) mayShowEnd(endedAt time.Time) bool {
	return !c.lostAt.IsZero() && !c.isOutlasted && endedAt.Sub(c.lostAt) <= lossMargin
}

// isTooYoungForTimeout reports whether a lost connection was too young to be closed at a time-out of idle connections. Of several witnesses the second one
// tells that.
func (c *otherConnection) isTooYoungForTimeout() bool {
	return c.isOnly && c.lostAt.Sub(c.openedAt) < onlyAge
}

// isLostWith reports whether two connections were lost together that would not have been lost so at a time-out of idle connections.
func (c *otherConnection) isLostWith(d *otherConnection) bool {
	spread := time.Duration(lossSpreadShare * float64(c.openedAt.Sub(d.openedAt).Abs()))
	return c.lostAt.Sub(d.lostAt).Abs() < min(spread, maxLossSpread)
}
