// Package unacked decides, for data that a peer has not acknowledged, whether the peer is silent or only reads slowly. It does no I/O.
//
// TCP can't tell the two apart by the time for which data waits: a peer that doesn't read closes its window, for as long as it likes, but
// acknowledges each probe of it. A peer that has lost its power or its network acknowledges nothing.
package unacked

import "time"

// SilenceTimeout is how long a peer may leave packets unanswered until it counts as silent: several round trips between regions with a lost
// packet.
const SilenceTimeout = 2500 * time.Millisecond

// Report is what the kernel knows of a connection.
type Report struct {
	// Bytes is the number of bytes that wait to be sent or acknowledged.
	Bytes int
	// Retransmissions and Probes are the numbers of packets that were sent again, or to ask for the peer's window, since the last
	// acknowledgement.
	Retransmissions, Probes int
	// SinceAcknowledgment is the time since the last acknowledgement arrived.
	SinceAcknowledgment time.Duration
}

// Peer is the other end of a connection. The zero value has acknowledged everything.
type Peer struct {
	// unansweredSince is when a packet was first found unanswered; zero if none is.
	unansweredSince time.Time
}

// IsSilent records a report and reports whether the peer is silent. Reports should come several times in SilenceTimeout.
func (p *Peer) IsSilent(now time.Time, r Report) bool {
	if r.Bytes == 0 || r.Retransmissions == 0 && r.Probes == 0 {
		p.unansweredSince = time.Time{}
		return false
	}
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	// Packets may be lost again and again, and a probe may be on its way at each report.
	return now.Sub(p.unansweredSince) >= SilenceTimeout && r.SinceAcknowledgment >= SilenceTimeout
}
