package ledger

import "slices"

// prefetchBudgets appends the budgets that the records of a group name to a buffer, before the first of them is applied.
// Each step reads memory that no cache of the processor holds. It is taken for all records before the next
// step, because reads that don't wait for each other overlap.
func (s *State) prefetchBudgets(m *member, g *Group, buffer []*budget) []*budget {
	buffer = slices.Grow(buffer, len(g.Records))
	for _, r := range g.Records {
		buffer = append(buffer, s.candidateBudget(m, r))
	}
	for i, r := range g.Records {
		if name, ok := budgetNameOf(r); ok && buffer[i] != nil && buffer[i].name != name {
			buffer[i] = nil
		}
	}
	for _, b := range buffer {
		if b != nil {
			b.shareOf(m)
		}
	}
	return buffer
}

// candidateBudget returns the budget that a record names, unless the digest of another one collides with it, or the one
// of the open that it closes; nil if it has none yet.
func (s *State) candidateBudget(m *member, record Record) *budget {
	switch r := record.(type) {
	case *Bill:
		return s.budgetOfAttempt(m, r.Attempt)
	case *Release:
		return s.budgetOfAttempt(m, r.Attempt)
	}
	if name, ok := budgetNameOf(record); ok {
		return s.budgets.candidate(name)
	}
	return nil
}

// budgetOfAttempt returns the budget of an open of an incarnation; nil if there is none.
func (s *State) budgetOfAttempt(m *member, attempt uint64) *budget {
	o, ok := m.opens[attempt]
	if !ok {
		return nil
	}
	return s.budgets.at(o.budgetSlot)
}

// findBudget returns the findBudget that a record names; nil if it names none or one that isn't known.
func (s *State) findBudget(record Record) *budget {
	name, ok := budgetNameOf(record)
	if !ok {
		return nil
	}
	return s.budgets.find(name)
}

// budgetNameOf returns the name of the budget that a record names; false if it names none.
func budgetNameOf(record Record) (string, bool) {
	switch r := record.(type) {
	case *Prepaid:
		return r.Budget, true
	case *Draw:
		return r.Budget, true
	case *Return:
		return r.Budget, true
	case *Open:
		return r.Budget, true
	default:
		return "", false
	}
}
