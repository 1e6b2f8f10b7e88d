package ticket

import (
	"errors"
	"fmt"
	"os"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

// Check is the verb "ticket check".
type Check struct {
	Files []string `arg:"" name:"file" help:"Ticket files." predictor:"file"`
}

// Help returns the verb's description.
func (*Check) Help() string {
	return "References to objects of other tickets aren't checked here; the log's order decides about them."
}

// Run checks every file and fails if one has a mistake.
func (c *Check) Run(container *dig.Container) error {
	return container.Invoke(func(p output.Printer) error { return newChecker(p).check(c.Files) })
}

// checker collects the result of each file.
type checker struct {
	printer output.Printer
	results []fileResult
}

// fileResult is what is known about a file; Number is zero unless the ticket is well-formed.
type fileResult struct {
	File     string
	Number   uint64             `json:",omitempty"`
	Problems []operator.Problem `json:",omitempty"`
}

func newChecker(p output.Printer) *checker { return &checker{printer: p} }

func (c *checker) check(files []string) error {
	var mistakes []error
	for _, file := range files {
		t, _, err := load(file)
		result := fileResult{File: file}
		var malformed *operator.TicketError
		switch {
		case errors.As(err, &malformed):
			result.Problems = malformed.Problems
		case err == nil:
			result.Number = t.Number
		}
		c.results = append(c.results, result)
		mistakes = append(mistakes, err)
	}
	if err := c.printer.Print(c.results, c.table()); err != nil {
		return err
	}
	return errors.Join(mistakes...)
}

func (c *checker) table() output.Table {
	t := output.Table{Columns: []string{"FILE", "NUMBER", "RESULT"}}
	for _, r := range c.results {
		if r.Number == 0 {
			t.Rows = append(t.Rows, output.Cells(r.File, "", "bad"))
			continue
		}
		t.Rows = append(t.Rows, output.Cells(r.File, r.Number, "well-formed"))
	}
	return t
}

// load reads and decodes a ticket file.
func load(file string) (*operator.Ticket, []byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the ticket: %w", err)
	}
	if !info.Mode().IsRegular() {
		return nil, nil, fmt.Errorf("reading the ticket: %s is no regular file", file)
	}
	if info.Size() > operator.MaxTicketBytes {
		return nil, nil, fmt.Errorf("%s is %d bytes long; allowed: up to %d bytes", file, info.Size(), operator.MaxTicketBytes)
	}
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, nil, fmt.Errorf("reading the ticket: %w", err)
	}
	t, err := operator.DecodeTicket(file, data)
	return t, data, err
}
