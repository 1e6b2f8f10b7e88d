package platform

import (
	"context"
	"errors"
	"time"
)

// AnyOffset makes AppendAt unconditional if it is passed as the expected end of the partition.
const AnyOffset int64 = -1

// KeyedRecord is a record of a keyed topic. A record with an empty value is a tombstone that deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// KeyedState holds the newest record of each key of a partition. Records may include changes from End on, but lack none
// before it.
type KeyedState struct {
	Records []KeyedRecord
	// End is the offset of the next record to be appended.
	End int64
}

// KeyedTail holds the records of a partition from an offset on, in order and without gaps.
type KeyedTail struct {
	Records []KeyedRecord
	// Next is the offset after the last of the records, from which the next read continues.
	Next int64
}

// KeyedLog is a log of compacted topics: each retains the newest record of every key without limit, while older records
// expire.
type KeyedLog interface {
	// Newest returns the newest record of each key of a partition.
	Newest(ctx context.Context, topic string, partition int) (KeyedState, error)
	// ReadKeyed is a long poll. It returns the records from an offset on as soon as there are any, or none once the wait
	// is over. It fails with ErrTrimmed if records from the offset on have expired.
	ReadKeyed(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (KeyedTail, error)
	// AppendAt atomically appends the records if the partition ends at the expected offset, and returns the new end. With
	// AnyOffset it appends them at any end. ErrConflict and ErrRefused mean that nothing was appended. After any other
	// error the records may have been appended, or may still be appended later.
	AppendAt(ctx context.Context, topic string, partition int, end int64, records []KeyedRecord) (int64, error)
}

var (
	// ErrTrimmed means that a read asked for records that have expired.
	ErrTrimmed = errors.New("records have expired")
	// ErrConflict means that a conditional append expected another end of the partition.
	ErrConflict = errors.New("partition ends at another offset")
	// ErrRefused means that the platform rejected a call, which had no effect.
	ErrRefused = errors.New("call refused")
)
