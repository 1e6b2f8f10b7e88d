package endpoint

import (
	"context"
	"errors"
	"time"
)

var (
	// errUnresponsive is the cause of an attempt that ended because the endpoint sent nothing in time.
	errUnresponsive = errors.New("endpoint sent nothing in time")
	// errRequestTimeout is the cause of a call that took longer than its route allows.
	errRequestTimeout = errors.New("request took longer than its route allows")
)

// watchdog cancels an attempt whose endpoint is silent for too long.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func newWatchdog(cancel context.CancelCauseFunc, timeout time.Duration) *watchdog {
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(timeout, w.expire)
	return w
}

func (w *watchdog) expire() { w.cancel(errUnresponsive) }

// reset starts the time anew.
func (w *watchdog) reset(timeout time.Duration) { w.timer.Reset(timeout) }

// stop ends the watch, also while the router waits for the caller and not for the endpoint.
func (w *watchdog) stop() { w.timer.Stop() }
