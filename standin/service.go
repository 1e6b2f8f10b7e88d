package main

import (
	"context"
	"time"

	"github.com/apex/log"
	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
	"github.com/dragonflyworks/dragonflyworks/standin/service"
)

// serviceCommand holds the flags of the subcommand service.
type serviceCommand struct {
	Listen string        `default:"127.0.0.1:19200" env:"STANDIN_LISTEN" help:"Listen address (IP and port)."`
	Name   string        `default:"service" env:"STANDIN_NAME" help:"Name of the service, which is part of every answer."`
	Delay  time.Duration `default:"0s" env:"STANDIN_DELAY" help:"Duration of a run."`
}

// Run serves the plain service until the process receives SIGINT or SIGTERM.
func (c *serviceCommand) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, logger *log.Logger) error {
		s := &service.Service{Name: c.Name, Delay: c.Delay}
		server := serve.Server{
			Listen:  c.Listen,
			Handler: s.Handler(),
			Logger:  logger.WithField("Name", c.Name),
			Wrap:    s.Faults.WrapListener,
			Context: s.Faults.ConnContext,
		}
		return server.Run(ctx)
	})
}
