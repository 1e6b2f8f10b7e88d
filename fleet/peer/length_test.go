package peer

import (
	"bytes"
	"context"
	"io"
	"slices"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// otherFieldsBytes is more than the fields of a message have beside its payload.
const otherFieldsBytes = 1024

// ticketHolder has a change ticket of a length.
type ticketHolder struct {
	copyRecorder

	bytes int
}

// Configuration implements Handler.
func (h *ticketHolder) Configuration(next platform.Offset) []platform.Entry {
	return []platform.Entry{{Offset: next, Payload: make([]byte, h.bytes)}}
}

// TestMessagesUpToTheirBounds guards against messages that are refused as malformed though they are shorter than their bounds.
func TestMessagesUpToTheirBounds(t *testing.T) {
	authority := newAuthority(t)
	for _, length := range []int{4095, 4097, 64 << 10, MaxRequestBytes - otherFieldsBytes} {
		payload := bytes.Repeat([]byte("x"), length)
		a, b := startNode(t, authority, "router-a"), startNode(t, authority, "router-b")
		assert.NoError(t, a.sendCopy(b.address, string(payload)))
		copies := b.handler.acceptedCopies()["router-a"]
		assert.Equal(t, 1, len(copies))
		r, err := openExchangeOf(t, t.Context(), payload, func(_ context.Context, x *Exchange, out *ExchangeWriter) {
			_, _ = out.Accept(), out.WriteHead(&ExchangeHead{Status: 200, ContentLength: -1})
			for part := range slices.Chunk(x.Body, 32<<10) {
				_, _ = out.Write(part)
			}
			_ = out.End(&ExchangeEnd{Outcome: ExchangeComplete})
		})
		assert.Must(t, err)
		_, err = r.ReadHead()
		assert.NoError(t, err)
		body, err := io.ReadAll(r)
		assert.NoError(t, err)
		assert.Equal(t, true, bytes.Equal(payload, body))
		assert.NoError(t, r.Close())
	}
	for _, length := range []int{4097, MaxAnswerBytes - otherFieldsBytes} {
		a, b := startNode(t, authority, "router-a"), startNodeWith(t, authority, "router-b", &ticketHolder{bytes: length})
		entries, err := a.node.FetchConfiguration(t.Context(), b.address, 7)
		assert.Must(t, err)
		assert.Equal(t, length, len(entries[0].Payload))
	}
}
