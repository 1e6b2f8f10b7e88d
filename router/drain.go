package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// answerTime is how long handlers may take to answer the requests in progress that the router ends.
const answerTime = time.Second

// waitAndDrain waits for a signal and then shuts the router down gracefully; a second signal makes it return errForced. If ctx
// ends first, because a loop failed, it ends the requests in flight at once, with an answer, and returns nil. The order of the shutdown matters: the router first
// reports to the load balancer that it is not ready, then refuses new requests, then waits for those in flight. The ledger
// client appends its last records and leaves at the end, because requests in flight still have to be billed. Requests that are in flight
// when the wait is over, or at a second signal, are ended with an answer.
func (p *program) waitAndDrain(ctx context.Context, callers *httpListener, signals <-chan os.Signal) error {
	d := &drain{program: p, callers: callers, done: make(chan error, 1)}
	if !p.awaitStop(ctx, signals) {
		p.Board.Leaving.Store(true)
		p.Board.Draining.Store(true)
		d.endRequests(ctx)
		return nil
	}
	drainCtx, cancel := context.WithTimeout(ctx, p.Settings.DrainDelay+p.Settings.DrainMaximum)
	defer cancel()
	go d.run(drainCtx)
	forced := make(chan bool, 1)
	go d.runForced(drainCtx, signals, forced)
	select {
	case err := <-d.done:
		return err
	case <-forced:
		d.endRequests(ctx)
		return errForced
	}
}

// awaitStop waits for a signal to stop and reports whether one came before ctx ended.
func (p *program) awaitStop(ctx context.Context, signals <-chan os.Signal) bool {
	select {
	case <-ctx.Done():
		return false
	case <-signals:
		return true
	}
}

// drain is a graceful shutdown in progress.
type drain struct {
	program *program
	callers *httpListener
	done    chan error
}

// runForced reports a second signal to stop on forced.
func (d *drain) runForced(ctx context.Context, signals <-chan os.Signal, forced chan<- bool) {
	if d.program.awaitStop(ctx, signals) {
		forced <- true
	}
}

func (d *drain) run(ctx context.Context) { d.done <- d.shutDown(ctx) }

func (d *drain) shutDown(ctx context.Context) error {
	d.program.Board.Leaving.Store(true)
	d.program.Logger.Info("readiness off; waiting for the drain delay")
	select {
	case <-ctx.Done():
	case <-time.After(d.program.Settings.DrainDelay):
	}
	d.program.Board.Draining.Store(true)
	d.program.Logger.Info("refusing new requests")
	if err := d.callers.server.Shutdown(ctx); err != nil {
		d.endRequests(ctx)
		return fmt.Errorf("waiting for requests in flight: %w", err)
	}
	result, err := d.program.Ledger.Drain(ctx)
	switch {
	case err != nil:
		return fmt.Errorf("draining the ledger client: %w", err)
	case result.HandedOver > 0:
		d.program.Logger.WithField("Records", result.HandedOver).Warn("log unreachable; other routers will append the last records")
	default:
		d.program.Logger.Info("drain complete; all records are in the log and all shares are returned")
	}
	return nil
}

// endRequests ends the requests in flight and waits until they have been answered, up to answerTime, also if ctx has ended.
func (d *drain) endRequests(ctx context.Context) {
	d.program.Logger.Warn("ending the requests in flight")
	d.callers.endRequests(verdict.Refuse(verdict.ShuttingDown, ""))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	if err := d.callers.server.Shutdown(ctx); err != nil {
		d.program.Logger.WithError(err).Warn("some requests in flight were not answered")
	}
}
