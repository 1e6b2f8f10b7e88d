package ledger

import (
	"errors"
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// envelopeVersion is the version of the encoding of groups. The fold skips groups of any other version.
const envelopeVersion = 1

// Type numbers of the records in the log. A number must never be reused for another type.
const (
	joinType      = 1
	heartbeatType = 2
	leaveType     = 3
	prepaidType   = 4
	drawType      = 5
	returnType    = 6
	openType      = 7
	billType      = 8
	releaseType   = 9
	fenceType     = 10
	crashType     = 11
)

// minRecordBytes is the minimum length of an encoded record: one byte for its type number and one for its body.
const minRecordBytes = 2

// ErrUnknownVersion reports a group or a snapshot whose encoding version isn't supported.
var ErrUnknownVersion = errors.New("unknown version")

// ErrMalformedGroup reports a payload that can't be decoded as a group.
var ErrMalformedGroup = errors.New("malformed group")

// codec is the subset of the generated MessagePack methods that encode and decode record bodies and snapshot rows.
type codec interface {
	MarshalMsg(b []byte) ([]byte, error)
	UnmarshalMsg(b []byte) ([]byte, error)
}

// Encode returns the payload of a group. It consists of the envelope version, the writer, the first sequence number,
// the number of records, and the type number and body of each record. Encode fails if the group exceeds a bound.
func Encode(g Group) ([]byte, error) {
	if err := g.validate(); err != nil {
		return nil, fmt.Errorf("encoding a group: %w", err)
	}
	b := msgp.AppendUint8(nil, envelopeVersion)
	b, err := appendGroup(b, &g)
	if err != nil {
		return nil, fmt.Errorf("encoding a group: %w", err)
	}
	if len(b) > MaxGroupBytes {
		return nil, fmt.Errorf("encoding a group: %w", ErrGroupTooLong)
	}
	return b, nil
}

// appendGroup appends the encoding of a group without its envelope version.
func appendGroup(b []byte, g *Group) ([]byte, error) {
	b, err := g.Writer.MarshalMsg(b)
	if err != nil {
		return b, err
	}
	b = msgp.AppendUint64(b, g.First)
	b = msgp.AppendArrayHeader(b, uint32(len(g.Records)))
	for _, r := range g.Records {
		if b, err = appendRecord(b, r); err != nil {
			return b, err
		}
	}
	return b, nil
}

// appendRecord appends the type number and the encoded body of a record.
func appendRecord(b []byte, record Record) ([]byte, error) {
	if r, ok := record.(*Unknown); ok {
		b = msgp.AppendUint64(b, r.Type)
		return append(b, r.Body...), nil
	}
	number, body := typeNumber(record)
	b = msgp.AppendUint64(b, number)
	return body.MarshalMsg(b)
}

// typeNumber returns the type number of a record and the record as a codec. It panics on a type without a number.
func typeNumber(record Record) (uint64, codec) {
	switch r := record.(type) {
	case *Join:
		return joinType, r
	case *Heartbeat:
		return heartbeatType, r
	case *Leave:
		return leaveType, r
	case *Prepaid:
		return prepaidType, r
	case *Draw:
		return drawType, r
	case *Return:
		return returnType, r
	case *Open:
		return openType, r
	case *Bill:
		return billType, r
	case *Release:
		return releaseType, r
	case *Fence:
		return fenceType, r
	case *Crash:
		return crashType, r
	default:
		panic(fmt.Sprintf("ledger: record of type %T has no type number", record))
	}
}

// Decode returns the group of a payload that contains exactly one group. Records of unknown types become *Unknown,
// so that the records after them keep their sequence numbers.
func Decode(payload []byte) (Group, error) {
	g, rest, err := decodeNext(payload)
	if err != nil {
		return Group{}, err
	}
	if len(rest) > 0 {
		return Group{}, fmt.Errorf("%w: %d bytes after the last record", ErrMalformedGroup, len(rest))
	}
	return g, nil
}

// decodeNext returns the first group of a payload and the rest of the payload. The payload of a log entry may hold
// several concatenated groups, from the same or from different writers.
func decodeNext(payload []byte) (Group, []byte, error) {
	if len(payload) > MaxGroupBytes {
		return Group{}, nil, fmt.Errorf("%w: %w", ErrMalformedGroup, ErrGroupTooLong)
	}
	version, rest, err := msgp.ReadUint64Bytes(payload)
	if err != nil {
		return Group{}, nil, fmt.Errorf("%w: %w", ErrMalformedGroup, err)
	}
	if version != envelopeVersion {
		return Group{}, nil, fmt.Errorf("%w %d", ErrUnknownVersion, version)
	}
	g, rest, err := readGroup(rest)
	if err != nil {
		return Group{}, nil, fmt.Errorf("%w: %w", ErrMalformedGroup, err)
	}
	return g, rest, nil
}

// readGroup reads and validates a group that is encoded without its envelope version.
func readGroup(b []byte) (Group, []byte, error) {
	var g Group
	b, err := g.Writer.UnmarshalMsg(b)
	if err != nil {
		return g, b, err
	}
	if g.First, b, err = msgp.ReadUint64Bytes(b); err != nil {
		return g, b, err
	}
	count, b, err := msgp.ReadArrayHeaderBytes(b)
	if err != nil {
		return g, b, err
	}
	if int64(count)*minRecordBytes > int64(len(b)) || count > MaxGroupRecords {
		return g, b, ErrGroupTooLong
	}
	g.Records = make([]Record, count)
	for i := range g.Records {
		if g.Records[i], b, err = readRecord(b); err != nil {
			return g, b, err
		}
	}
	return g, b, g.validate()
}

// readRecord reads the type number and the body of a record.
func readRecord(b []byte) (Record, []byte, error) {
	number, b, err := msgp.ReadUint64Bytes(b)
	if err != nil {
		return nil, b, err
	}
	record := newRecord(number)
	body, known := record.(codec)
	if !known {
		return readUnknown(number, b)
	}
	b, err = body.UnmarshalMsg(b)
	return record, b, err
}

// readUnknown reads the body of a record of an unknown type and keeps a copy of its encoding.
func readUnknown(number uint64, b []byte) (Record, []byte, error) {
	rest, err := msgp.Skip(b)
	if err != nil {
		return nil, b, err
	}
	body := append([]byte(nil), b[:len(b)-len(rest)]...)
	return &Unknown{Type: number, Body: body}, rest, nil
}

// newRecord returns an empty record of the type with the given number, or nil if the number isn't known.
func newRecord(number uint64) Record {
	switch number {
	case joinType:
		return new(Join)
	case heartbeatType:
		return new(Heartbeat)
	case leaveType:
		return new(Leave)
	case prepaidType:
		return new(Prepaid)
	case drawType:
		return new(Draw)
	case returnType:
		return new(Return)
	case openType:
		return new(Open)
	case billType:
		return new(Bill)
	case releaseType:
		return new(Release)
	case fenceType:
		return new(Fence)
	case crashType:
		return new(Crash)
	default:
		return nil
	}
}
