package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/dig"
)

// waitCommand holds the arguments and flags of the subcommand wait.
type waitCommand struct {
	URL     []string      `arg:"" help:"URLs that must answer with status 200."`
	Timeout time.Duration `default:"30s" env:"STANDIN_TIMEOUT" help:"Maximum total time to wait for all URLs."`
}

// pollInterval is the time between two requests to a URL that is not ready yet.
const pollInterval = 50 * time.Millisecond

// Run polls the URLs one after the other until each has answered with status 200, and fails after the timeout.
func (c *waitCommand) Run(container *dig.Container) error {
	return container.Invoke(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		for _, url := range c.URL {
			if err := waitUntilReady(ctx, url); err != nil {
				return err
			}
		}
		return nil
	})
}

func waitUntilReady(ctx context.Context, url string) error {
	for !isReady(ctx, url) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", url, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
