package ledger

import "slices"

// lookUp appends the budgets that the records of a group name to a buffer, before the first of them is applied.
// Each step reads memory that no cache of the processor holds. It is taken for all records before the next
// step, because reads that don't wait for each other overlap.
func (s *State) lookUp(m *member, g *Group, found []*budget) []*budget {
	found = slices.Grow(found, len(g.Records))
	for _, r := range g.Records {
		found = append(found, s.candidate(m, r))
	}
	for i, r := range g.Records {
		if name, ok := budgetOf(r); ok && found[i] != nil && found[i].name != name {
			found[i] = nil
		}
	}
	for _, b := range found {
		if b != nil {
			b.shareOf(m)
		}
	}
	return found
}

// candidate returns the budget that a record names, unless the digest of another one collides with it, or the one
// of the open that it closes; nil if it has none yet.
func (s *State) candidate(m *member, record Record) *budget {
	switch r := record.(type) {
	case *Bill:
		return s.budgetOfAttempt(m, r.Attempt)
	case *Release:
		return s.budgetOfAttempt(m, r.Attempt)
	}
	if name, ok := budgetOf(record); ok {
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
	return s.budgets.at(o.budget)
}

// budget returns the budget that a record names; nil if it names none or one that isn't known.
func (s *State) budget(record Record) *budget {
	name, ok := budgetOf(record)
	if !ok {
		return nil
	}
	return s.budgets.find(name)
}

// budgetOf returns the name of the budget that a record names; false if it names none.
func budgetOf(record Record) (string, bool) {
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
