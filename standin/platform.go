package main

import (
	"context"
	"time"

	"github.com/apex/log"
	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
	"github.com/dragonflyworks/dragonflyworks/standin/platform"
	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// platformCommand holds the flags of the subcommand platform.
type platformCommand struct {
	Listen           string        `default:"127.0.0.1:19000" env:"STANDIN_LISTEN" help:"Listen address (IP and port)."`
	RetentionEntries int           `default:"0" env:"STANDIN_RETENTION_ENTRIES" help:"Maximum number of entries kept in each stream; 0 keeps all."`
	RetentionAge     time.Duration `default:"0s" env:"STANDIN_RETENTION_AGE" help:"Time for which an entry is kept; 0s keeps entries indefinitely."`
	AppendRate       int           `default:"0" env:"STANDIN_APPEND_RATE" help:"Maximum number of appends per second; further appends are delayed; 0 means no limit."`
	Delay            time.Duration `default:"0s" env:"STANDIN_DELAY" help:"Delay of every call to the log."`
}

// Run serves the platform until the process receives SIGINT or SIGTERM.
func (c *platformCommand) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, logger *log.Logger) error {
		service := &platform.Service{}
		service.Log.SetRetention(memory.Retention{Entries: c.RetentionEntries, Age: c.RetentionAge})
		service.Log.SetAppendRate(c.AppendRate)
		service.Log.SetDelay(c.Delay)
		server := serve.Server{Listen: c.Listen, Handler: service.Handler(), Logger: logger}
		return server.Run(ctx)
	})
}
