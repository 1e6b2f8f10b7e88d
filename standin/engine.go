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
	Listen          string        `default:"127.0.0.1:19100" env:"STANDIN_LISTEN" help:"IP address and port to listen on."`
	Name            string        `default:"engine" env:"STANDIN_NAME" help:"Name of the engine."`
	Model           []string      `default:"brush" env:"STANDIN_MODEL" help:"Models served from the start on."`
	FirstTokenDelay time.Duration `default:"20ms" env:"STANDIN_FIRST_TOKEN_DELAY" help:"Time before the first token of a prompt that is not cached."`
	TokenDelay      time.Duration `default:"5ms" env:"STANDIN_TOKEN_DELAY" help:"Time before each later token."`
	LoadModelDelay  time.Duration `default:"1s" env:"STANDIN_LOAD_MODEL_DELAY" help:"Time that an order that loads takes."`
	Concurrency     int           `default:"64" env:"STANDIN_CONCURRENCY" help:"Requests that run at the same time; the others wait."`
	AnswerTokens    int           `default:"32" env:"STANDIN_ANSWER_TOKENS" help:"Tokens of an answer that no limit cuts."`
	CacheBlocks     int           `default:"4096" env:"STANDIN_CACHE_BLOCKS" help:"Blocks of the prefix cache."`
	LoadLag         time.Duration `default:"500ms" env:"STANDIN_LOAD_LAG" help:"Age of a load report at the least."`
	ChecksFencing   bool          `env:"STANDIN_CHECKS_FENCING" help:"Refuse orders with an old fencing number."`
	CrashMarker     string        `env:"STANDIN_CRASH_MARKER" help:"Word of a prompt that crashes the engine."`
	Slow            float64       `default:"1" env:"STANDIN_SLOW" help:"Factor by which every delay is stretched."`
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
