package operator

import "github.com/dragonflyworks/dragonflyworks/fleet/platform"

// Configuration is the fold of the configuration stream up to an offset. A configuration that
// was handed out is never changed; each accepted ticket makes a new one.
type Configuration struct {
	// Next is the offset of the first entry that is not folded in.
	Next platform.Offset
	// Number is the highest ticket number accepted.
	Number       uint64
	Teams        map[string]Team
	Budgets      map[string]NumberedBudget
	Routes       map[string]Route
	InstanceSets map[string]InstanceSet
	// TeamByKeyDigest finds a team by the hexadecimal SHA-256 digest of a bearer key.
	TeamByKeyDigest map[string]string
}

// NumberedBudget is a budget with the number of the ticket that set it.
type NumberedBudget struct {
	Budget
	Ticket uint64
}
