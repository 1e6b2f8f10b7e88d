package platform

import (
	"context"
	"errors"
	"time"
)

// KeptReader reads all that a stream still keeps.
type KeptReader struct {
	Log    Log
	Stream string
	// Limit is the number of entries that one read asks for.
	Limit int
	// CallTimeout bounds each read; zero leaves that to the context.
	CallTimeout time.Duration
}

// Read visits the kept entries in order, up to the stream's end or the first failed read, whose error it
// returns. Entries that the log drops meanwhile are left out.
func (r KeptReader) Read(ctx context.Context, visit func(Entry)) error {
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

func (r KeptReader) readOnce(ctx context.Context, from Offset) ([]Entry, error) {
	if r.CallTimeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, r.CallTimeout)
		defer cancel()
		ctx = bounded
	}
	return r.Log.Read(ctx, r.Stream, from, r.Limit)
}
