package main

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/standin/engine"
	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// exitCrash is the exit code of an engine that crashed on its crash marker.
const exitCrash = 3

// engineCommand holds the flags of the subcommand engine.
type engineCommand struct {
	Listen          string        `default:"127.0.0.1:19100" env:"STANDIN_LISTEN" help:"Listen address (IP and port)."`
	Name            string        `default:"engine" env:"STANDIN_NAME" help:"Name of the engine."`
	Model           []string      `default:"brush" env:"STANDIN_MODEL" help:"Models loaded at startup."`
	FirstTokenDelay time.Duration `default:"20ms" env:"STANDIN_FIRST_TOKEN_DELAY" help:"Delay before the first token if the prompt is not cached."`
	TokenDelay      time.Duration `default:"5ms" env:"STANDIN_TOKEN_DELAY" help:"Delay before each subsequent token."`
	LoadModelDelay  time.Duration `default:"1s" env:"STANDIN_LOAD_MODEL_DELAY" help:"Duration of an order that loads models."`
	Concurrency     int           `default:"64" env:"STANDIN_CONCURRENCY" help:"Maximum number of concurrent requests; further requests wait."`
	AnswerTokens    int           `default:"32" env:"STANDIN_ANSWER_TOKENS" help:"Number of tokens in an answer, unless the request sets a lower limit."`
	CacheBlocks     int           `default:"4096" env:"STANDIN_CACHE_BLOCKS" help:"Size of the prefix cache in blocks."`
	LoadLag         time.Duration `default:"500ms" env:"STANDIN_LOAD_LAG" help:"Minimum age of a load report."`
	ChecksFencing   bool          `env:"STANDIN_CHECKS_FENCING" help:"Refuse orders with an outdated fencing number."`
	CrashMarker     string        `env:"STANDIN_CRASH_MARKER" help:"Word that crashes the engine if a prompt contains it."`
	Slow            float64       `default:"1" env:"STANDIN_SLOW" help:"Factor by which every delay is multiplied."`
}

// Run serves the engine until the process receives SIGINT or SIGTERM.
func (c *engineCommand) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, logger *log.Logger) error {
		named := logger.WithField("Name", c.Name)
		e := &engine.Engine{Settings: c.settings(), Crash: func() {
			named.Error("prompt contains the crash marker")
			os.Exit(exitCrash)
		}}
		e.SetSlowFactor(c.Slow)
		e.Start(ctx)
		server := serve.Server{
			Listen:  c.Listen,
			Handler: e.Handler(),
			Logger:  named,
			Wrap:    e.Faults.WrapListener,
			Context: e.Faults.ConnContext,
		}
		return server.Run(ctx)
	})
}

func (c *engineCommand) settings() engine.Settings {
	return engine.Settings{
		Name:            c.Name,
		Models:          c.Model,
		FirstTokenDelay: c.FirstTokenDelay,
		TokenDelay:      c.TokenDelay,
		LoadModelDelay:  c.LoadModelDelay,
		Concurrency:     c.Concurrency,
		AnswerTokens:    c.AnswerTokens,
		CacheBlocks:     c.CacheBlocks,
		LoadLag:         c.LoadLag,
		ChecksFencing:   c.ChecksFencing,
		CrashMarker:     c.CrashMarker,
	}
}
