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
	Target            []string          `required:"" env:"STANDIN_TARGET" help:"Base URLs of routers; each attempt chooses one at random."`
	DirectEngine      []string          `env:"STANDIN_DIRECT_ENGINE" help:"Base URLs of engines; the same requests are first sent directly to them, and the report shows the latency that the routers add."`
	DirectService     []string          `env:"STANDIN_DIRECT_SERVICE" help:"Base URLs of plain services for the same measurement as --direct-engine."`
	Key               map[string]string `required:"" env:"STANDIN_KEY" help:"Bearer keys by team, for example team-a=key-a;team-b=key-b."`
	Budget            map[string]string `env:"STANDIN_BUDGET" help:"Budgets named by the requests of a team, for example team-a=main,main,trial; a budget listed twice is named twice as often."`
	Requests          int               `default:"200" env:"STANDIN_REQUESTS" help:"Maximum number of requests to send."`
	Duration          time.Duration     `default:"30s" env:"STANDIN_DURATION" help:"Time after which no further request is started."`
	Rate              float64           `default:"0" env:"STANDIN_RATE" help:"Requests per second; 0 means as fast as the concurrency allows."`
	Concurrency       int               `default:"16" env:"STANDIN_CONCURRENCY" help:"Maximum number of concurrent requests."`
	Seed              uint64            `default:"1" env:"STANDIN_SEED" help:"Seed of the random generator for the requests."`
	KeyPrefix         string            `env:"STANDIN_KEY_PREFIX" help:"Prefix of every Idempotency-Key; load-SEED if empty."`
	Mix               map[load.Kind]int `default:"Stream=5;Whole=3;Plain=1;NonIdempotent=1" env:"STANDIN_MIX" help:"Relative frequencies of the request kinds Stream, Whole, Plain and NonIdempotent."`
	Model             string            `default:"brush" env:"STANDIN_MODEL" help:"Model named in model calls."`
	PlainPath         string            `default:"/atelier" env:"STANDIN_PLAIN_PATH" help:"Path of plain calls."`
	NonIdempotentPath string            `default:"/deposits" env:"STANDIN_NON_IDEMPOTENT_PATH" help:"Path of non-idempotent calls."`
	MaxTokens         int               `default:"48" env:"STANDIN_MAX_TOKENS" help:"Maximum value of max_tokens in a model call."`
	PromptWords       int               `default:"48" env:"STANDIN_PROMPT_WORDS" help:"Number of words in a prompt, not counting its nonce."`
	CallCost          int               `default:"1" env:"STANDIN_CALL_COST" help:"Cost of a plain call in tokens, as configured for its route."`
	Attempts          int               `default:"5" env:"STANDIN_ATTEMPTS" help:"Maximum number of attempts per request."`
	Timeout           time.Duration     `default:"30s" env:"STANDIN_TIMEOUT" help:"Timeout of an attempt."`
	MaxRetryWait      time.Duration     `default:"3s" env:"STANDIN_MAX_RETRY_WAIT" help:"Maximum time to wait before a retry."`
	Report            string            `env:"STANDIN_REPORT" help:"File to write the report to, as JSON."`
	Plot              string            `env:"STANDIN_PLOT" help:"File to write a plot of the report to, as SVG."`
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
