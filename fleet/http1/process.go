package http1

import "time"

const (
	// adoptMargin is the time before the end of a response up to which another connection must have been opened to belong to the same process.
	adoptMargin = 100 * time.Millisecond
	// lossMargin is the time before the end of a response from which on the losses of other connections may show the end of the process: lost packets
	// delay the end of a connection.
	lossMargin = 1 * time.Second
	// sameLossMargin is the time within which connections are lost together. It is below witnessInterval, so that a time-out of idle connections doesn't
	// end two witnesses together.
	sameLossMargin = 50 * time.Millisecond
	// youngAge is the age up to which a connection isn't lost to a time-out of idle connections.
	youngAge = 150 * time.Millisecond
)

// otherConnection is what is known of another connection to a server at the end of a response.
type otherConnection struct {
	// openedAt is when the connection was opened, lostAt when the server ended it; zero if it is open.
	openedAt, lostAt time.Time
	// isOutlasted reports whether a part of the response arrived after the loss.
	isOutlasted bool
}

// processState is what other connections tell of a server's process at the end of a response.
type processState int

const (
	// processUnknown: nothing shows whether the process goes on.
	processUnknown processState = iota
	// processGoesOn: another connection is open.
	processGoesOn
	// processEnded: nothing of the response arrived after a loss of connections that were opened at different times and lost together, or of one that
	// is too young for a time-out and was lost with the end of the response.
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
		if c.mayShowEnd(endedAt) && c.lostAt.Sub(c.openedAt) < youngAge && endedAt.Sub(c.lostAt) <= sameLossMargin {
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

// isLostWith reports whether two connections that were opened at different times were lost together.
func (c *otherConnection) isLostWith(d *otherConnection) bool {
	return c.openedAt.Sub(d.openedAt).Abs() > sameLossMargin && c.lostAt.Sub(d.lostAt).Abs() <= sameLossMargin
}
