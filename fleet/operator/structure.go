package operator

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// Bounds of a ticket's structure.
const (
	maxFlowNesting = 16
	maxIndentation = 64
	// maxFields is well above the fields that any object has.
	maxFields = 32
)

// structure checks the tokens of a ticket before the parser runs. The parser recurses into nested values, and its
// time grows with the square of a mapping's fields and of the number of empty values, so that a short entry
// of the log could keep every router busy for minutes.
type structure struct {
	flow []bracket
	// fields holds the number of fields by column, outside brackets.
	fields [maxIndentation + 1]int
}

// bracket is an open bracket.
type bracket struct {
	isMapping bool
	fields    int
	// hasValue says that the field that is being read has a colon.
	hasValue bool
}

// check returns the first problem, or nil.
func (s *structure) check(tokens token.Tokens) *Problem {
	previous := &token.Token{Position: &token.Position{}}
	for _, t := range tokens {
		if t.Type == token.CommentType {
			continue
		}
		if p := s.checkToken(previous, t); p != nil {
			p.Line, p.Field = t.Position.Line, ticketFieldPath
			return p
		}
		previous = t
	}
	return nil
}

func (s *structure) checkToken(previous, t *token.Token) *Problem {
	if s.isEmptyValue(previous, t) {
		return &Problem{Message: "holds an empty value", Allowed: "a value for each field and list entry"}
	}
	switch t.Type {
	case token.DocumentHeaderType:
		if previous.Type != token.UnknownType {
			return &Problem{Message: "holds several documents", Allowed: "one YAML document; a file for each ticket"}
		}
	case token.DocumentEndType, token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.DirectiveType, token.MappingKeyType:
		allowed := "plain YAML without anchors, aliases, tags, directives, complex keys and end marks"
		return &Problem{Message: fmt.Sprintf("uses %q", t.Value), Allowed: allowed}
	case token.MappingStartType, token.SequenceStartType:
		s.flow = append(s.flow, bracket{isMapping: t.Type == token.MappingStartType})
	case token.MappingEndType, token.SequenceEndType:
		s.flow = s.flow[:max(len(s.flow)-1, 0)]
	case token.CollectEntryType:
		if n := len(s.flow); n > 0 {
			s.flow[n-1].hasValue = false
		}
	case token.SequenceEntryType:
		return s.enterListEntry(t)
	case token.MappingValueType:
		return s.countField(previous)
	}
	if len(s.flow) > maxFlowNesting {
		return tooDeep()
	}
	return nil
}

func tooDeep() *Problem {
	allowed := fmt.Sprintf("up to %d brackets and %d columns of indentation", maxFlowNesting, maxIndentation)
	return &Problem{Message: "is nested too deeply", Allowed: allowed}
}

// enterListEntry starts to count the fields of a new object.
func (s *structure) enterListEntry(t *token.Token) *Problem {
	if t.Position.Column > maxIndentation {
		return tooDeep()
	}
	clear(s.fields[t.Position.Column+1:])
	return nil
}

// countField counts a field of the innermost mapping, whose key comes before the colon.
func (s *structure) countField(key *token.Token) *Problem {
	fields := 0
	if n := len(s.flow); n > 0 {
		s.flow[n-1].fields++
		s.flow[n-1].hasValue = true
		fields = s.flow[n-1].fields
	} else {
		column := key.Position.Column
		if column > maxIndentation {
			return tooDeep()
		}
		clear(s.fields[column+1:])
		s.fields[column]++
		fields = s.fields[column]
	}
	if fields > maxFields {
		return &Problem{Message: "has a mapping with too many fields", Allowed: fmt.Sprintf("up to %d fields", maxFields)}
	}
	return nil
}

// isEmptyValue reports that a field or list entry ends before it has a value.
func (s *structure) isEmptyValue(previous, t *token.Token) bool {
	if n := len(s.flow); n > 0 {
		return isFlowEnd(t.Type) && s.flow[n-1].isEmptyBefore(previous, t)
	}
	switch previous.Type {
	case token.SequenceEntryType:
		return t.Type == token.SequenceEntryType && t.Position.Line > previous.Position.Line &&
			t.Position.Column <= previous.Position.Column
	case token.MappingValueType:
		return previous.Prev != nil && t.Position.Line > previous.Position.Line && endsField(previous.Prev, t)
	default:
		return false
	}
}

// endsField reports that a token on a later line doesn't belong to the value of a key. A list may start in the
// column of its key.
func endsField(key, t *token.Token) bool {
	if t.Type == token.SequenceEntryType {
		return t.Position.Column < key.Position.Column
	}
	return t.Position.Column <= key.Position.Column
}

func isFlowEnd(t token.Type) bool {
	return t == token.CollectEntryType || t == token.MappingEndType || t == token.SequenceEndType
}

// isEmptyBefore allows [] and {}, and a comma behind the last entry.
func (b bracket) isEmptyBefore(previous, t *token.Token) bool {
	switch previous.Type {
	case token.MappingValueType:
		return true
	case token.CollectEntryType, token.MappingStartType, token.SequenceStartType:
		return t.Type == token.CollectEntryType
	default:
		return b.isMapping && !b.hasValue
	}
}
