package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	// newerEntriesTimeout bounds a read of the entries that are newer than the directory.
	newerEntriesTimeout = 300 * time.Millisecond
	// maxNewerReads is the number of reads within which the end of the topic must be reached: one, and one that finds nothing further.
	maxNewerReads = 4
)

// errTopicGrows reports that the end of the topic was not reached.
var errTopicGrows = errors.New("endpoints' entries are written faster than they are read")

// newerEntries reads the endpoints' entries that are newer than the directory. A router that was suspended, or cut off, has an older directory
// than its age shows: the answer to its last read may have waited in a buffer. The zero value reads nothing.
type newerEntries struct {
	directories *Directories

	mu sync.Mutex
	// startedAt, entries and err are the start and the result of the last read.
	startedAt time.Time
	entries   []site.Endpoint
	err       error
}

// read returns the entries that were written after those of the directory and before the call. Calls at the same time share a read, which begins
// after all of them.
func (n *newerEntries) read(ctx context.Context) ([]site.Endpoint, error) {
	if n.directories == nil {
		return nil, nil
	}
	calledAt := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.startedAt.After(calledAt) {
		return n.entries, n.err
	}
	n.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), newerEntriesTimeout)
	defer cancel()
	n.entries, n.err = n.directories.readNewer(ctx)
	return n.entries, n.err
}

// readNewer returns the entries that were written after those of the directory.
func (d *Directories) readNewer(ctx context.Context) ([]site.Endpoint, error) {
	var entries []site.Endpoint
	offset := d.appliedOffset.Load()
	for range maxNewerReads {
		tail, err := d.Source.Log.ReadKeyed(ctx, d.Source.DirectoryTopic, 0, offset, 0)
		if err != nil {
			return nil, fmt.Errorf("read newer entries of endpoints: %w", err)
		}
		if len(tail.Records) == 0 {
			return entries, nil
		}
		for _, record := range tail.Records {
			if len(record.Value) == 0 {
				continue
			}
			// An entry that can't be decoded names no endpoint.
			if e, err := d.Source.DecodeEndpoint(record.Key, record.Value); err == nil {
				entries = append(entries, e)
			}
		}
		offset = tail.Next
	}
	return nil, errTopicGrows
}
