package ledger

import (
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// TestBudgetsWithOneDigest guards against records that change the wrong budget when the digests of two names collide,
// also when both budgets are added by the group that uses them.
func TestBudgetsWithOneDigest(t *testing.T) {
	names := make(map[uint32]string)
	first, second := "", ""
	for n := 0; second == ""; n++ {
		name := budgetName(n)
		if first = names[nameDigest(name)]; first != "" {
			second = name
		}
		names[nameDigest(name)] = name
	}
	s := newStream(t)
	s.write(t, router(1),
		&Prepaid{Budget: first, Ticket: 1, Total: 10}, &Prepaid{Budget: second, Ticket: 1, Total: 20},
		&Prepaid{Budget: second, Ticket: 2, Total: 30}, &Prepaid{Budget: first, Ticket: 2, Total: 40})
	s.write(t, router(1), &Draw{Budget: second, Wanted: 5, Minimum: 1}, &Draw{Budget: first, Wanted: 7, Minimum: 1})
	for name, expected := range map[string][2]Tokens{first: {40, 7}, second: {30, 5}} {
		view, _ := s.state.Budget(name)
		assert.Equal(t, expected, [2]Tokens{view.Prepaid, view.Shared})
	}
}

// TestLineNumbersWrap guards against requests that are lost or never evicted when the element numbers of a closedQueue
// wrap around after 31 bits.
func TestLineNumbersWrap(t *testing.T) {
	const firstNumber, elementCount = elementNumberMask + 1 - closedChunkSize, 3 * closedChunkSize
	var table requestTable
	table.closed[nonIdempotentQueue] = closedQueue{firstNumber: firstNumber, nextNumber: firstNumber}
	for n := range elementCount {
		table.addClosed(nonIdempotentQueue, closedRequest{id: numberedRequest(n), closedOffset: platform.Offset(n)})
	}
	assert.Equal(t, uint64(elementCount/2), table.evictExpired(elementCount, Window{NonIdempotent: elementCount / 2}))
	for n := range elementCount {
		q, ok := table.find(numberedRequest(n))
		assert.Equal(t, n >= elementCount/2, ok)
		assert.Equal(t, ok, q.billed)
	}
	assert.Equal(t, 2, len(table.closed[nonIdempotentQueue].chunks))
}
