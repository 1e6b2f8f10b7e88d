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

// Maximum lengths in bytes of a ticket and of a line in it.
const (
	MaxTicketBytes = 256 << 10
	MaxLineBytes   = 4 << 10
)

const (
	// ticketFieldPath is the field path of problems that concern the ticket as a whole.
	ticketFieldPath = "ticket"
	// evacuatedZonesField is the field path of the list of evacuated zones.
	evacuatedZonesField = "EvacuatedZones"
)

// DecodeTicket decodes and validates a ticket. Its error is a *TicketError with the problems found; file is the name
// that these problems show to operators. Later versions must decode bytes that were accepted once to the same ticket,
// since routers replay the configuration stream.
func DecodeTicket(file string, data []byte) (*Ticket, error) {
	d := &decoder{file: file, lineByField: make(map[string]int)}
	body, found := d.parse(data)
	if !found {
		return nil, d.ticketError()
	}
	var t Ticket
	d.decodeStruct("", body, ticketStruct(&t))
	if _, isGiven := d.lineByField[evacuatedZonesField]; isGiven && t.EvacuatedZones == nil {
		// Other empty lists count as left out, this one ends all evacuations.
		t.EvacuatedZones = []string{}
	}
	if len(d.problems) == 0 {
		(&validator{decoder: d}).validate(&t)
	}
	if len(d.problems) > 0 {
		return nil, d.ticketError()
	}
	return &t, nil
}

// decoder converts the nodes of a YAML document to a ticket and collects the problems.
type decoder struct {
	file     string
	problems []Problem
	// omitted is the number of problems beyond maxProblems.
	omitted int
	// lineByField maps the path of each decoded field to its line.
	lineByField map[string]int
}

func (d *decoder) ticketError() error {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &TicketError{Problems: d.problems, More: d.omitted}
}

func (d *decoder) addProblem(line int, field, message, allowed string) {
	if len(d.problems) == maxProblems {
		d.omitted++
		return
	}
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Field: field, Message: message, Allowed: allowed})
}

// parse returns the top-level mapping of the document. If there is none, it records the problem and returns false.
func (d *decoder) parse(data []byte) (ast.MapNode, bool) {
	if !d.checkBytes(data) {
		return nil, false
	}
	tokens := lexer.Tokenize(string(data))
	if p := (&structureChecker{}).check(tokens); p != nil {
		d.addProblem(p.Line, p.Field, p.Message, p.Allowed)
		return nil, false
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxProblem(err)
		return nil, false
	}
	return d.singleMapping(file)
}

func (d *decoder) checkBytes(data []byte) bool {
	if len(data) > MaxTicketBytes {
		message := fmt.Sprintf("is %d bytes long", len(data))
		d.addProblem(1, ticketFieldPath, message, fmt.Sprintf("up to %d bytes", MaxTicketBytes))
		return false
	}
	if !utf8.Valid(data) {
		d.addProblem(1, ticketFieldPath, "isn't UTF-8", allowedEncoding)
		return false
	}
	line, lineStart := 1, 0
	for i, b := range data {
		if i-lineStart > MaxLineBytes {
			d.addProblem(line, ticketFieldPath, "has a line that is too long", fmt.Sprintf("up to %d bytes a line", MaxLineBytes))
			return false
		}
		if !isAllowedByte(b) {
			d.addProblem(line, ticketFieldPath, fmt.Sprintf("holds the byte %#02x", b), allowedEncoding)
			return false
		}
		if b == '\n' {
			line, lineStart = line+1, i+1
		}
	}
	return true
}

const allowedEncoding = "UTF-8 text with line feeds, without tabs, carriage returns and other control characters"

// isAllowedByte reports whether a ticket may contain a byte. Tabs and carriage returns are not allowed, because YAML
// parsers differ in how they handle them.
func isAllowedByte(b byte) bool { return b == '\n' || (b >= ' ' && b != 0x7f) }

func (d *decoder) addSyntaxProblem(err error) {
	line, message := 1, err.Error()
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		message = syntax.GetMessage()
		if t := syntax.GetToken(); t != nil {
			line = t.Position.Line
		}
	}
	d.addProblem(line, ticketFieldPath, "isn't YAML: "+message, "a YAML document")
}

func (d *decoder) singleMapping(file *ast.File) (ast.MapNode, bool) {
	var roots []ast.Node
	for _, document := range file.Docs {
		if document.Body != nil && document.Body.Type() != ast.CommentType {
			roots = append(roots, document.Body)
		}
	}
	switch len(roots) {
	case 0:
		d.addProblem(1, ticketFieldPath, "is empty", "one YAML document with the fields of a ticket")
		return nil, false
	case 1:
		body, isMap := roots[0].(ast.MapNode)
		if !isMap {
			d.addProblem(nodeLine(roots[0]), ticketFieldPath, "is "+describe(roots[0]), "one YAML document with the fields of a ticket")
		}
		return body, isMap
	default:
		d.addProblem(nodeLine(roots[1]), ticketFieldPath, "holds several documents", "one YAML document; a file for each ticket")
		return nil, false
	}
}
