package operator

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// Bounds of a ticket's bytes.
const (
	MaxTicketBytes = 256 << 10
	MaxLineBytes   = 4 << 10
)

// ticketFieldPath stands for the whole ticket in problems.
const ticketFieldPath = "ticket"

// DecodeTicket reads and validates a ticket. Its error is a *TicketError that lists every problem; file is the
// name that the problems give, for people. Bytes that were accepted once mean the same ticket for ever.
func DecodeTicket(file string, data []byte) (*Ticket, error) {
	d := &decoder{file: file, lines: make(map[string]int)}
	body, found := d.parse(data)
	if !found {
		return nil, d.err()
	}
	var t Ticket
	d.decodeStruct("", body, structOf(&t))
	if len(d.problems) == 0 {
		(&validator{decoder: d}).validate(&t)
	}
	if len(d.problems) > 0 {
		return nil, d.err()
	}
	return &t, nil
}

// decoder turns the nodes of a document into a ticket and notes what is wrong.
type decoder struct {
	file     string
	problems []Problem
	// more counts the problems beyond maxProblems.
	more int
	// lines holds the line of each field that was read.
	lines map[string]int
}

func (d *decoder) err() error {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &TicketError{Problems: d.problems, More: d.more}
}

func (d *decoder) report(line int, field, message, allowed string) {
	if len(d.problems) == maxProblems {
		d.more++
		return
	}
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Field: field, Message: message, Allowed: allowed})
}

// parse returns the document's mapping, or false after it reported why there is none.
func (d *decoder) parse(data []byte) (ast.MapNode, bool) {
	if !d.checkBytes(data) {
		return nil, false
	}
	tokens := lexer.Tokenize(string(data))
	if p := (&structure{}).check(tokens); p != nil {
		d.report(p.Line, p.Field, p.Message, p.Allowed)
		return nil, false
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.reportSyntax(err)
		return nil, false
	}
	return d.document(file)
}

func (d *decoder) checkBytes(data []byte) bool {
	if len(data) > MaxTicketBytes {
		message := fmt.Sprintf("is %d bytes long", len(data))
		d.report(1, ticketFieldPath, message, fmt.Sprintf("up to %d bytes", MaxTicketBytes))
		return false
	}
	if !utf8.Valid(data) {
		d.report(1, ticketFieldPath, "isn't UTF-8", allowedBytes)
		return false
	}
	line, start := 1, 0
	for i, b := range data {
		if i-start > MaxLineBytes {
			d.report(line, ticketFieldPath, "has a line that is too long", fmt.Sprintf("up to %d bytes a line", MaxLineBytes))
			return false
		}
		if !isText(b) {
			d.report(line, ticketFieldPath, fmt.Sprintf("holds the byte %#02x", b), allowedBytes)
			return false
		}
		if b == '\n' {
			line, start = line+1, i+1
		}
	}
	return true
}

const allowedBytes = "UTF-8 text with line feeds, without tabs, carriage returns and other control characters"

// isText leaves out tabs and carriage returns because parsers differ in what they make of them.
func isText(b byte) bool { return b == '\n' || (b >= ' ' && b != 0x7f) }

func (d *decoder) reportSyntax(err error) {
	line, message := 1, err.Error()
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		message = syntax.GetMessage()
		if t := syntax.GetToken(); t != nil {
			line = t.Position.Line
		}
	}
	d.report(line, ticketFieldPath, "isn't YAML: "+message, "a YAML document")
}

func (d *decoder) document(file *ast.File) (ast.MapNode, bool) {
	var bodies []ast.Node
	for _, document := range file.Docs {
		if document.Body != nil && document.Body.Type() != ast.CommentType {
			bodies = append(bodies, document.Body)
		}
	}
	switch len(bodies) {
	case 0:
		d.report(1, ticketFieldPath, "is empty", "one YAML document with the fields of a ticket")
		return nil, false
	case 1:
		body, isMap := bodies[0].(ast.MapNode)
		if !isMap {
			d.report(lineOf(bodies[0]), ticketFieldPath, "is "+describe(bodies[0]), "one YAML document with the fields of a ticket")
		}
		return body, isMap
	default:
		d.report(lineOf(bodies[1]), ticketFieldPath, "holds several documents", "one YAML document; a file for each ticket")
		return nil, false
	}
}
