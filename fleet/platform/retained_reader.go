package platform

import (
	"context"
	"errors"
	"time"
)

// RetainedReader reads all entries of a stream that the log still retains.
type RetainedReader struct {
	Log    Log
	Stream string
	// Limit is the maximum number of entries of one read.
	Limit int
	// CallTimeout bounds each read of the log. If it is zero, only the context does.
	CallTimeout time.Duration
}

// Read calls visit for each retained entry in order until it reaches the stream's end. It stops at the first read that
// fails and returns its error. Entries that the log truncates while Read runs are skipped.
func (r RetainedReader) Read(ctx context.Context, visit func(Entry)) error {
	from := Offset(0)
	for {
		entries, err := r.readOnce(ctx, from)
		var truncated *TruncatedError
		if errors.As(err, &truncated) && truncated.First > from {
			from = truncated.First
			continue
		}
		if err != nil || len(entries) == 0 {
			return err
		}
		for _, e := range entries {
			from = e.Offset + 1
			visit(e)
		}
	}
}

func (r RetainedReader) readOnce(ctx context.Context, from Offset) ([]Entry, error) {
	if r.CallTimeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, r.CallTimeout)
		defer cancel()
		ctx = bounded
	}
	return r.Log.Read(ctx, r.Stream, from, r.Limit)
}
