package unacked

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestIsSilent(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name string
		// reports come once a second.
		reports []Report
		// want is the index of the first report with which the peer is silent; -1 if there is none.
		want int
	}{
		{"everything is acknowledged", []Report{{}, {}, {}, {}, {}}, -1},
		{"data is on its way", []Report{{Bytes: 9}, {Bytes: 9, SinceAcknowledgment: second}, {Bytes: 9, SinceAcknowledgment: 9 * second}}, -1},
		{"a silent peer", []Report{
			{Bytes: 9, Retransmissions: 2, SinceAcknowledgment: second}, {Bytes: 9, Retransmissions: 3, SinceAcknowledgment: 2 * second},
			{Bytes: 9, Retransmissions: 4, SinceAcknowledgment: 3 * second}, {Bytes: 9, Retransmissions: 4, SinceAcknowledgment: 4 * second},
		}, 3},
		{"a peer that falls silent with a closed window", []Report{
			{Bytes: 9, SinceAcknowledgment: 6 * second}, {Bytes: 9, Probes: 1, SinceAcknowledgment: 7 * second}, {Bytes: 9, Probes: 1, SinceAcknowledgment: 8 * second},
			{Bytes: 9, Probes: 1, SinceAcknowledgment: 9 * second}, {Bytes: 9, Probes: 1, SinceAcknowledgment: 10 * second},
		}, 4},
		{"a closed window whose probes are acknowledged late", []Report{
			{Bytes: 9, Probes: 1, SinceAcknowledgment: 3 * second}, {Bytes: 9}, {Bytes: 9, SinceAcknowledgment: second}, {Bytes: 9, SinceAcknowledgment: 2 * second},
			{Bytes: 9, Probes: 1, SinceAcknowledgment: 6 * second}, {Bytes: 9, SinceAcknowledgment: second},
		}, -1},
		{"a link that loses packets", []Report{
			{Bytes: 9, Retransmissions: 1}, {Bytes: 9, Retransmissions: 1}, {Bytes: 9, Retransmissions: 2, SinceAcknowledgment: second},
			{Bytes: 9, Retransmissions: 1}, {Bytes: 9, Retransmissions: 1}, {Bytes: 9, Retransmissions: 1},
		}, -1},
		{"a peer that comes back", []Report{
			{Bytes: 9, Retransmissions: 2, SinceAcknowledgment: second}, {Bytes: 9, Retransmissions: 3, SinceAcknowledgment: 2 * second}, {Bytes: 0},
			{Bytes: 9, Retransmissions: 1, SinceAcknowledgment: 9 * second}, {Bytes: 9, Retransmissions: 2, SinceAcknowledgment: 9 * second},
		}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, now, got := Peer{}, time.Unix(1_800_000_000, 0), -1
			for i, r := range c.reports {
				if p.IsSilent(now, r) && got < 0 {
					got = i
				}
				now = now.Add(second)
			}
			assert.Equal(t, c.want, got)
		})
	}
}
