// Package streams reads the configuration and the ledger from the platform's log for the commands.
package streams

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const (
	// readLimit is the upper bound on the number of entries per read.
	readLimit = 1024
	// callTimeout is the timeout of a single call to the platform's log.
	callTimeout = 5 * time.Second
	// pollInterval is the pause between reads once the end of a stream is reached.
	pollInterval = 100 * time.Millisecond
)

// ErrTruncated reports that the log has dropped the beginning of a stream and that no usable snapshot covers the dropped entries.
var ErrTruncated = errors.New("the beginning of the stream is no longer kept and no usable snapshot covers it")

// readBatch reads up to readLimit entries from an offset and reports whether they may extend to the stream's end.
func readBatch(ctx context.Context, log platform.Log, stream string, from platform.Offset) ([]platform.Entry, bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := log.Read(callCtx, stream, from, readLimit)
	if err != nil {
		return nil, false, err
	}
	return entries, platform.MayBeAtEnd(entries, readLimit), nil
}

// readRetained calls visit with each entry of a stream that the log still keeps, in order.
func readRetained(ctx context.Context, log platform.Log, stream string, visit func(platform.Entry)) error {
	reader := platform.RetainedReader{Log: log, Stream: stream, Limit: readLimit, CallTimeout: callTimeout}
	return reader.Read(ctx, visit)
}

// Append appends a payload to a stream within callTimeout. The entry can be in the log even if Append returns an error.
func Append(ctx context.Context, log platform.Log, stream string, payload []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := log.Append(callCtx, stream, payload)
	return err
}

// WaitPollInterval pauses for pollInterval or until ctx ends, whichever comes first.
func WaitPollInterval(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pollInterval):
	}
}

func newTruncatedError(err error) error { return fmt.Errorf("%w: %w", ErrTruncated, err) }
