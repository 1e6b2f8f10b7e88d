package operator

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// Limits on the nesting and size of a ticket's YAML structure: the depth of nested brackets and braces, the column in
// which a key or list entry may start, and the number of fields of one mapping.
const (
	maxBracketDepth       = 16
	maxIndentationColumns = 64
	// maxMappingFields is well above the number of fields of any ticket object.
	maxMappingFields = 32
)

// structureChecker checks the YAML tokens of a ticket before they are parsed. Without these limits, a short stream
// entry could block every router for minutes: the parser recurses into nested values, and its running time is quadratic
// in the number of fields of a mapping and in the number of empty values.
type structureChecker struct {
	openBrackets []bracket
	// fieldsByColumn is the number of fields so far of the current block mapping that starts in each column.
	fieldsByColumn [maxIndentationColumns + 1]int
}

// bracket is an open bracket or brace of a flow sequence or flow mapping.
type bracket struct {
	isMapping bool
	fields    int
	// hasColon is true once the colon of the current field has been read.
	hasColon bool
}

// check returns the first problem with the tokens, or nil.
func (s *structureChecker) check(tokens token.Tokens) *Problem {
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

func (s *structureChecker) checkToken(previous, t *token.Token) *Problem {
	if s.followsEmptyValue(previous, t) {
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
		s.openBrackets = append(s.openBrackets, bracket{isMapping: t.Type == token.MappingStartType})
	case token.MappingEndType, token.SequenceEndType:
		s.openBrackets = s.openBrackets[:max(len(s.openBrackets)-1, 0)]
	case token.CollectEntryType:
		if n := len(s.openBrackets); n > 0 {
			s.openBrackets[n-1].hasColon = false
		}
	case token.SequenceEntryType:
		return s.startListEntry(t)
	case token.MappingValueType:
		return s.countField(previous)
	}
	if len(s.openBrackets) > maxBracketDepth {
		return nestingProblem()
	}
	return nil
}

func nestingProblem() *Problem {
	allowed := fmt.Sprintf("up to %d brackets and %d columns of indentation", maxBracketDepth, maxIndentationColumns)
	return &Problem{Message: "is nested too deeply", Allowed: allowed}
}

// startListEntry resets the field counts of columns to the right of a list entry's dash, where a new object may start.
func (s *structureChecker) startListEntry(t *token.Token) *Problem {
	if t.Position.Column > maxIndentationColumns {
		return nestingProblem()
	}
	clear(s.fieldsByColumn[t.Position.Column+1:])
	return nil
}

// countField counts a field of the innermost mapping; key is the token before the colon.
func (s *structureChecker) countField(key *token.Token) *Problem {
	fields := 0
	if n := len(s.openBrackets); n > 0 {
		s.openBrackets[n-1].fields++
		s.openBrackets[n-1].hasColon = true
		fields = s.openBrackets[n-1].fields
	} else {
		column := key.Position.Column
		if column > maxIndentationColumns {
			return nestingProblem()
		}
		clear(s.fieldsByColumn[column+1:])
		s.fieldsByColumn[column]++
		fields = s.fieldsByColumn[column]
	}
	if fields > maxMappingFields {
		return &Problem{Message: "has a mapping with too many fields", Allowed: fmt.Sprintf("up to %d fields", maxMappingFields)}
	}
	return nil
}

// followsEmptyValue reports whether token t shows that the preceding field or list entry has no value.
func (s *structureChecker) followsEmptyValue(previous, t *token.Token) bool {
	if n := len(s.openBrackets); n > 0 {
		return endsBracketEntry(t.Type) && s.openBrackets[n-1].hasEmptyEntryBefore(previous, t)
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

// endsField reports whether a token on a later line is outside the value of a key. A list that is the value of a key
// may start in the same column as the key.
func endsField(key, t *token.Token) bool {
	if t.Type == token.SequenceEntryType {
		return t.Position.Column < key.Position.Column
	}
	return t.Position.Column <= key.Position.Column
}

func endsBracketEntry(t token.Type) bool {
	return t == token.CollectEntryType || t == token.MappingEndType || t == token.SequenceEndType
}

// hasEmptyEntryBefore reports whether the entry of a flow collection that token t ends is empty. The collections [] and
// {} and a comma after the last entry are allowed.
func (b bracket) hasEmptyEntryBefore(previous, t *token.Token) bool {
	switch previous.Type {
	case token.MappingValueType:
		return true
	case token.CollectEntryType, token.MappingStartType, token.SequenceStartType:
		return t.Type == token.CollectEntryType
	default:
		return b.isMapping && !b.hasColon
	}
}
