package operator

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// integerPattern matches decimal integers, whose digits may be grouped by underscores; tickets allow no other notation.
var integerPattern = regexp.MustCompile(`^-?(0|[1-9](_?[0-9])*)$`)

// Descriptions of the allowed values by type of field, for Problem.Allowed.
const (
	allowedList     = "a list"
	allowedText     = "text"
	allowedBool     = "true or false"
	allowedNumber   = "a whole number such as 250000 or 250_000"
	allowedDuration = "a duration such as 500ms, 30s or 2m"
)

func ticketStruct(t *Ticket) reflect.Value { return reflect.ValueOf(t).Elem() }

// decodeStruct sets the fields of a struct from a mapping. Unknown fields and fields that appear more than once are
// recorded as problems.
func (d *decoder) decodeStruct(path string, node ast.MapNode, target reflect.Value) {
	indexes := fieldIndexes(target.Type())
	seen := make(map[string]bool)
	entries := node.MapRange()
	for entries.Next() {
		key := entries.Key()
		line := key.GetToken().Position.Line
		name := truncated(key.GetToken().Value)
		field := joinPath(path, name)
		fieldIndex, known := indexes[name]
		switch {
		case !known:
			d.addProblem(line, field, "is unknown", "one of "+strings.Join(fieldNames(target.Type()), ", "))
		case seen[name]:
			d.addProblem(line, field, "appears more than once", "each field once")
		default:
			d.lineByField[field] = line
			d.decodeValue(field, entries.Value(), target.Field(fieldIndex))
		}
		seen[name] = true
	}
}

func (d *decoder) decodeValue(path string, node ast.Node, target reflect.Value) {
	if _, isDuration := target.Interface().(time.Duration); isDuration {
		d.decodeDuration(path, node, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeMapping(path, node, target)
	case reflect.Slice:
		d.decodeSlice(path, node, target)
	case reflect.String:
		d.decodeText(path, node, target)
	case reflect.Bool:
		d.decodeBool(path, node, target)
	case reflect.Int, reflect.Int64:
		d.decodeInt(path, node, target)
	case reflect.Uint64:
		d.decodeUint(path, node, target)
	default:
		panic(fmt.Sprintf("operator: field %s has no decoder", path))
	}
}

func (d *decoder) decodeMapping(path string, node ast.Node, target reflect.Value) {
	mapping, isMap := node.(ast.MapNode)
	if !isMap {
		d.addTypeProblem(path, node, "a mapping with fields "+strings.Join(fieldNames(target.Type()), ", "))
		return
	}
	d.decodeStruct(path, mapping, target)
}

func (d *decoder) decodeSlice(path string, node ast.Node, target reflect.Value) {
	sequence, isSequence := node.(*ast.SequenceNode)
	if !isSequence {
		d.addTypeProblem(path, node, allowedList)
		return
	}
	values := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, value := range sequence.Values {
		element := fmt.Sprintf("%s[%d]", path, i)
		d.lineByField[element] = nodeLine(value)
		d.decodeValue(element, value, values.Index(i))
	}
	if values.Len() > 0 {
		target.Set(values)
	}
}

func (d *decoder) decodeText(path string, node ast.Node, target reflect.Value) {
	text, isText := node.(*ast.StringNode)
	if !isText {
		d.addTypeProblem(path, node, allowedText)
		return
	}
	target.SetString(text.Value)
}

func (d *decoder) decodeBool(path string, node ast.Node, target reflect.Value) {
	value, isBool := node.(*ast.BoolNode)
	if !isBool {
		d.addTypeProblem(path, node, allowedBool)
		return
	}
	target.SetBool(value.Value)
}

func (d *decoder) decodeInt(path string, node ast.Node, target reflect.Value) {
	digits, isNumber := d.integerDigits(path, node)
	if !isNumber {
		return
	}
	value, err := strconv.ParseInt(digits, 10, target.Type().Bits())
	if err != nil {
		d.addProblem(nodeLine(node), path, digits+" is too large", allowedNumber)
		return
	}
	target.SetInt(value)
}

func (d *decoder) decodeUint(path string, node ast.Node, target reflect.Value) {
	digits, isNumber := d.integerDigits(path, node)
	if !isNumber {
		return
	}
	value, err := strconv.ParseUint(digits, 10, target.Type().Bits())
	if err != nil {
		d.addProblem(nodeLine(node), path, digits+" is negative or too large", allowedNumber)
		return
	}
	target.SetUint(value)
}

// integerDigits returns an integer as written in the ticket, but without underscores; false if the node isn't an
// integer.
func (d *decoder) integerDigits(path string, node ast.Node) (string, bool) {
	literal := ""
	if _, isInteger := node.(*ast.IntegerNode); isInteger {
		literal = node.GetToken().Value
	}
	if !integerPattern.MatchString(literal) {
		d.addTypeProblem(path, node, allowedNumber)
		return "", false
	}
	return strings.ReplaceAll(literal, "_", ""), true
}

func (d *decoder) decodeDuration(path string, node ast.Node, target reflect.Value) {
	text, isText := node.(*ast.StringNode)
	if !isText {
		d.addTypeProblem(path, node, allowedDuration)
		return
	}
	value, err := time.ParseDuration(text.Value)
	if err != nil {
		d.addTypeProblem(path, node, allowedDuration)
		return
	}
	target.SetInt(int64(value))
}

func (d *decoder) addTypeProblem(path string, node ast.Node, allowed string) {
	message := "is " + describe(node)
	if strings.Contains(path, "KeyDigests") {
		// The value may be a secret bearer key, given instead of its digest, and must not appear in messages.
		message = "is of the wrong type"
	}
	d.addProblem(nodeLine(node), path, message, allowed)
}

// describe returns the kind of a YAML node for messages, with the value of a scalar, truncated if it is long.
func describe(node ast.Node) string {
	switch n := node.(type) {
	case ast.MapNode:
		return "a mapping"
	case *ast.SequenceNode:
		return allowedList
	case *ast.NullNode:
		return "empty"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "the number " + truncated(n.GetToken().Value)
	case *ast.BoolNode:
		return "the boolean " + n.GetToken().Value
	case *ast.StringNode:
		return fmt.Sprintf("the text %q", truncated(n.Value))
	case *ast.LiteralNode:
		return "a block of text"
	default:
		return "of kind " + n.Type().String()
	}
}

// truncated limits the length of text that messages quote from a ticket.
func truncated(text string) string {
	const maxBytes = 40
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes] + "…"
}

func nodeLine(node ast.Node) int {
	if mapping, isMap := node.(ast.MapNode); isMap {
		if entries := mapping.MapRange(); entries.Next() {
			return entries.Key().GetToken().Position.Line
		}
	}
	return node.GetToken().Position.Line
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldIndexes returns the index of each field of a struct, by the field's name in tickets.
func fieldIndexes(t reflect.Type) map[string]int {
	indexes := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		indexes[yamlName(t.Field(i))] = i
	}
	return indexes
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, yamlName(t.Field(i)))
	}
	return names
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
