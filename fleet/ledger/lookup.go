package ledger

import "slices"

// prefetchBudgets looks up the budget of each record of a group before the first record is applied, and appends it to
// a buffer; nil if the budget can't be resolved yet. Budgets and their shares are usually in no processor cache. Each
// step of the lookup runs for all records before the next step, because independent memory reads overlap.
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

// candidateBudget returns the budget that a record refers to by name, or the budget of the open that a bill or release
// closes; nil if there is none. If the digests of two names collide, it may return the budget with the other name.
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

// budgetOfAttempt returns the budget of an incarnation's open, or nil if the attempt has no open.
func (s *State) budgetOfAttempt(m *member, attempt uint64) *budget {
	o, ok := m.opens[attempt]
	if !ok {
		return nil
	}
	return s.budgets.at(o.budgetSlot)
}

// findBudget returns the budget that a record refers to by name; nil if the record names none or an unknown one.
func (s *State) findBudget(record Record) *budget {
	name, ok := budgetNameOf(record)
	if !ok {
		return nil
	}
	return s.budgets.find(name)
}

// budgetNameOf returns the budget name in a record, and false if records of its type have none.
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
