package ticket

import (
	"errors"
	"fmt"
	"os"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

// Check implements the command "ticket check".
type Check struct {
	Files []string `arg:"" name:"file" help:"Ticket files." predictor:"file"`
}

// Help returns the detailed help text of the command.
func (*Check) Help() string {
	return "References to objects of other tickets are not checked, because their validity depends on the order of the tickets in the log."
}

// Run checks all files, prints the results and fails if any file is unreadable or malformed.
func (c *Check) Run(container *dig.Container) error {
	return container.Invoke(func(p output.Printer) error { return newChecker(p).check(c.Files) })
}

// checker checks ticket files and collects a result per file.
type checker struct {
	printer output.Printer
	results []fileResult
}

// fileResult is the result of checking a ticket file. Number is the ticket's number, or zero if the file is unreadable or malformed.
type fileResult struct {
	File     string
	Number   uint64             `json:",omitempty"`
	Problems []operator.Problem `json:",omitempty"`
}

func newChecker(p output.Printer) *checker { return &checker{printer: p} }

func (c *checker) check(files []string) error {
	var failures []error
	for _, file := range files {
		t, _, err := loadTicket(file)
		result := fileResult{File: file}
		var malformed *operator.TicketError
		switch {
		case errors.As(err, &malformed):
			result.Problems = malformed.Problems
		case err == nil:
			result.Number = t.Number
		}
		c.results = append(c.results, result)
		failures = append(failures, err)
	}
	if err := c.printer.Print(c.results, c.table()); err != nil {
		return err
	}
	return errors.Join(failures...)
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

// loadTicket reads and decodes a ticket file and returns the ticket with the file's content. It fails with an *operator.TicketError
// if the ticket is malformed.
func loadTicket(file string) (*operator.Ticket, []byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the ticket: %w", err)
	}
	if !info.Mode().IsRegular() {
		return nil, nil, fmt.Errorf("reading the ticket: %s is not a regular file", file)
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
