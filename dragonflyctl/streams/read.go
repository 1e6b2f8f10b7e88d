// Package streams follows the streams of the platform's log for the verbs.
package streams

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const (
	// readLimit bounds the entries of one read.
	readLimit = 1024
	// callTimeout bounds one call of the log.
	callTimeout = 5 * time.Second
	// pollInterval is the time between two reads at the end of a stream.
	pollInterval = 100 * time.Millisecond
)

// ErrTruncated reports a stream whose beginning the log has dropped while there is no usable snapshot.
var ErrTruncated = errors.New("the beginning of the stream is no longer kept and no usable snapshot covers it")

// read reads entries and reports whether they may have reached the stream's end.
func read(ctx context.Context, log platform.Log, stream string, from platform.Offset) ([]platform.Entry, bool, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := log.Read(bounded, stream, from, readLimit)
	if err != nil {
		return nil, false, err
	}
	return entries, platform.AtEnd(entries, readLimit), nil
}

// readAll calls visit with each entry that a stream still keeps.
func readAll(ctx context.Context, log platform.Log, stream string, visit func(platform.Entry)) error {
	reader := platform.KeptReader{Log: log, Stream: stream, Limit: readLimit, CallTimeout: callTimeout}
	return reader.Read(ctx, visit)
}

// Append appends a payload within the time of one call.
func Append(ctx context.Context, log platform.Log, stream string, payload []byte) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := log.Append(bounded, stream, payload)
	return err
}

// Wait pauses before the next read at the end of a stream, or until ctx ends.
func Wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pollInterval):
	}
}

func truncation(err error) error { return fmt.Errorf("%w: %w", ErrTruncated, err) }
