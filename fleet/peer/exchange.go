package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/tinylib/msgp/msgp"
)

const (
	// exchangeDialTimeout bounds the opening of a connection and a stream for an exchange, and exchangeAcceptTimeout the wait
	// until the other router has accepted it: some round trips between regions.
	exchangeDialTimeout   = 300 * time.Millisecond
	exchangeAcceptTimeout = 400 * time.Millisecond
	// minExchangeRate is the rate, in bytes per second, at which a request is at least handed over.
	minExchangeRate = 1 << 20
	// maxExchangeFrame bounds a message of an exchange: the headers of an answer, or a part of its body.
	maxExchangeFrame = 128 << 10
	// frameHeaderBytes is the length of a frame's kind and length.
	frameHeaderBytes = 5
)

// frameKind is the kind of a message that answers an exchange. The values are part of the protocol between routers. None is
// the first byte of an encoded answer, which a router that knows no exchanges sends.
type frameKind byte

const (
	frameAccepted frameKind = iota + 1
	frameHead
	frameBody
	frameEnd
)

// Errors of exchanges.
var (
	// ErrExchangeNotSent means that the request did not reach the other router as a whole.
	ErrExchangeNotSent = errors.New("exchange was not handed over")
	// ErrExchangeBroken means that the exchange has ended without its last message, so that the endpoint may or may not have
	// got the request.
	ErrExchangeBroken = errors.New("exchange through another router broke off")
)

// ExchangeEndError is the failure of an exchange that the other router reported.
type ExchangeEndError struct {
	Instance string
	End      ExchangeEnd
}

// Error implements error.
func (e *ExchangeEndError) Error() string {
	return fmt.Sprintf("through %s: %s", e.Instance, e.End.Cause)
}

// ExchangeHandler is implemented by a Handler that also sends requests to endpoints for other routers.
type ExchangeHandler interface {
	// HandleExchange sends a request to an endpoint for the router on the given instance and writes what the endpoint answers
	// to out. The context ends when the sender no longer waits.
	HandleExchange(ctx context.Context, from string, x *Exchange, out *ExchangeWriter)
}

// ExchangeWriter writes the messages that answer an exchange. Its methods must not be called concurrently.
type ExchangeWriter struct{ stream *quic.Stream }

// Accept tells the sender that the exchange begins.
func (w *ExchangeWriter) Accept() error { return w.writeFrame(frameAccepted, nil) }

// WriteHead passes on the status and headers of the endpoint's answer.
func (w *ExchangeWriter) WriteHead(head *ExchangeHead) error { return w.writeMessage(frameHead, head) }

// Write passes on a part of the answer's body. It blocks while the sender doesn't read.
func (w *ExchangeWriter) Write(part []byte) (int, error) {
	if err := w.writeFrame(frameBody, part); err != nil {
		return 0, err
	}
	return len(part), nil
}

// End ends the exchange.
func (w *ExchangeWriter) End(end *ExchangeEnd) error { return w.writeMessage(frameEnd, end) }

func (w *ExchangeWriter) writeMessage(kind frameKind, message msgp.Marshaler) error {
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		return err
	}
	return w.writeFrame(kind, encoded)
}

