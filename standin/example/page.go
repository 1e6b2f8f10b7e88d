// Package example runs the shell commands that documentation pages show, and compares their output with the output in the
// pages.
package example

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// commandPrompt is the prefix of a line with a command.
const commandPrompt = "$ "

// codeFence is the line that begins and ends a block of code.
const codeFence = "```"

// Command is a shell command of a page with its output in the page.
type Command struct {
	// Place is the title of the section followed by the number of the command in it, such as "Top up 1".
	Place string
	// Text is the command with its continuation lines, without the prompt.
	Text   string
	Output string

	indent string
	// first and end are the range of lines of the output: end is the first line after it.
	first, end int
}

// Page is a Markdown page with the commands in its blocks of code, in the order of the page.
type Page struct {
	Commands []Command

	path  string
	lines []string
}

// String returns the text of the page.
func (p *Page) String() string { return strings.Join(p.lines, "\n") }

// ReadPage reads a page from a file and parses its commands.
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

// parseCommand parses the command whose prompt is in the given line, with its output.
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

// isOutputEnd reports whether a line ends the output of the command: the end of the block of code or the next prompt.
func (c *Command) isOutputEnd(line string) bool {
	inside := line == "" || strings.HasPrefix(line, c.indent)
	return !inside || strings.TrimSpace(line) == codeFence || strings.HasPrefix(line, c.indent+commandPrompt)
}

// Script returns the indented block of code that contains a text, or an empty string if no block does.
func (p *Page) Script(text string) string {
	const indent = "    "
	if text == "" {
		return ""
	}
	at := slices.IndexFunc(p.lines, func(line string) bool { return strings.HasPrefix(line, indent) && strings.Contains(line, text) })
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

// WriteOutputs replaces the outputs of all commands and writes the page to its file.
func (p *Page) WriteOutputs(outputs []string) error {
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
