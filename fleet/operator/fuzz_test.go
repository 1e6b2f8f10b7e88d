package operator

import (
	"errors"
	"testing"
)

// FuzzDecodeTicket checks that DecodeTicket handles any input without a panic, lists at least one problem for an
// invalid ticket, and decodes the encoding of a valid ticket to an equal one. Its seeds are the tickets of testdata and
// examples.
func FuzzDecodeTicket(f *testing.F) {
	for _, pattern := range []string{"testdata/bad/*/ticket.yaml", "testdata/full.yaml", "../../examples/*/*.yaml"} {
		for _, file := range globFiles(f, pattern) {
			f.Add([]byte(readFile(f, file)))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := DecodeTicket("ticket.yaml", data)
		if err != nil {
			var malformed *TicketError
			assertEqual(t, true, errors.As(err, &malformed) && len(malformed.Problems) > 0)
			return
		}
		roundTripped, err := DecodeTicket("again.yaml", encodeTicket(ticket))
		assertEqual(t, nil, err)
		assertEqual(t, ticket, roundTripped)
	})
}

// FuzzDecodeSnapshot checks that invalid snapshots give one of the documented errors, and that valid ones can be
// encoded and decoded again without a difference.
func FuzzDecodeSnapshot(f *testing.F) {
	c, _ := (*Configuration)(nil).ApplyAll(streamEntries(ticketText(1, studio, studioBudget(10)), ticketText(2, rivalWithStudioKey)))
	f.Add(encodeSnapshot(f, c))
	f.Add(encodeSnapshot(f, nil))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeSnapshot(data)
		if err != nil {
			assertEqual(t, true, errors.Is(err, ErrCorruptSnapshot) || errors.Is(err, ErrSnapshotVersion) || errors.Is(err, ErrIncompleteSnapshot))
			return
		}
		roundTripped, err := DecodeSnapshot(encodeSnapshot(t, decoded))
		assertEqual(t, nil, err)
		assertSame(t, "snapshot", string(encodeSnapshot(t, decoded)), string(encodeSnapshot(t, roundTripped)))
	})
}
