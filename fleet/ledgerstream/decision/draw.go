package decision

import "github.com/dragonflyworks/dragonflyworks/fleet/ledger"

// availabilityFactor limits a draw in advance of requests to 1/(4 × live routers) of the available tokens, so that
// other routers can draw at the same time. A reserve share is drawn only while the budget can grant one of the same
// size 4 times to every live router.
const availabilityFactor = 4

// excessFactor is how many times the expected demand a share may hold before the router returns the excess to the
// budget.
const excessFactor = 4

// DrawInput is the input of SizeDraw. All amounts are in tokens.
type DrawInput struct {
	// Waiting holds the amounts of the requests that wait for a share, in order of arrival.
	Waiting []ledger.Tokens
	// Free is the unreserved part of the router's working share.
	Free ledger.Tokens
	// Expected is the demand predicted for the draw horizon.
	Expected ledger.Tokens
	// Available is the number of tokens that the budget can still grant, as of the newest offset read, including the
	// free tokens of the router's shares that are returned in the same group before the draw.
	Available ledger.Tokens
	// Routers is the number of live incarnations, among which the available tokens are divided.
	Routers int
	// Contended reports whether the budget recently refused a draw of any router.
	Contended bool
}

// DrawSize is the requested and the smallest acceptable amount of a draw in tokens. A Wanted of 0 means that no
// draw is needed.
type DrawSize struct {
	Wanted  ledger.Tokens
	Minimum ledger.Tokens
}

// SizeDraw returns a draw that covers the waiting requests and, unless the budget is low or contended, the expected
// demand. Its minimum covers the smallest waiting request, so that a budget can be spent down to the last request
// that it can pay for.
func SizeDraw(in DrawInput) DrawSize {
	needed := missingTokens(in.Waiting, in.Free)
	advance := advanceTokens(in)
	if len(in.Waiting) == 0 {
		if in.Free*2 >= in.Expected || advance <= in.Free {
			return DrawSize{}
		}
		return DrawSize{Wanted: advance - in.Free, Minimum: 1}
	}
	if needed <= 0 {
		return DrawSize{}
	}
	return DrawSize{Wanted: needed + advance, Minimum: max(smallestAmount(in.Waiting)-in.Free, 1)}
}

func missingTokens(waiting []ledger.Tokens, free ledger.Tokens) ledger.Tokens {
	sum := ledger.Tokens(0)
	for _, w := range waiting {
		sum += w
	}
	return sum - free
}

func smallestAmount(waiting []ledger.Tokens) ledger.Tokens {
	minimum := waiting[0]
	for _, w := range waiting[1:] {
		minimum = min(minimum, w)
	}
	return minimum
}

// advanceTokens returns the amount to draw in advance of requests: the expected demand, bounded by the router's
// part of the available tokens, or 0 if the budget is contended.
func advanceTokens(in DrawInput) ledger.Tokens {
	if in.Contended {
		return 0
	}
	return max(min(in.Expected, in.Available/ledger.Tokens(availabilityFactor*max(in.Routers, 1))), 0)
}

// ReserveInput is the input of SizeReserve. Available, Routers and Contended are the same as in DrawInput.
type ReserveInput struct {
	// Policy is the size of each router's reserve share, in tokens, according to the budget's reserve policy.
	Policy ledger.Tokens
	// Held is the size of the router's current reserve share in tokens.
	Held      ledger.Tokens
	Available ledger.Tokens
	Routers   int
	Contended bool
}

// SizeReserve returns the tokens to draw for the reserve share. It tops the share up to the policy's size only
// while the budget could grant that size four times to every live router, and returns 0 otherwise.
func SizeReserve(in ReserveInput) ledger.Tokens {
	missing := in.Policy - in.Held
	isPlentiful := in.Available >= in.Policy*ledger.Tokens(availabilityFactor*max(in.Routers, 1))
	if in.Contended || missing <= 0 || !isPlentiful {
		return 0
	}
	return missing
}

// ReturnInput is the input of SizeReturn. Free and Expected are the same as in DrawInput.
type ReturnInput struct {
	Free     ledger.Tokens
	Expected ledger.Tokens
	// Recalled reports whether another router's draw was refused recently or the budget is frozen.
	Recalled bool
	// Idle reports whether no request has used the budget for the idle term.
	Idle bool
}

// SizeReturn returns the tokens to give back to the budget: the whole free part of a share that is recalled or
// idle, and otherwise the part above the expected demand once the free part exceeds four times that demand.
func SizeReturn(in ReturnInput) ledger.Tokens {
	if in.Recalled || in.Idle {
		return max(in.Free, 0)
	}
	if in.Free > in.Expected*excessFactor {
		return in.Free - in.Expected
	}
	return 0
}
