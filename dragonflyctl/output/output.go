// Package output prints the results of commands as tables for people or as JSON for programs.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// The values of the flag --output.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Printer writes the results of a command to Writer. Format is FormatTable or FormatJSON.
type Printer struct {
	Writer io.Writer
	Format string
}

// Table is a text table. Columns holds the column headers, and each row has one cell per column.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Print writes value as indented JSON if the format is FormatJSON; otherwise it writes the tables, separated by empty lines.
func (p Printer) Print(value any, tables ...Table) error {
	if p.Format == FormatJSON {
		return p.printJSON(value)
	}
	for i, t := range tables {
		if i > 0 {
			if _, err := fmt.Fprintln(p.Writer); err != nil {
				return err
			}
		}
		if err := p.printTable(t); err != nil {
			return err
		}
	}
	return nil
}

func (p Printer) printJSON(value any) error {
	encoder := json.NewEncoder(p.Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (p Printer) printTable(t Table) error {
	const columnGap = 2
	w := tabwriter.NewWriter(p.Writer, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{t.Columns}, t.Rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Cells formats the values as the cells of a table row. An empty text becomes a dash.
func Cells(values ...any) []string {
	cells := make([]string, 0, len(values))
	for _, value := range values {
		cell := fmt.Sprint(value)
		if cell == "" {
			cell = "-"
		}
		cells = append(cells, cell)
	}
	return cells
}
