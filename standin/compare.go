package main

import (
	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

// compareCommand holds the arguments of the subcommand compare.
type compareCommand struct {
	Base  string `arg:"" help:"Load report to use as the baseline."`
	Other string `arg:"" help:"Load report to compare with the baseline."`
}

// Run prints the comparison of two load reports.
func (c *compareCommand) Run(container *dig.Container) error {
	return container.Invoke(func(stdout output) error {
		base, err := load.ReadReport(c.Base)
		if err != nil {
			return err
		}
		other, err := load.ReadReport(c.Other)
		if err != nil {
			return err
		}
		return load.Comparison{Base: base, Other: other}.WriteTable(stdout)
	})
}
