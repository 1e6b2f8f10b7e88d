package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
)

// ErrUnconfirmedEnd means that the connection of a response ended and was probably closed before the end of its body.
var ErrUnconfirmedEnd = errors.New("connection ended and the process of the server with it")

const (
	// confirmDelay is the time between the end of a connection and the last look at others: the sockets of a process that ends are closed one after the
	// other, on a machine with more work than processors over tens of milliseconds.
	confirmDelay = 100 * time.Millisecond
	// firstDelay is the time until the first look, at which the next process may not listen yet. It is the only one at servers that are known to stop, whose
	// processes end soon after their last responses.
	firstDelay = 20 * time.Millisecond
	// confirmDialTime bounds the time in which the server must accept a connection if no other one tells of its process.
	confirmDialTime = 200 * time.Millisecond
)

// errProcessEnded is why an end is not confirmed.
var errProcessEnded = errors.New("other connections to the server ended with it")

// ConfirmEnd makes the body of a response that ends with its connection end with ErrUnconfirmedEnd in place of io.EOF if the server's process has ended
// with it.
func (w *Witness) ConfirmEnd(ctx context.Context, response *http.Response, connection net.Conn) {
	if EndsWithConnection(response) && response.Body != http.NoBody {
		w.beginResponse()
		response.Body = &confirmedBody{ReadCloser: response.Body, ctx: ctx, witness: w, connection: connection}
	}
}

// Confirm returns ErrUnconfirmedEnd after the end of a response's connection if the server's process has ended with it. The answer stands unless something
// contradicts it: other connections that were lost with it, or a server that refuses connections though it isn't known to stop.
func (w *Witness) Confirm(ctx context.Context, connection net.Conn) error {
	if failure := w.confirm(ctx, connection); failure != nil {
		// The failure is not wrapped: it is none of the exchange with the server.
		return fmt.Errorf("%w: %s", ErrUnconfirmedEnd, failure.Error())
	}
	return nil
}

func (w *Witness) confirm(ctx context.Context, connection net.Conn) error {
	var own *trackedConnection
	if connection != nil {
		own, _ = Unwrap[*trackedConnection](connection)
	}
	endedAt := w.endOf(own)
	delays := []time.Duration{firstDelay, confirmDelay - firstDelay}
	if w.isLeaving() {
		delays = delays[:1]
	}
	isAccepted := false
	for _, delay := range delays {
		clock.Sleep(ctx, delay)
		others := w.others(own)
		state := judgeProcess(endedAt, others)
		if state == processEnded {
			return fmt.Errorf("%w: %s", errProcessEnded, describeAll(endedAt, others))
		}
		if state == processUnknown && !isAccepted {
			if err := w.confirmByDial(ctx); err != nil {
				return fmt.Errorf("%w: %s", err, describeAll(endedAt, others))
			}
			isAccepted = true
		}
	}
	return nil
}

// confirmByDial returns an error if the server refuses a connection. Other failures tell nothing of its process.
func (w *Witness) confirmByDial(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(confirmDialTime, cancel)
	defer timer.Stop()
	accepted, err := w.Dial(ctx)
	if err == nil {
		return accepted.Close()
	}
	if errors.Is(err, syscall.ECONNREFUSED) && !w.isLeaving() {
		return err
	}
	return nil
}

func (w *Witness) isLeaving() bool { return w.IsLeaving != nil && w.IsLeaving() }

// confirmedBody is the body of a response whose end is to be confirmed.
type confirmedBody struct {
	io.ReadCloser

	ctx        context.Context
	witness    *Witness
	connection net.Conn
	closed     sync.Once
	// ended is the error of the last read; nil before.
	ended error
}

// Read implements io.Reader.
func (b *confirmedBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := b.witness.Confirm(b.ctx, b.connection); failure != nil {
			err = failure
		}
	}
	b.ended = err
	return n, err
}

// Close implements io.Closer.
func (b *confirmedBody) Close() error {
	b.closed.Do(b.witness.endResponse)
	return b.ReadCloser.Close()
}
