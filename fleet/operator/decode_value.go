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

// wholeNumber matches the one way to write a number: decimal digits, which underscores may group.
var wholeNumber = regexp.MustCompile(`^-?(0|[1-9](_?[0-9])*)$`)

// What fields of each kind allow.
const (
	allowedList     = "a list"
	allowedText     = "text"
	allowedBool     = "true or false"
	allowedNumber   = "a whole number such as 250000 or 250_000"
	allowedDuration = "a duration such as 500ms, 30s or 2m"
)

func structOf(t *Ticket) reflect.Value { return reflect.ValueOf(t).Elem() }

// decodeStruct sets the fields of a struct from a mapping. Fields that the struct doesn't have, or that stand
// twice, are problems.
func (d *decoder) decodeStruct(path string, node ast.MapNode, target reflect.Value) {
	names := fieldNames(target.Type())
	seen := make(map[string]bool)
	entries := node.MapRange()
	for entries.Next() {
		key := entries.Key()
		line := key.GetToken().Position.Line
		name := shortened(key.GetToken().Value)
		field := join(path, name)
		i, known := names[name]
		switch {
		case !known:
			d.report(line, field, "is unknown", "one of "+strings.Join(listFields(target.Type()), ", "))
		case seen[name]:
			d.report(line, field, "stands twice", "each field once")
		default:
			d.lines[field] = line
			d.decodeValue(field, entries.Value(), target.Field(i))
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
		d.mismatch(path, node, "a mapping with fields "+strings.Join(listFields(target.Type()), ", "))
		return
	}
	d.decodeStruct(path, mapping, target)
}

func (d *decoder) decodeSlice(path string, node ast.Node, target reflect.Value) {
	sequence, isSequence := node.(*ast.SequenceNode)
	if !isSequence {
		d.mismatch(path, node, allowedList)
		return
	}
	values := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, value := range sequence.Values {
		element := fmt.Sprintf("%s[%d]", path, i)
		d.lines[element] = lineOf(value)
		d.decodeValue(element, value, values.Index(i))
	}
	if values.Len() > 0 {
		target.Set(values)
	}
}

func (d *decoder) decodeText(path string, node ast.Node, target reflect.Value) {
	text, isText := node.(*ast.StringNode)
	if !isText {
		d.mismatch(path, node, allowedText)
		return
	}
	target.SetString(text.Value)
}

func (d *decoder) decodeBool(path string, node ast.Node, target reflect.Value) {
	value, isBool := node.(*ast.BoolNode)
	if !isBool {
		d.mismatch(path, node, allowedBool)
		return
	}
	target.SetBool(value.Value)
}

func (d *decoder) decodeInt(path string, node ast.Node, target reflect.Value) {
	digits, isNumber := d.digits(path, node)
	if !isNumber {
		return
	}
	value, err := strconv.ParseInt(digits, 10, target.Type().Bits())
	if err != nil {
		d.report(lineOf(node), path, digits+" is too large", allowedNumber)
		return
	}
	target.SetInt(value)
}

func (d *decoder) decodeUint(path string, node ast.Node, target reflect.Value) {
	digits, isNumber := d.digits(path, node)
	if !isNumber {
		return
	}
	value, err := strconv.ParseUint(digits, 10, target.Type().Bits())
	if err != nil {
		d.report(lineOf(node), path, digits+" is negative or too large", allowedNumber)
		return
	}
	target.SetUint(value)
}

// digits returns the digits of a number as they were written, without underscores.
func (d *decoder) digits(path string, node ast.Node) (string, bool) {
	written := ""
	if _, isInteger := node.(*ast.IntegerNode); isInteger {
		written = node.GetToken().Value
	}
	if !wholeNumber.MatchString(written) {
		d.mismatch(path, node, allowedNumber)
		return "", false
	}
	return strings.ReplaceAll(written, "_", ""), true
}

func (d *decoder) decodeDuration(path string, node ast.Node, target reflect.Value) {
	text, isText := node.(*ast.StringNode)
	if !isText {
		d.mismatch(path, node, allowedDuration)
		return
	}
	value, err := time.ParseDuration(text.Value)
	if err != nil {
		d.mismatch(path, node, allowedDuration)
		return
	}
	target.SetInt(int64(value))
}

func (d *decoder) mismatch(path string, node ast.Node, allowed string) {
	message := "is " + describe(node)
	if strings.Contains(path, "KeyDigests") {
		// The value may be a key that was put in place of its digest.
		message = "is of the wrong type"
	}
	d.report(lineOf(node), path, message, allowed)
}

// describe names the kind of a node, and its value if it is short.
func describe(node ast.Node) string {
	switch n := node.(type) {
	case ast.MapNode:
		return "a mapping"
	case *ast.SequenceNode:
		return allowedList
	case *ast.NullNode:
		return "empty"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "the number " + shortened(n.GetToken().Value)
	case *ast.BoolNode:
		return "the truth value " + n.GetToken().Value
	case *ast.StringNode:
		return fmt.Sprintf("the text %q", shortened(n.Value))
	case *ast.LiteralNode:
		return "a block of text"
	default:
		return "of kind " + n.Type().String()
	}
}

// shortened keeps messages readable.
func shortened(text string) string {
	const longest = 40
	if len(text) <= longest {
		return text
	}
	return text[:longest] + "…"
}

func lineOf(node ast.Node) int {
	if mapping, isMap := node.(ast.MapNode); isMap {
		if entries := mapping.MapRange(); entries.Next() {
			return entries.Key().GetToken().Position.Line
		}
	}
	return node.GetToken().Position.Line
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldNames returns the indices of a struct's fields by the names that tickets use.
func fieldNames(t reflect.Type) map[string]int {
	names := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		names[fieldName(t.Field(i))] = i
	}
	return names
}

func listFields(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, fieldName(t.Field(i)))
	}
	return names
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
