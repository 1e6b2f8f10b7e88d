package platform

import (
	"context"
	"errors"
	"time"
)

// AnyOffset makes an append unconditional.
const AnyOffset int64 = -1

// KeyedRecord is a record of a keyed topic. A record without a value ends its key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// KeyedState is the newest record of each key of a partition. The records may be newer than End, never older.
type KeyedState struct {
	Records []KeyedRecord
	// End is the offset that the next record gets.
	End int64
}

// KeyedTail are the records of a partition from an offset on, in order and without gaps.
type KeyedTail struct {
	Records []KeyedRecord
	// Next is the offset after the last of the records.
	Next int64
}

// KeyedLog is a log whose topics keep the newest record of each key for ever, while their history expires.
type KeyedLog interface {
	// Newest returns the newest record of each key of a partition.
	Newest(ctx context.Context, topic string, partition int) (KeyedState, error)
	// ReadKeyed returns the records from an offset on as soon as there is one; none after the wait. It fails with
	// ErrTrimmed if the log no longer keeps the records.
	ReadKeyed(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (KeyedTail, error)
	// AppendAt appends all records, or none unless the partition ends at the offset, and returns the new end. AnyOffset
	// stands for wherever the partition ends. ErrMoved
	// and ErrRefused say that nothing was appended; another error leaves it open, also whether it will be later.
	AppendAt(ctx context.Context, topic string, partition int, at int64, records []KeyedRecord) (int64, error)
}

var (
	// ErrTrimmed reports a read of records that have expired.
	ErrTrimmed = errors.New("records have expired")
	// ErrMoved reports a conditional append to a partition that ends elsewhere.
	ErrMoved = errors.New("partition ends at another offset")
	// ErrRefused reports a call that the platform turned away without doing anything.
	ErrRefused = errors.New("call refused")
)
