package order

import (
	"errors"
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// envelopeVersion is the version of the entry encoding. Readers skip entries of other versions.
const envelopeVersion = 1

// Type numbers of the records on the orders stream. A number is never reused for another type.
const (
	claimType  = 1
	renewType  = 2
	yieldType  = 3
	fenceType  = 4
	reportType = 5
	orderType  = 6
	doneType   = 7
)

// maxEntryBytes is the maximum size of an encoded entry in bytes.
const maxEntryBytes = 64 << 10

// Errors of Encode and Decode. The fold skips payloads that cannot be decoded.
var (
	ErrUnknownVersion = errors.New("unknown entry version")
	ErrUnknownType    = errors.New("unknown record type")
	ErrMalformed      = errors.New("malformed orders stream entry")
)

// recordCodec consists of the generated methods that encode and decode a record's body.
type recordCodec interface {
	MarshalMsg(b []byte) ([]byte, error)
	UnmarshalMsg(b []byte) ([]byte, error)
}

// Encode returns the payload of an entry: version, writer, sequence number, type number and body. It fails with
// ErrMalformed if the record is missing, the sequence number is zero or the payload exceeds maxEntryBytes.
func Encode(e Entry) ([]byte, error) {
	number, body := typeNumber(e.Record)
	if body == nil || e.Sequence == 0 {
		return nil, fmt.Errorf("encode orders stream entry: %w", ErrMalformed)
	}
	b := msgp.AppendUint8(nil, envelopeVersion)
	b, err := e.Writer.MarshalMsg(b)
	if err != nil {
		return nil, fmt.Errorf("encode orders stream entry: %w", err)
	}
	b = msgp.AppendUint64(b, e.Sequence)
	b = msgp.AppendUint64(b, number)
	b, err = body.MarshalMsg(b)
	if err != nil {
		return nil, fmt.Errorf("encode orders stream entry: %w", err)
	}
	if len(b) > maxEntryBytes {
		return nil, fmt.Errorf("encode orders stream entry: %w: %d bytes exceed the size limit", ErrMalformed, len(b))
	}
	return b, nil
}

// typeNumber returns the record's type number and the record as a recordCodec; the codec is nil for a nil record.
func typeNumber(record Record) (uint64, recordCodec) {
	switch r := record.(type) {
	case *Claim:
		return claimType, r
	case *Renew:
		return renewType, r
	case *Yield:
		return yieldType, r
	case *Fence:
		return fenceType, r
	case *Report:
		return reportType, r
	case *Order:
		return orderType, r
	case *Done:
		return doneType, r
	default:
		return 0, nil
	}
}

// Decode returns the entry of a payload. If the error is ErrUnknownType, the entry's writer and sequence number are
// valid, because a record of an unknown type still renews its writer's lease.
func Decode(payload []byte) (Entry, error) {
	if len(payload) > maxEntryBytes {
		return Entry{}, fmt.Errorf("%w: %d bytes exceed the size limit", ErrMalformed, len(payload))
	}
	version, b, err := msgp.ReadUint64Bytes(payload)
	if err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if version != envelopeVersion {
		return Entry{}, fmt.Errorf("%w %d", ErrUnknownVersion, version)
	}
	return readEntry(b)
}

// readEntry decodes the part of a payload that follows the envelope version.
func readEntry(b []byte) (Entry, error) {
	var e Entry
	b, err := e.Writer.UnmarshalMsg(b)
	if err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if e.Sequence, b, err = msgp.ReadUint64Bytes(b); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	number, b, err := msgp.ReadUint64Bytes(b)
	if err != nil || e.Sequence == 0 {
		return Entry{}, fmt.Errorf("%w: invalid record type or sequence number %d: %w", ErrMalformed, e.Sequence, err)
	}
	record := newRecord(number)
	if record == nil {
		return e, fmt.Errorf("%w: %d", ErrUnknownType, number)
	}
	rest, err := record.(recordCodec).UnmarshalMsg(b)
	if err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(rest) > 0 {
		return Entry{}, fmt.Errorf("%w: %d unexpected bytes after the record", ErrMalformed, len(rest))
	}
	e.Record = record
	return e, nil
}

// newRecord returns an empty record of the given type number, or nil if the number is unknown.
func newRecord(number uint64) Record {
	switch number {
	case claimType:
		return new(Claim)
	case renewType:
		return new(Renew)
	case yieldType:
		return new(Yield)
	case fenceType:
		return new(Fence)
	case reportType:
		return new(Report)
	case orderType:
		return new(Order)
	case doneType:
		return new(Done)
	default:
		return nil
	}
}
