package operator

import "github.com/dragonflyworks/dragonflyworks/fleet/platform"

// Outcome is the result of applying one entry of the configuration stream. It is one of *Accepted, *Refused,
// *Duplicate, *Malformed and *OutOfOrder.
type Outcome interface{ isOutcome() }

// Accepted reports that a ticket was accepted and its objects are in force.
type Accepted struct{ Number uint64 }

// Refused reports that a valid ticket conflicts with the configuration or with earlier tickets, and changed no object.
type Refused struct {
	Number uint64
	Reason RefusalReason
	// Detail names the objects that caused the refusal.
	Detail string
}

// Duplicate reports another copy of a ticket that was accepted before; it changes nothing.
type Duplicate struct{ Number uint64 }

// Malformed reports a stream entry that is not a valid ticket; Err is a *TicketError.
type Malformed struct{ Err error }

// OutOfOrder reports an entry whose offset is not the next one expected; the configuration, including its counts,
// stays unchanged.
type OutOfOrder struct {
	Offset platform.Offset
	Next   platform.Offset
}

func (*Accepted) isOutcome()   {}
func (*Refused) isOutcome()    {}
func (*Duplicate) isOutcome()  {}
func (*Malformed) isOutcome()  {}
func (*OutOfOrder) isOutcome() {}

// RefusalReason is the reason for which the fold refused a ticket.
type RefusalReason string

// Reasons for refusing a ticket; RefusalReasons describes each of them.
const (
	NumberReused     RefusalReason = "NumberReused"
	NumberForgotten  RefusalReason = "NumberForgotten"
	AlreadyRefused   RefusalReason = "AlreadyRefused"
	NotNewer         RefusalReason = "NotNewer"
	UnknownTeam      RefusalReason = "UnknownTeam"
	TeamChanged      RefusalReason = "TeamChanged"
	LowersWithOthers RefusalReason = "LowersWithOthers"
	KeyTaken         RefusalReason = "KeyTaken"
	UnknownService   RefusalReason = "UnknownService"
	KindMismatch     RefusalReason = "KindMismatch"
	UnknownFallback  RefusalReason = "UnknownFallback"
	ModelTaken       RefusalReason = "ModelTaken"
	PathTaken        RefusalReason = "PathTaken"
	EndpointTaken    RefusalReason = "EndpointTaken"
	UnknownRegion    RefusalReason = "UnknownRegion"
	UnknownZone      RefusalReason = "UnknownZone"
	LastZone         RefusalReason = "LastZone"
)

// RefusalDescription explains a refusal reason to operators.
type RefusalDescription struct {
	Reason  RefusalReason
	Meaning string
}

// RefusalReasons describes all refusal reasons: first those about the ticket's number and earlier copies of the ticket,
// then those about budgets, keys, routing and places, which is the order in which the fold checks these groups.
func RefusalReasons() []RefusalDescription {
	return []RefusalDescription{
		{NumberReused, "A ticket with this number and different contents has already been accepted."},
		{NumberForgotten, "The number is too old to determine whether it has been used."},
		{AlreadyRefused, "The same ticket was refused before; submit it with a new number."},
		{NotNewer, "An object of the ticket was last set by a ticket with the same or a higher number."},
		{UnknownTeam, "A budget names a team that doesn't exist, or a new budget names a team that was removed."},
		{TeamChanged, "A budget can't be moved to another team."},
		{LowersWithOthers, "A ticket that lowers a budget's total must not contain any other object."},
		{KeyTaken, "A key digest belongs to another team."},
		{EndpointTaken, "Another instance set already has an endpoint with this name."},
		{ModelTaken, "Another route already serves the model."},
		{PathTaken, "Another route already has the path prefix."},
		{UnknownService, "A route names a service that has no endpoint."},
		{KindMismatch, "A model route requires endpoints of kind Engine, a plain route endpoints of kind Plain."},
		{UnknownFallback, "A fallback route doesn't exist, was removed, or is of the other kind."},
		{UnknownRegion, "A team or a route allows a region in which no endpoint is."},
		{UnknownZone, "The list of evacuated zones names one in which no endpoint is."},
		{LastZone, "All endpoints of a service would be in evacuated zones."},
	}
}
