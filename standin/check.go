package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/standin/check"
	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

// checkCommand holds the flags of the subcommand check.
type checkCommand struct {
	Platform   string        `default:"http://127.0.0.1:19000" env:"STANDIN_PLATFORM" help:"Base URL of the platform's log."`
	Report     []string      `required:"" env:"STANDIN_REPORT" help:"Load reports to check."`
	Engine     []string      `env:"STANDIN_ENGINE" help:"Base URLs of engines, whose counts of runs are checked."`
	Service    []string      `env:"STANDIN_SERVICE" help:"Base URLs of plain services, whose counts of runs are checked."`
	Partitions int           `default:"1" env:"STANDIN_PARTITIONS" help:"Number of partitions of the ledger."`
	Live       int           `default:"0" env:"STANDIN_LIVE" help:"Number of routers that must hold a lease at the end; 0 allows any number."`
	Record     bool          `env:"STANDIN_RECORD" help:"Write overspend, false refusals and broken promises into the report; requires exactly one --report."`
	Wait       time.Duration `default:"30s" env:"STANDIN_WAIT" help:"Maximum time to wait for bills and settlements."`
}

// errBrokenPromise reports at least one broken promise. The table printed before it lists them.
var errBrokenPromise = errors.New("a promise was broken")

const (
	// ledgerPollInterval is the time between two reads of the ledger while the check waits for bills and settlements.
	ledgerPollInterval = 500 * time.Millisecond
	// requestTimeout is the time limit of each HTTP request to the platform or an endpoint. The wait for settlement may last
	// longer than the flag wait by this time, so that its last read can finish.
	requestTimeout = 10 * time.Second
)

// Run prints the tables of the check and fails if a promise was broken.
func (c *checkCommand) Run(container *dig.Container) error {
	err := errors.Join(
		container.Provide(func() (platform.Log, error) { return platform.NewHTTPLog(c.Platform, nil) }),
		container.Provide(func() *http.Client { return &http.Client{Timeout: requestTimeout} }),
		container.Provide(c.readEvidence),
	)
	if err != nil {
		return err
	}
	return container.Invoke(func(evidence *check.Evidence, stdout output) error {
		if err := evidence.WriteTable(stdout); err != nil {
			return err
		}
		findings := evidence.Findings()
		if err := c.recordFindings(findings); err != nil {
			return err
		}
		if len(findings.BrokenPromises) > 0 {
			return errBrokenPromise
		}
		return nil
	})
}

// recordFindings writes the findings into the report file if the flag record is set.
func (c *checkCommand) recordFindings(findings *load.Findings) error {
	if !c.Record {
		return nil
	}
	report, err := load.ReadReport(c.Report[0])
	if err != nil {
		return err
	}
	report.Findings = findings
	return writeFile(c.Report[0], report.Write)
}

// readEvidence reads the reports, follows the ledger until everything is settled or the wait time is over, and reads the run
// counters last, so that they include the runs of late requests.
func (c *checkCommand) readEvidence(ctx context.Context, ledger platform.Log, client *http.Client, logger *log.Logger) (*check.Evidence, error) {
	switch {
	case c.Partitions < 1:
		return nil, errors.New("partitions must be positive")
	case c.Record && len(c.Report) != 1:
		return nil, errors.New("findings can be recorded only if exactly one report is given")
	}
	evidence := &check.Evidence{Ledgers: check.NewLedgers(c.Partitions)}
	for _, path := range c.Report {
		report, err := load.ReadReport(path)
		if err != nil {
			return nil, err
		}
		evidence.Requests = append(evidence.Requests, report.Requests...)
	}
	if err := c.waitForSettlement(ctx, ledger, evidence); err != nil {
		return nil, err
	}
	if unsettled := evidence.Unsettled(); unsettled > 0 {
		logger.WithField("Unsettled", unsettled).Warn("bills or settlements are still missing after the wait time")
	}
	if live := evidence.Ledgers.LiveIncarnations(); c.Live > 0 && live != c.Live {
		return nil, fmt.Errorf("%d routers hold a lease, want %d", live, c.Live)
	}
	endpoints := slices.Concat(c.Engine, c.Service)
	if len(endpoints) == 0 {
		return evidence, nil
	}
	runs, err := check.ReadRuns(ctx, client, endpoints)
	evidence.Runs = runs
	return evidence, err
}

func (c *checkCommand) waitForSettlement(ctx context.Context, ledger platform.Log, evidence *check.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+requestTimeout)
	defer cancel()
	deadline := time.Now().Add(c.Wait)
	for {
		err := evidence.Ledgers.CatchUp(ctx, ledger)
		if err == nil && c.isSettled(evidence) {
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for settlement: %w", ctx.Err())
		case <-time.After(ledgerPollInterval):
		}
	}
}

func (c *checkCommand) isSettled(evidence *check.Evidence) bool {
	return evidence.Unsettled() == 0 && (c.Live == 0 || evidence.Ledgers.LiveIncarnations() == c.Live)
}
