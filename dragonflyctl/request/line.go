// Package request implements the command that explains the outcome of a caller's request from the routers' logs.
package request

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// logLine is a line of a router's log in JSON.
type logLine struct {
	Fields  map[string]any `json:"fields"`
	Message string         `json:"message"`
	Time    time.Time      `json:"timestamp"`
	// Process is the name of the router that wrote the line.
	Process string `json:"-"`
}

// maxLineBytes is the upper bound on the length of a log line. Routers write lines of some hundred bytes.
const maxLineBytes = 1 << 20

// readLines decodes the JSON lines of a log and calls visit for each. Lines without JSON are skipped. Tools that collect the
// output of several processes put a prefix before the JSON: its last word is taken as the process name. Lines without a prefix
// get the name in process.
func readLines(r io.Reader, process string, visit func(logLine)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		begin := bytes.IndexByte(scanner.Bytes(), '{')
		if begin < 0 {
			continue
		}
		l := logLine{Process: process}
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()[begin:]))
		// json.Number keeps the digits of the log; float64 would reformat large numbers.
		decoder.UseNumber()
		if decoder.Decode(&l) != nil || l.Message == "" {
			continue
		}
		if prefixWords := strings.Fields(scanner.Text()[:begin]); len(prefixWords) > 0 {
			l.Process = prefixWords[len(prefixWords)-1]
		}
		visit(l)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("reading the log of %s: %w", process, err)
	}
	return nil
}

// text returns the value of a field as text, or an empty text if the line has no such field.
func (l *logLine) text(name string) string {
	value, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// duration converts a field that holds milliseconds. It returns zero if the field is missing or isn't a number.
func (l *logLine) duration(name string) time.Duration {
	number, ok := l.Fields[name].(json.Number)
	if !ok {
		return 0
	}
	milliseconds, err := number.Float64()
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// formatFields returns the fields as NAME=VALUE, sorted by name. The request identifier is left out, since the table's summary
// shows it; a line without other fields becomes a dash.
func (l *logLine) formatFields() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != fieldRequest {
			parts = append(parts, name+"="+l.text(name))
		}
	}
	return cmp.Or(strings.Join(parts, " "), "-")
}
