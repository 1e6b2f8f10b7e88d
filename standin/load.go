package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

// loadCommand holds the flags of the subcommand load.
type loadCommand struct {
	Target            []string          `required:"" env:"STANDIN_TARGET" help:"Base URLs of routers; each attempt picks one at random."`
	DirectEngine      []string          `env:"STANDIN_DIRECT_ENGINE" help:"Base URLs of engines; the same requests are sent straight to them first, and the report shows what the routers add."`
	DirectService     []string          `env:"STANDIN_DIRECT_SERVICE" help:"Base URLs of plain services for the same measurement."`
	Key               map[string]string `required:"" env:"STANDIN_KEY" help:"Bearer keys by team, such as team-a=key-a;team-b=key-b."`
	Budget            map[string]string `env:"STANDIN_BUDGET" help:"Budgets that a team's requests name, such as team-a=main,main,trial; one that stands twice is named twice as often."`
	Requests          int               `default:"200" env:"STANDIN_REQUESTS" help:"Most requests that are sent."`
	Duration          time.Duration     `default:"30s" env:"STANDIN_DURATION" help:"Time after which no further request begins."`
	Rate              float64           `default:"0" env:"STANDIN_RATE" help:"Requests per second; 0 sends as fast as the concurrency allows."`
	Concurrency       int               `default:"16" env:"STANDIN_CONCURRENCY" help:"Requests in progress at the most."`
	Seed              uint64            `default:"1" env:"STANDIN_SEED" help:"Seed of the requests."`
	KeyPrefix         string            `env:"STANDIN_KEY_PREFIX" help:"Beginning of every Idempotency-Key; load-SEED if empty."`
	Mix               map[load.Kind]int `default:"Stream=5;Whole=3;Plain=1;NonIdempotent=1" env:"STANDIN_MIX" help:"Weights of the kinds Stream, Whole, Plain and NonIdempotent."`
	Model             string            `default:"brush" env:"STANDIN_MODEL" help:"Model of the model calls."`
	PlainPath         string            `default:"/atelier" env:"STANDIN_PLAIN_PATH" help:"Path of the plain calls."`
	NonIdempotentPath string            `default:"/deposits" env:"STANDIN_NON_IDEMPOTENT_PATH" help:"Path of the non-idempotent calls."`
	MaxTokens         int               `default:"48" env:"STANDIN_MAX_TOKENS" help:"Highest max_tokens of a model call."`
	PromptWords       int               `default:"48" env:"STANDIN_PROMPT_WORDS" help:"Words of a prompt besides its nonce."`
	CallCost          int               `default:"1" env:"STANDIN_CALL_COST" help:"Price of a plain call, as its route states it."`
	Attempts          int               `default:"5" env:"STANDIN_ATTEMPTS" help:"Attempts of a request at the most."`
	Timeout           time.Duration     `default:"30s" env:"STANDIN_TIMEOUT" help:"Time that an attempt may take."`
	MaxRetryWait      time.Duration     `default:"3s" env:"STANDIN_MAX_RETRY_WAIT" help:"Longest wait before a further attempt."`
	Report            string            `env:"STANDIN_REPORT" help:"File that takes the report as JSON."`
	Plot              string            `env:"STANDIN_PLOT" help:"File that takes a plot of the report as SVG."`
}

// Run sends the load and writes its report. It fails if an answer was incomplete or belonged to another request.
func (c *loadCommand) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, stdout output) error {
		runner := &load.Runner{Settings: c.settings()}
		direct, err := c.runDirect(ctx)
		if err != nil {
			return fmt.Errorf("direct load: %w", err)
		}
		report, err := runner.Run(ctx)
		if err != nil {
			return err
		}
		if direct != nil {
			report.AddDirect(direct)
		}
		report.Name = c.Report
		if err := errors.Join(report.WriteTable(stdout), writeFile(c.Report, report.Write), writeFile(c.Plot, report.WritePlot)); err != nil {
			return err
		}
		if invalid := report.InvalidAnswers(); invalid > 0 {
			return fmt.Errorf("%d answers were incomplete or belonged to another request", invalid)
		}
		return nil
	})
}

// runDirect sends the load straight to the endpoints and returns its report. It returns nil if no endpoint is given.
func (c *loadCommand) runDirect(ctx context.Context) (*load.Report, error) {
	if len(c.DirectEngine)+len(c.DirectService) == 0 {
		return nil, nil
	}
	settings, err := c.settings().Direct(c.DirectEngine, c.DirectService)
	if err != nil {
		return nil, err
	}
	return (&load.Runner{Settings: settings}).Run(ctx)
}

func (c *loadCommand) settings() load.Settings {
	prefix := c.KeyPrefix
	if prefix == "" {
		prefix = fmt.Sprintf("load-%d", c.Seed)
	}
	var teams []load.Team
	for _, name := range slices.Sorted(maps.Keys(c.Key)) {
		team := load.Team{Name: name, BearerKey: c.Key[name]}
		if budgets := c.Budget[name]; budgets != "" {
			team.Budgets = strings.Split(budgets, ",")
		}
		teams = append(teams, team)
	}
	return load.Settings{
		Targets:           c.Target,
		Teams:             teams,
		Requests:          c.Requests,
		Duration:          c.Duration,
		Rate:              c.Rate,
		Concurrency:       c.Concurrency,
		Seed:              c.Seed,
		KeyPrefix:         prefix,
		Mix:               c.Mix,
		Model:             c.Model,
		PlainPath:         c.PlainPath,
		NonIdempotentPath: c.NonIdempotentPath,
		MaxTokens:         c.MaxTokens,
		PromptWords:       c.PromptWords,
		CallCost:          c.CallCost,
		Attempts:          c.Attempts,
		Timeout:           c.Timeout,
		MaxRetryWait:      c.MaxRetryWait,
	}
}

// writeFile creates a file and fills it with write. With an empty path it does nothing.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path) //nolint:gosec // the path is the user's argument
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	return errors.Join(write(file), file.Close())
}
