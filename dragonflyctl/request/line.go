// Package request explains what became of a caller's request, from the routers' logs.
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

// line is a line of a router's log.
type line struct {
	Fields  map[string]any `json:"fields"`
	Message string         `json:"message"`
	Time    time.Time      `json:"timestamp"`
	// Process is the router that wrote it.
	Process string `json:"-"`
}

// longestLine bounds a line, in bytes; routers write lines of some hundred.
const longestLine = 1 << 20

// readLines decodes the lines of a log and passes them on. Lines that hold no JSON are skipped. Text before the JSON ends with
// the name of the process, as tools that gather the output of many put it; otherwise the log belongs to one process.
func readLines(r io.Reader, process string, take func(line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		begin := bytes.IndexByte(scanner.Bytes(), '{')
		if begin < 0 {
			continue
		}
		l := line{Process: process}
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()[begin:]))
		// Numbers are shown as they were written.
		decoder.UseNumber()
		if decoder.Decode(&l) != nil || l.Message == "" {
			continue
		}
		if before := strings.Fields(scanner.Text()[:begin]); len(before) > 0 {
			l.Process = before[len(before)-1]
		}
		take(l)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("reading the log of %s: %w", process, err)
	}
	return nil
}

// text returns a field as text, empty if there is none.
func (l *line) text(name string) string {
	value, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// duration returns a field in milliseconds.
func (l *line) duration(name string) time.Duration {
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

// inputs lists the fields but those that every line of the story has.
func (l *line) inputs() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != fieldRequest {
			parts = append(parts, name+"="+l.text(name))
		}
	}
	return cmp.Or(strings.Join(parts, " "), "-")
}
