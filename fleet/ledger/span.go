package ledger

import "slices"

// span is an inclusive range of sequence numbers.
type span struct{ From, To uint64 }

// recordGap adds the sequence numbers between the last applied record and the first buffered group to the missing
// ones, if there are any.
func (m *member) recordGap() {
	if lastMissing := m.buffered[0].First - 1; lastMissing > m.applied {
		m.missing = append(m.missing, span{From: m.applied + 1, To: lastMissing})
	}
}

// removeMissing removes a range of sequence numbers from the missing ones. It returns false and changes nothing if
// any of them isn't missing.
func (m *member) removeMissing(from, to uint64) bool {
	for i, gap := range m.missing {
		if from < gap.From || to > gap.To {
			continue
		}
		var rest []span
		if from > gap.From {
			rest = append(rest, span{From: gap.From, To: from - 1})
		}
		if to < gap.To {
			rest = append(rest, span{From: to + 1, To: gap.To})
		}
		m.missing = slices.Replace(m.missing, i, i+1, rest...)
		return true
	}
	return false
}
