package platform

import (
	"context"
	"errors"
	"time"
)

// Hedge makes a read again, on other connections, while it has no answer. A connection that has gone silent can't be told from a
// platform that is away by a call that hangs there, but by another call that is answered. The zero value makes one call only.
type Hedge struct {
	// Patience is the time for which the first call is waited for, and Interval the time between the further calls.
	Patience, Interval time.Duration
}

// Outcome says how a hedged read ended.
type Outcome[T any] struct {
	Value T
	// Repeats is the number of calls that were made beside the first, and IsFirst whether the first one brought the result.
	Repeats int
	IsFirst bool
}

// hedgedCall is the result of one of the calls of a hedged read.
type hedgedCall[T any] struct {
	value   T
	err     error
	isFirst bool
}

// hedgedRead is a hedged read in progress.
type hedgedRead[T any] struct{ calls chan hedgedCall[T] }

// run makes one of the calls.
func (h *hedgedRead[T]) run(ctx context.Context, isFirst bool, read func(context.Context) (T, error)) {
	value, err := read(ctx)
	select {
	case h.calls <- hedgedCall[T]{value, err, isFirst}:
	case <-ctx.Done():
	}
}

// ReadHedged calls first and, while no call is answered, repeat. It returns the first value or ErrTrimmed, or the last error once the
// context has ended or no call is in progress any more. The other calls are cancelled.
func ReadHedged[T any](ctx context.Context, h Hedge, first, repeat func(context.Context) (T, error)) (Outcome[T], error) {
	if h.Interval <= 0 {
		value, err := first(ctx)
		return Outcome[T]{Value: value, IsFirst: true}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	inProgress := &hedgedRead[T]{calls: make(chan hedgedCall[T])}
	go inProgress.run(ctx, true, first)
	timer := time.NewTimer(h.Patience)
	defer timer.Stop()
	outcome := Outcome[T]{}
	for pending := 1; ; {
		select {
		case call := <-inProgress.calls:
			pending--
			outcome.Value, outcome.IsFirst = call.value, call.isFirst
			if call.err == nil || errors.Is(call.err, ErrTrimmed) || pending == 0 {
				return outcome, call.err
			}
		case <-timer.C:
			pending++
			outcome.Repeats++
			go inProgress.run(ctx, false, repeat)
			timer.Reset(h.Interval)
		case <-ctx.Done():
			return outcome, ctx.Err()
		}
	}
}
