package operator

import (
	"errors"
	"testing"
)

// FuzzDecodeTicket starts from every ticket of testdata and the examples. A ticket that was decoded survives being
// encoded and decoded again, and the fold takes any bytes.
func FuzzDecodeTicket(f *testing.F) {
	for _, pattern := range []string{"testdata/bad/*/ticket.yaml", "testdata/full.yaml", "../../examples/*/*.yaml"} {
		for _, file := range glob(f, pattern) {
			f.Add([]byte(read(f, file)))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := DecodeTicket("ticket.yaml", data)
		if err != nil {
			var malformed *TicketError
			assertEqual(t, true, errors.As(err, &malformed) && len(malformed.Problems) > 0)
			return
		}
		again, err := DecodeTicket("again.yaml", payload(ticket))
		assertEqual(t, nil, err)
		assertEqual(t, ticket, again)
	})
}

// FuzzDecodeSnapshot checks that a snapshot that was decoded encodes to an equal one.
func FuzzDecodeSnapshot(f *testing.F) {
	c, _ := (*Configuration)(nil).ApplyAll(streamOf(numbered(1, studio, ofStudio(10)), numbered(2, rival)))
	f.Add(snapshotOf(f, c))
	f.Add(snapshotOf(f, nil))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeSnapshot(data)
		if err != nil {
			assertEqual(t, true, errors.Is(err, ErrCorruptSnapshot) || errors.Is(err, ErrSnapshotVersion) || errors.Is(err, ErrIncompleteSnapshot))
			return
		}
		again, err := DecodeSnapshot(snapshotOf(t, decoded))
		assertEqual(t, nil, err)
		assertSame(t, "snapshot", string(snapshotOf(t, decoded)), string(snapshotOf(t, again)))
	})
}
