package endpoint

import (
	"context"
	"errors"
	"time"
)

var (
	// errUnresponsive is the cause of an attempt that was cancelled because the endpoint sent nothing within the
	// timeout.
	errUnresponsive = errors.New("endpoint sent nothing within the timeout")
	// errRequestTimeout is the cause of a call that exceeded the request timeout of its route.
	errRequestTimeout = errors.New("request exceeded the request timeout of its route")
)

// watchdog cancels an attempt if the endpoint sends nothing within the timeout.
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

// reset restarts the timeout.
func (w *watchdog) reset(timeout time.Duration) { w.timer.Reset(timeout) }

// stop stops the timeout until the next reset. The timeout is stopped at the end of an attempt, and while the router
// waits for the caller and not for the endpoint.
func (w *watchdog) stop() { w.timer.Stop() }
