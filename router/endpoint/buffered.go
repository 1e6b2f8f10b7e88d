package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// copyBufferBytes is the size of the buffer through which responses beyond Settings.MaxBufferedBytes are relayed.
const copyBufferBytes = 32 << 10

// bufferPool reuses the buffers of complete responses.
type bufferPool struct{ pool sync.Pool }

func (p *bufferPool) get() *bytes.Buffer {
	if b, ok := p.pool.Get().(*bytes.Buffer); ok {
		b.Reset()
		return b
	}
	return new(bytes.Buffer)
}

func (p *bufferPool) put(b *bytes.Buffer) { p.pool.Put(b) }

// watchedReader resets the watchdog with each read of the response.
type watchedReader struct {
	source   io.Reader
	watchdog *watchdog
	timeout  time.Duration
}

// Read reads from the source and resets the watchdog.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.watchdog.reset(r.timeout)
	return n, err
}

// relayBuffered buffers a response until it is complete, so that an incomplete one can be retried. A response that
// exceeds the buffer is relayed while it arrives.
func (x *exchange) relayBuffered(ctx context.Context, response *http.Response) outcome {
	x.watchdog.reset(x.limits.TokenTimeout)
	if x.call.Model == nil {
		x.peer.witness.ConfirmEnd(ctx, response, x.guard.boundConnection())
	}
	body := &watchedReader{source: response.Body, watchdog: x.watchdog, timeout: x.limits.TokenTimeout}
	buffer := x.dispatcher.buffers.get()
	defer x.dispatcher.buffers.put(buffer)
	read, err := io.Copy(buffer, io.LimitReader(body, x.dispatcher.settings.MaxBufferedBytes+1))
	if err == nil && read <= x.dispatcher.settings.MaxBufferedBytes {
		err = x.checkEnd(ctx, response, buffer.Bytes())
	}
	if err != nil {
		out := x.classifyFailure(ctx, err)
		out.usage = x.partialCost(response, 0)
		return out
	}
	x.watchdog.stop()
	if read > x.dispatcher.settings.MaxBufferedBytes {
		return x.relayUnbuffered(ctx, response, buffer.Bytes())
	}
	out := outcome{verdict: verdict.Ran, usage: x.completeCost(buffer.Bytes(), response.StatusCode), isEndpointError: isServerError(response)}
	if out.isEndpointError && x.call.Idempotent {
		return x.withhold(out, response, buffer.Bytes())
	}
	if err := x.writeResponse(response, buffer.Bytes()); err != nil {
		disconnected := callerDisconnected(err, verdict.Ran)
		disconnected.usage = out.usage
		return disconnected
	}
	return out
}

// checkEnd returns an error if the response of a model engine ended with its connection and may be cut. A whole JSON text proves the end, and an answer
// without one is cut; errors need not be JSON.
func (x *exchange) checkEnd(ctx context.Context, response *http.Response, body []byte) error {
	switch {
	case x.call.Model == nil || !http1.EndsWithConnection(response) || json.Valid(body):
		return nil
	case response.StatusCode == http.StatusOK:
		return io.ErrUnexpectedEOF
	default:
		return x.peer.witness.Confirm(ctx, x.guard.boundConnection())
	}
}

// writeResponse writes a complete response to the caller.
func (x *exchange) writeResponse(response *http.Response, body []byte) error {
	copyResponseHeader(x.w.Header(), response.Header)
	if x.call.Method != http.MethodHead && response.StatusCode != http.StatusNoContent &&
		response.StatusCode != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.responseStarted = true
	x.w.WriteHeader(response.StatusCode)
	if len(body) == 0 {
		return nil
	}
	return x.writeToCaller(body)
}

// relayUnbuffered relays a response that exceeds the buffer. head is its buffered beginning.
func (x *exchange) relayUnbuffered(ctx context.Context, response *http.Response, head []byte) outcome {
	if x.call.Model != nil {
		x.peer.witness.ConfirmEnd(ctx, response, x.guard.boundConnection())
	}
	rest := &watchedReader{source: response.Body, watchdog: x.watchdog, timeout: x.limits.TokenTimeout}
	copyResponseHeader(x.w.Header(), response.Header)
	x.responseStarted = true
	x.w.WriteHeader(response.StatusCode)
	relayed := int64(0)
	buffer := make([]byte, copyBufferBytes)
	for part := head; ; {
		if err := x.writeToCaller(part); err != nil {
			out := callerDisconnected(err, verdict.MayHaveRun)
			out.usage = x.partialCost(response, relayed)
			return out
		}
		relayed += int64(len(part))
		x.watchdog.reset(x.limits.TokenTimeout)
		n, err := rest.Read(buffer)
		part = buffer[:n]
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return outcome{verdict: verdict.Ran, usage: x.partialCost(response, relayed)}
		case err != nil && !errors.Is(err, io.EOF):
			out := x.classifyFailure(ctx, err)
			out.usage, out.mustAbort = x.partialCost(response, relayed), true
			return out
		}
	}
}

// completeCost returns the cost in tokens of a complete response.
func (x *exchange) completeCost(body []byte, status int) ledger.Tokens {
	if x.call.Model == nil {
		return x.limits.CallCost
	}
	return responseCost(body, status, x.call.Model)
}

// partialCost returns the cost in tokens of a response of which the given number of bytes was relayed.
func (x *exchange) partialCost(response *http.Response, relayed int64) ledger.Tokens {
	if x.call.Model == nil {
		return x.limits.CallCost
	}
	if response.StatusCode != http.StatusOK {
		return 0
	}
	tokens := min(x.call.Model.MaxTokens, relayed/bytesPerToken)
	return ledger.Tokens(x.call.Model.PromptBound + tokens)
}
