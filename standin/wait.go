package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/dig"
)

// waitCommand holds the flags of the verb wait.
type waitCommand struct {
	URL     []string      `arg:"" help:"URLs that have to answer with status 200."`
	Timeout time.Duration `default:"30s" env:"STANDIN_TIMEOUT" help:"Time that all of them together may take."`
}

const pollInterval = 50 * time.Millisecond

// Run returns once every URL has answered with status 200.
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
