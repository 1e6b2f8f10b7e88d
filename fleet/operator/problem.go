package operator

import (
	"fmt"
	"strings"
)

// maxProblems is the maximum number of problems that a TicketError lists.
const maxProblems = 20

// Problem describes one error in a ticket and its position in the file.
type Problem struct {
	// File is the name of the ticket's file; it is empty for a ticket that was read from the configuration stream.
	File string
	Line int
	// Field is the path of the invalid field, such as Teams[0].Name.
	Field   string
	Message string
	// Allowed describes the values that the field accepts.
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

// TicketError reports an invalid ticket and lists its problems.
type TicketError struct {
	Problems []Problem
	// More is the number of problems found beyond those in Problems.
	More int
}

// Error returns the problems, one per line.
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
