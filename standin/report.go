package main

import (
	"errors"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

// reportCommand holds the arguments of the subcommand report.
type reportCommand struct {
	Report string `arg:"" help:"Load report to print."`
	Plot   string `env:"STANDIN_PLOT" help:"File to write a plot of the report to, as SVG."`
}

// Run prints a stored load report, and plots it if a file for the plot is given.
func (c *reportCommand) Run(container *dig.Container) error {
	return container.Invoke(func(stdout output) error {
		report, err := load.ReadReport(c.Report)
		if err != nil {
			return err
		}
		return errors.Join(report.WriteTable(stdout), writeFile(c.Plot, report.WritePlot))
	})
}