func (w *ExchangeWriter) writeFrame(kind frameKind, payload []byte) error {
	if len(payload) > maxExchangeFrame {
		return ErrMalformed
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	frame[0] = byte(kind)
	binary.BigEndian.PutUint32(frame[1:], uint32(len(payload)))
	_, err := w.stream.Write(append(frame, payload...))
	return err
}

// isExchange reports whether an encoded request hands an exchange over.
func isExchange(data []byte) bool {
	_, rest, err := msgp.ReadArrayHeaderBytes(data)
	if err != nil {
		return false
	}
	kind, _, err := msgp.ReadUint8Bytes(rest)
	return err == nil && messageKind(kind) == exchangeMessage
}

// serveExchange handles an exchange on its stream, without the time limit of other requests.
func (h *requestHandler) serveExchange(data []byte) {
	handler, ok := h.node.handler.(ExchangeHandler)
	r, x, out := request{}, &Exchange{}, &ExchangeWriter{stream: h.stream}
	rest, err := r.UnmarshalMsg(data)
	if err == nil && len(rest) == 0 {
		rest, err = x.UnmarshalMsg(r.Payload)
	}
	_ = h.stream.SetDeadline(time.Time{})
	if !ok || err != nil || len(rest) > 0 {
		h.node.increment(requestsRefused)
		_ = out.End(&ExchangeEnd{Outcome: ExchangeDeclined, Cause: ErrMalformed.Error()})
		return
	}
	handler.HandleExchange(h.stream.Context(), h.from, x, out)
}

// OpenExchange hands a request over to another router and waits until that has accepted it. It fails with ErrExchangeNotSent or an
// ExchangeEndError if nothing was sent to the endpoint, else with ErrExchangeBroken. The exchange ends with the context. permit is called
// immediately before the first byte of the request is sent to the other router; its error ends the exchange as ErrExchangeNotSent.
func (n *Node) OpenExchange(ctx context.Context, to Address, x *Exchange, permit func() error) (*ExchangeReader, error) {
	payload, err := x.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrExchangeNotSent, err)
	}
	data, err := (&request{Kind: exchangeMessage, Payload: payload}).MarshalMsg(nil)
	if err != nil || len(data) > MaxRequestBytes {
		return nil, fmt.Errorf("%w: %w", ErrExchangeNotSent, errors.Join(err, ErrMalformed))
	}
	openContext, cancel := context.WithTimeout(ctx, exchangeDialTimeout)
	defer cancel()
	connection, err := n.connection(openContext, to)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrExchangeNotSent, err)
	}
	n.retainConnection(connection)
	stream, err := connection.OpenStreamSync(openContext)
	if err != nil {
		n.abandonConnection(ctx, to, connection)
		n.releaseConnectionOf(to, connection)
		return nil, fmt.Errorf("%w: %w", ErrExchangeNotSent, err)
	}
	r := &ExchangeReader{instance: to.Instance, stream: stream, reader: bufio.NewReader(stream)}
	r.release = func() { n.releaseConnectionOf(to, connection) }
	r.stop = context.AfterFunc(ctx, r.cancel)
	if err := permit(); err != nil {
		_ = r.Close()
		return nil, fmt.Errorf("%w: %w", ErrExchangeNotSent, err)
	}
	if err := r.handOver(data); err != nil {
		var ended *ExchangeEndError
		if !errors.As(err, &ended) {
			n.abandonConnection(ctx, to, connection)
		}
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

// abandonConnection makes the next message to a router use another connection, unless the failed one was given up by its sender.
func (n *Node) abandonConnection(ctx context.Context, to Address, connection *quic.Conn) {
	if ctx.Err() == nil {
		n.dropConnection(to, connection)
	}
}

// retainConnection counts an exchange on a dialled connection.
func (n *Node) retainConnection(connection *quic.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.exchanges == nil {
		n.exchanges = make(map[*quic.Conn]int)
	}
	n.exchanges[connection]++
}

// releaseConnectionOf removes an exchange from a dialled connection, and closes the connection after its last exchange if it was
// dropped.
func (n *Node) releaseConnectionOf(to Address, connection *quic.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.exchanges[connection]--; n.exchanges[connection] > 0 {
		return
	}
	delete(n.exchanges, connection)
	if n.dialled[to] != connection {
		_ = connection.CloseWithError(0, "connection replaced")
	}
}

// ExchangeReader reads the messages that answer an exchange.
type ExchangeReader struct {
	instance string
	stream   *quic.Stream
	reader   *bufio.Reader
	// stop detaches the exchange from its sender's context, release counts it off its connection.
	stop    func() bool
	release func()
	closed  sync.Once
	once    sync.Once
	// isAccepted reports whether the other router has accepted the exchange.
	isAccepted bool
	// unread is the number of bytes of the present body message that haven't been read.
	unread int
	// ended is the error of the last read; io.EOF after a complete answer.
	ended error
}

// handOver writes the request and waits until the other router has accepted it.
func (r *ExchangeReader) handOver(data []byte) error {
	writeTime := time.Duration(len(data)) * time.Second / minExchangeRate
	_ = r.stream.SetDeadline(time.Now().Add(exchangeAcceptTimeout + writeTime))
	if _, err := r.stream.Write(data); err != nil {
		r.stream.CancelWrite(0)
		return fmt.Errorf("%w: %w", ErrExchangeNotSent, err)
	}
	if err := r.stream.Close(); err != nil {
		return brokenBy(err)
	}
	kind, payload, err := r.readFrame()
	switch {
	case err != nil:
		return err
	case kind == frameEnd:
		return r.endError(payload)
	case kind != frameAccepted:
		return ErrExchangeBroken
	}
	_ = r.stream.SetDeadline(time.Time{})
	r.isAccepted = true
	return nil
}

// ReadHead waits for the status and headers of the endpoint's answer. It fails with an ExchangeEndError if the other router
// reports that there is none, else with ErrExchangeBroken.
func (r *ExchangeReader) ReadHead() (*ExchangeHead, error) {
	kind, payload, err := r.readFrame()
	switch {
	case err != nil:
		return nil, err
	case kind == frameEnd:
		return nil, r.endError(payload)
	case kind != frameHead:
		return nil, ErrExchangeBroken
	}
	head := &ExchangeHead{}
	if rest, err := head.UnmarshalMsg(payload); err != nil || len(rest) > 0 {
		return nil, ErrExchangeBroken
	}
	return head, nil
}

// Read reads the answer's body. It returns io.EOF only if the other router has reported that the answer is complete.
func (r *ExchangeReader) Read(p []byte) (int, error) {
	for r.unread == 0 && r.ended == nil {
		kind, length, err := r.readFrameHeader()
		switch {
		case err != nil:
			r.ended = err
		case kind == frameBody:
			r.unread = length
		case kind == frameEnd:
			r.ended = r.readEnd(length)
		default:
			r.ended = ErrExchangeBroken
		}
	}
	if r.unread == 0 {
		return 0, r.ended
	}
	n, err := r.reader.Read(p[:min(len(p), r.unread)])
	r.unread -= n
	if err != nil {
		r.unread, r.ended = 0, brokenBy(err)
		return n, r.ended
	}
	return n, nil
}

// Close ends the exchange, also at the other router if it hasn't ended there.
func (r *ExchangeReader) Close() error {
	r.closed.Do(func() {
		r.stop()
		r.cancel()
		r.release()
	})
	return nil
}

func (r *ExchangeReader) cancel() {
	r.once.Do(func() {
		r.stream.CancelWrite(0)
		r.stream.CancelRead(0)
	})
}

func (r *ExchangeReader) readFrameHeader() (frameKind, int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.reader, header[:1]); err != nil {
		return 0, 0, brokenBy(err)
	}
	if kind := frameKind(header[0]); kind < frameAccepted || kind > frameEnd {
		if r.isAccepted {
			return 0, 0, ErrExchangeBroken
		}
		return 0, 0, r.refusedByOtherVersion()
	}
	if _, err := io.ReadFull(r.reader, header[1:]); err != nil {
		return 0, 0, brokenBy(err)
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length > maxExchangeFrame {
		return 0, 0, ErrExchangeBroken
	}
	return frameKind(header[0]), int(length), nil
}

// refusedByOtherVersion returns the error for a router that knows no exchanges, and has answered as to any unknown request.
func (r *ExchangeReader) refusedByOtherVersion() error {
	return &ExchangeEndError{Instance: r.instance, End: ExchangeEnd{Outcome: ExchangeDeclined, Cause: ErrMalformed.Error()}}
}

func (r *ExchangeReader) readFrame() (frameKind, []byte, error) {
	kind, length, err := r.readFrameHeader()
	if err != nil {
		return 0, nil, err
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r.reader, payload); err != nil {
		return 0, nil, brokenBy(err)
	}
	return kind, payload, nil
}

// brokenBy returns ErrExchangeBroken with its cause. An end of the stream before the last message of the exchange is no io.EOF, which means that the
// answer is complete.
func brokenBy(cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", ErrExchangeBroken, cause)
}

func (r *ExchangeReader) readEnd(length int) error {
	payload := make([]byte, length)
	if _, err := io.ReadFull(r.reader, payload); err != nil {
		return brokenBy(err)
	}
	return r.endError(payload)
}

// endError returns io.EOF for the last message of a complete exchange, else an ExchangeEndError.
func (r *ExchangeReader) endError(payload []byte) error {
	end := ExchangeEnd{}
	if rest, err := end.UnmarshalMsg(payload); err != nil || len(rest) > 0 {
		return ErrExchangeBroken
	}
	if end.Outcome == ExchangeComplete {
		return io.EOF
	}
	return &ExchangeEndError{Instance: r.instance, End: end}
}
