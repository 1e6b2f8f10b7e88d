package operator

import (
	"fmt"
	"strings"
)

// maxProblems bounds the problems that an error lists.
const maxProblems = 20

// Problem is one thing that is wrong with a ticket.
type Problem struct {
	// File is empty for a ticket that was read from the log.
	File string
	Line int
	// Field is the path of the field, such as Teams[0].Name.
	Field   string
	Message string
	// Allowed says what the field may hold.
	Allowed string
}

// String returns the problem as "file:line: field: message; allowed: …".
func (p Problem) String() string {
	file := p.File
	if file == "" {
		file = ticketFieldPath
	}
	return fmt.Sprintf("%s:%d: %s: %s; allowed: %s", file, p.Line, p.Field, p.Message, p.Allowed)
}

// TicketError lists what is wrong with a ticket.
type TicketError struct {
	Problems []Problem
	// More counts the problems that aren't listed.
	More int
}

// Error returns one problem a line.
func (e *TicketError) Error() string {
	lines := make([]string, 0, maxProblems+1)
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	if e.More > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", e.More))
	}
	return strings.Join(lines, "\n")
}
