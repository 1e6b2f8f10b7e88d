package peer

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// exchangeRecorder is a Handler that answers exchanges with a function.
type exchangeRecorder struct {
	copyRecorder

	answer func(ctx context.Context, x *Exchange, out *ExchangeWriter)
}

func (r *exchangeRecorder) HandleExchange(ctx context.Context, _ string, x *Exchange, out *ExchangeWriter) {
	r.answer(ctx, x, out)
}

func permitted() error { return nil }

// openExchange opens an exchange between two routers, of which the second answers with a function.
func openExchange(t *testing.T, ctx context.Context, answer func(context.Context, *Exchange, *ExchangeWriter)) (*ExchangeReader, error) { //nolint:revive // t first, as helpers do
	t.Helper()
	return openExchangeOf(t, ctx, []byte("body"), answer)
}

// openExchangeOf opens an exchange of a request with a body.
func openExchangeOf(t *testing.T, ctx context.Context, body []byte, answer func(context.Context, *Exchange, *ExchangeWriter)) (*ExchangeReader, error) { //nolint:revive // t first, as helpers do
	t.Helper()
	authority := newAuthority(t)
	a, b := startNode(t, authority, "router-a"), startNodeWith(t, authority, "router-b", &exchangeRecorder{answer: answer})
	return a.node.OpenExchange(ctx, b.address, &Exchange{Endpoint: "e", Method: "POST", Body: body, Header: []HeaderField{{Name: "User-Agent"}}}, permitted)
}

func TestExchange(t *testing.T) {
	head := &ExchangeHead{Status: 200, ContentLength: -1, IsChunked: true, Writes: 1}
	t.Run("complete", func(t *testing.T) {
		r, err := openExchange(t, t.Context(), func(_ context.Context, x *Exchange, out *ExchangeWriter) {
			_, _ = out.Accept(), out.WriteHead(head)
			_, _ = out.Write(x.Body)
			_, _ = out.Write([]byte(", answered"))
			_ = out.End(&ExchangeEnd{Outcome: ExchangeComplete})
		})
		assert.Must(t, err)
		got, err := r.ReadHead()
		assert.NoError(t, err)
		assert.Equal(t, 200, got.Status)
		body, err := io.ReadAll(iotest.OneByteReader(r))
		assert.NoError(t, err)
		assert.Equal(t, "body, answered", string(body))
		assert.NoError(t, r.Close())
	})
	t.Run("declined", func(t *testing.T) {
		_, err := openExchange(t, t.Context(), func(_ context.Context, _ *Exchange, out *ExchangeWriter) {
			_ = out.End(&ExchangeEnd{Outcome: ExchangeDeclined, Cause: "leaving"})
		})
		assertEnd(t, ExchangeEnd{Outcome: ExchangeDeclined, Cause: "leaving"}, err)
	})
	t.Run("a router that carries out none", func(t *testing.T) {
		authority := newAuthority(t)
		a, b := startNode(t, authority, "router-a"), startNode(t, authority, "router-b")
		_, err := a.node.OpenExchange(t.Context(), b.address, &Exchange{}, permitted)
		assertEnd(t, ExchangeEnd{Outcome: ExchangeDeclined, Cause: ErrMalformed.Error()}, err)
	})
	t.Run("a body without its last message is not complete", func(t *testing.T) {
		r, err := openExchange(t, t.Context(), func(_ context.Context, x *Exchange, out *ExchangeWriter) {
			_, _ = out.Accept(), out.WriteHead(head)
			_, _ = out.Write(x.Body)
		})
		assert.Must(t, err)
		_, err = r.ReadHead()
		assert.NoError(t, err)
		body, err := io.ReadAll(r)
		assert.Equal(t, "body", string(body))
		assert.ErrorIs(t, err, ErrExchangeBroken)
		assert.Equal(t, false, errors.Is(err, io.EOF))
		assert.NoError(t, r.Close())
	})
	t.Run("the endpoint broke off", func(t *testing.T) {
		end := ExchangeEnd{Outcome: ExchangeFailed, Writes: 1, Cause: "reset"}
		r, err := openExchange(t, t.Context(), func(_ context.Context, _ *Exchange, out *ExchangeWriter) {
			_, _, _ = out.Accept(), out.WriteHead(head), out.End(&end)
		})
		assert.Must(t, err)
		_, err = r.ReadHead()
		assert.NoError(t, err)
		_, err = io.ReadAll(r)
		assertEnd(t, end, err)
		assert.NoError(t, r.Close())
	})
}

func assertEnd(t *testing.T, want ExchangeEnd, err error) {
	t.Helper()
	var ended *ExchangeEndError
	assert.Equal(t, true, errors.As(err, &ended))
	if ended != nil {
		assert.Equal(t, want, ended.End)
	}
}

// TestExchangeEndsWithItsSender guards against exchanges that go on after the caller has left.
func TestExchangeEndsWithItsSender(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan struct{})
	r, err := openExchange(t, ctx, func(ctx context.Context, _ *Exchange, out *ExchangeWriter) {
		_ = out.Accept()
		<-ctx.Done()
		close(ended)
	})
	assert.Must(t, err)
	leave()
	<-ended
	_, err = r.ReadHead()
	assert.ErrorIs(t, err, ErrExchangeBroken)
	assert.NoError(t, r.Close())
}

// TestFailedMessageKeepsExchanges guards against exchanges that are cut because another message on their connection ran out of time.
func TestFailedMessageKeepsExchanges(t *testing.T) {
	authority := newAuthority(t)
	proceed := make(chan struct{})
	a, b := startNode(t, authority, "router-a"), startNodeWith(t, authority, "router-b", &exchangeRecorder{answer: func(_ context.Context, _ *Exchange, out *ExchangeWriter) {
		_ = out.Accept()
		<-proceed
		_ = out.End(&ExchangeEnd{Outcome: ExchangeFailed, Cause: "late"})
	}})
	r, err := a.node.OpenExchange(t.Context(), b.address, &Exchange{}, permitted)
	// On a loaded machine the handshake may take longer than exchanges wait for it.
	for errors.Is(err, ErrExchangeNotSent) {
		r, err = a.node.OpenExchange(t.Context(), b.address, &Exchange{}, permitted)
	}
	assert.Must(t, err)
	expired, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	assert.Fails(t, a.node.SendCopy(expired, b.address, Copy{}))
	close(proceed)
	_, err = r.ReadHead()
	assertEnd(t, ExchangeEnd{Outcome: ExchangeFailed, Cause: "late"}, err)
	assert.NoError(t, r.Close())
}
