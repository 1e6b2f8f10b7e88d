// Package example has the commands that the documentation's pages show run in a shell and compares what they print with
// the pages.
package example

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// commandPrompt begins the line of a command.
const commandPrompt = "$ "

// codeFence begins and ends a block of code.
const codeFence = "```"

// Command is a command of a page with the output that the page shows.
type Command struct {
	// Place is the section's title with the command's number in it, such as "Top up 1".
	Place string
	// Text is the command with its continuation lines and without its prompt.
	Text   string
	Output string

	indent string
	// first and end bound the lines of the output.
	first, end int
}

// Page is a page with the commands that it shows in blocks of code, in their order.
type Page struct {
	Commands []Command

	path  string
	lines []string
}

// String returns the page.
func (p *Page) String() string { return strings.Join(p.lines, "\n") }

// ReadPage reads a page.
func ReadPage(path string) (*Page, error) {
	text, err := os.ReadFile(path) //nolint:gosec // tests name the pages
	if err != nil {
		return nil, fmt.Errorf("read page: %w", err)
	}
	p := &Page{path: path, lines: strings.Split(string(text), "\n")}
	section, number := "", 0
	for i := 0; i < len(p.lines); i++ {
		if title, found := strings.CutPrefix(p.lines[i], "## "); found {
			section, number = title, 0
		}
		if strings.HasPrefix(strings.TrimLeft(p.lines[i], " "), commandPrompt) {
			number++
			c := p.parseCommand(i)
			c.Place = fmt.Sprintf("%s %d", section, number)
			p.Commands = append(p.Commands, c)
			i = c.end - 1
		}
	}
	return p, nil
}

// parseCommand reads the parseCommand whose prompt stands in a line.
func (p *Page) parseCommand(line int) Command {
	indent, text, _ := strings.Cut(p.lines[line], commandPrompt)
	c := Command{indent: indent, Text: text, first: line + 1}
	for strings.HasSuffix(c.Text, `\`) {
		c.Text += "\n" + strings.TrimPrefix(p.lines[c.first], indent)
		c.first++
	}
	c.end = c.first
	for c.end < len(p.lines) && !c.isOutputEnd(p.lines[c.end]) {
		c.end++
	}
	for c.end > c.first && p.lines[c.end-1] == "" {
		c.end--
	}
	for _, shown := range p.lines[c.first:c.end] {
		c.Output += strings.TrimPrefix(shown, indent) + "\n"
	}
	return c
}

// isOutputEnd reports whether a line no longer belongs to the command's output.
func (c *Command) isOutputEnd(line string) bool {
	inside := line == "" || strings.HasPrefix(line, c.indent)
	return !inside || strings.TrimSpace(line) == codeFence || strings.HasPrefix(line, c.indent+commandPrompt)
}

// Script returns the lines of the indented block of code that holds a text; empty if there is none.
func (p *Page) Script(holding string) string {
	const indent = "    "
	if holding == "" {
		return ""
	}
	at := slices.IndexFunc(p.lines, func(line string) bool { return strings.HasPrefix(line, indent) && strings.Contains(line, holding) })
	if at < 0 {
		return ""
	}
	first, end := at, at
	for strings.HasPrefix(p.lines[first-1], indent) {
		first--
	}
	for strings.HasPrefix(p.lines[end], indent) {
		end++
	}
	return strings.Join(p.lines[first:end], "\n")
}

// Rewrite writes the page anew with other outputs of its commands.
func (p *Page) Rewrite(outputs []string) error {
	for i, c := range slices.Backward(p.Commands) {
		var lines []string
		for line := range strings.Lines(outputs[i]) {
			lines = append(lines, strings.TrimRight(c.indent+line, " \n"))
		}
		p.lines = slices.Replace(p.lines, c.first, c.end, lines...)
	}
	if err := os.WriteFile(p.path, []byte(p.String()), 0o600); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
