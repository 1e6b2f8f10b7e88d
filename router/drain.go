package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// waitAndDrain waits for a signal or the failure of a loop and then ends gracefully. The order matters: the
// balancer learns first that no new work is wanted, then new work is refused, then the running requests
// finish, and only then does the ledger's client write its last records and leave.
func (p *program) waitAndDrain(ctx context.Context, callers *listener, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
	}
	drainCtx, cancel := context.WithTimeout(ctx, p.Settings.DrainDelay+p.Settings.DrainMaximum)
	defer cancel()
	d := &drain{program: p, callers: callers, done: make(chan error, 1)}
	go d.run(drainCtx)
	select {
	case err := <-d.done:
		return err
	case <-signals:
		return errForced
	}
}

// drain is a graceful end in progress.
type drain struct {
	program *program
	callers *listener
	done    chan error
}

func (d *drain) run(ctx context.Context) { d.done <- d.shutDown(ctx) }

func (d *drain) shutDown(ctx context.Context) error {
	d.program.Board.Leaving.Store(true)
	d.program.Logger.Info("readiness is off")
	select {
	case <-ctx.Done():
	case <-time.After(d.program.Settings.DrainDelay):
	}
	d.program.Board.Draining.Store(true)
	d.program.Logger.Info("new work is refused")
	if err := d.callers.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("waiting for running requests: %w", err)
	}
	result, err := d.program.Ledger.Drain(ctx)
	switch {
	case err != nil:
		return fmt.Errorf("writing the last records: %w", err)
	case result.HandedOver > 0:
		d.program.Logger.WithField("Records", result.HandedOver).Warn("the log can't be reached; other routers append the last records")
	default:
		d.program.Logger.Info("all records are in the log, shares returned")
	}
	return nil
}
