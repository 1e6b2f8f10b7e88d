package decision

import "github.com/dragonflyworks/dragonflyworks/fleet/ledger"

// crowdFactor divides what is available among the live routers, so that one draw in advance never
// takes what the others need at the same time.
const crowdFactor = 4

// excessFactor is how many times the expected demand a share may hold before the excess goes back.
const excessFactor = 4

// DrawInput is what the size of a draw depends on.
type DrawInput struct {
	// Waiting are the amounts of the requests that wait for a share, in their order of arrival.
	Waiting []ledger.Tokens
	// Free is what the share holds and nothing has reserved.
	Free ledger.Tokens
	// Expected is the measured demand within the horizon of a draw.
	Expected ledger.Tokens
	// Available is what the budget could grant at the newest offset read.
	Available ledger.Tokens
	// Routers is the number of live incarnations.
	Routers int
	// Contended says that unmet demand of any router was seen lately.
	Contended bool
}

// DrawSize is the size of a draw; nothing is drawn if Wanted is zero.
type DrawSize struct {
	Wanted  ledger.Tokens
	Minimum ledger.Tokens
}

// SizeDraw asks for what the waiting requests lack and, while the budget is neither low nor
// contended, for the demand expected next. The minimum pays for the smallest waiting request, so
// that a budget is spent down to the last request that it can pay for.
func SizeDraw(in DrawInput) DrawSize {
	needed := lacking(in.Waiting, in.Free)
	headroom := headroom(in)
	if len(in.Waiting) == 0 {
		if in.Free*2 >= in.Expected || headroom <= in.Free {
			return DrawSize{}
		}
		return DrawSize{Wanted: headroom - in.Free, Minimum: 1}
	}
	if needed <= 0 {
		return DrawSize{}
	}
	return DrawSize{Wanted: needed + headroom, Minimum: max(smallest(in.Waiting)-in.Free, 1)}
}

func lacking(waiting []ledger.Tokens, free ledger.Tokens) ledger.Tokens {
	sum := ledger.Tokens(0)
	for _, w := range waiting {
		sum += w
	}
	return sum - free
}

func smallest(waiting []ledger.Tokens) ledger.Tokens {
	least := waiting[0]
	for _, w := range waiting[1:] {
		least = min(least, w)
	}
	return least
}

// headroom is what is drawn in advance of requests.
func headroom(in DrawInput) ledger.Tokens {
	if in.Contended {
		return 0
	}
	return max(min(in.Expected, in.Available/ledger.Tokens(crowdFactor*max(in.Routers, 1))), 0)
}

// ReserveInput is what the draw of a reserve share depends on.
type ReserveInput struct {
	// Policy is the share that the budget's policy names.
	Policy ledger.Tokens
	// Held is the reserve share held already.
	Held      ledger.Tokens
	Available ledger.Tokens
	Routers   int
	Contended bool
}

// SizeReserve returns what to draw as a reserve share: the rest of the policy's share while the
// budget could grant as much to every router several times over, and nothing otherwise.
func SizeReserve(in ReserveInput) ledger.Tokens {
	missing := in.Policy - in.Held
	plentiful := in.Available >= in.Policy*ledger.Tokens(crowdFactor*max(in.Routers, 1))
	if in.Contended || missing <= 0 || !plentiful {
		return 0
	}
	return missing
}

// ReturnInput is what the size of a return depends on.
type ReturnInput struct {
	Free     ledger.Tokens
	Expected ledger.Tokens
	// Recalled says that a draw of another router was refused lately or that the budget is frozen.
	Recalled bool
	// Idle says that nothing was asked of the budget for its idle term.
	Idle bool
}

// SizeReturn returns how much of a share goes back to its budget: all of the free part once it is
// recalled or idle, and otherwise what exceeds the expected demand several times over.
func SizeReturn(in ReturnInput) ledger.Tokens {
	if in.Recalled || in.Idle {
		return max(in.Free, 0)
	}
	if in.Free > in.Expected*excessFactor {
		return in.Free - in.Expected
	}
	return 0
}
