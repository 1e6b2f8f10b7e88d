package platform

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

var errCallFailed = errors.New("call failed")

// answerAfter returns a call that is answered after a time.
func answerAfter(wait time.Duration, value string, err error) func(context.Context) (string, error) {
	return func(ctx context.Context) (string, error) {
		if !clock.Sleep(ctx, wait) {
			return "", ctx.Err()
		}
		return value, err
	}
}

func TestReadHedged(t *testing.T) {
	never := answerAfter(time.Hour, "", nil)
	hedge := Hedge{Patience: time.Second, Interval: 400 * time.Millisecond}
	for _, c := range []struct {
		name          string
		hedge         Hedge
		first, repeat func(context.Context) (string, error)
		want          Outcome[string]
		wantErr       error
		wantElapsed   time.Duration
	}{
		{
			"the first call is answered in time", hedge, answerAfter(900*time.Millisecond, "first", nil), never,
			Outcome[string]{"first", 0, true}, nil, 900 * time.Millisecond,
		},
		{
			"the first call hangs", hedge, never, answerAfter(20*time.Millisecond, "repeat", nil),
			Outcome[string]{"repeat", 1, false}, nil, 1020 * time.Millisecond,
		},
		{
			"a slow first call is answered before its repeats", hedge, answerAfter(1500*time.Millisecond, "first", nil), answerAfter(time.Second, "repeat", nil),
			Outcome[string]{"first", 2, true}, nil, 1500 * time.Millisecond,
		},
		{
			"the first call fails", hedge, answerAfter(10*time.Millisecond, "", errCallFailed), never,
			Outcome[string]{"", 0, true}, errCallFailed, 10 * time.Millisecond,
		},
		{
			"a repeat fails while the first call is in progress", hedge, answerAfter(1300*time.Millisecond, "first", nil), answerAfter(0, "", errCallFailed),
			Outcome[string]{"first", 1, true}, nil, 1300 * time.Millisecond,
		},
		{
			"a repeat finds that the records have expired", hedge, never, answerAfter(0, "", ErrTrimmed),
			Outcome[string]{"", 1, false}, ErrTrimmed, time.Second,
		},
		{
			"all calls hang until the context ends", hedge, never, never,
			Outcome[string]{"", 3, false}, context.DeadlineExceeded, 2 * time.Second,
		},
		{
			"the zero value makes one call", Hedge{}, answerAfter(1900*time.Millisecond, "first", nil), nil,
			Outcome[string]{"first", 0, true}, nil, 1900 * time.Millisecond,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				start := time.Now()
				got, err := ReadHedged(ctx, c.hedge, c.first, c.repeat)
				assert.ErrorIs(t, err, c.wantErr)
				assert.Equal(t, c.want, got)
				assert.Equal(t, c.wantElapsed, time.Since(start))
				synctest.Wait()
			})
		})
	}
}
