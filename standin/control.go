package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/dig"
)

// controlCommand holds the arguments and flags of the subcommand control.
type controlCommand struct {
	URL     string        `arg:"" help:"URL of the control path with its parameters, for example http://127.0.0.1:19000/control/log/outage?For=5s."`
	Method  string        `default:"POST" enum:"GET,POST,DELETE" env:"STANDIN_METHOD" help:"Method of the request: GET, POST or DELETE."`
	Body    string        `env:"STANDIN_BODY" help:"Body of the request."`
	Timeout time.Duration `default:"5s" env:"STANDIN_TIMEOUT" help:"Timeout of the request."`
}

// Run sends one request to a control path and prints the answer. It fails on a status from 400 on.
func (c *controlCommand) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context, stdout output) error {
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
		if err != nil {
			return fmt.Errorf("build control request: %w", err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return fmt.Errorf("send control request: %w", err)
		}
		defer func() { _ = response.Body.Close() }()
		if _, err := io.Copy(stdout, response.Body); err != nil {
			return fmt.Errorf("read control answer: %w", err)
		}
		if response.StatusCode >= http.StatusBadRequest {
			return fmt.Errorf("control request: status %d", response.StatusCode)
		}
		return nil
	})
}
