package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// copyBytes is the size of the pieces in which long answers are passed on.
const copyBytes = 32 << 10

// bufferPool keeps buffers of whole answers for reuse.
type bufferPool struct{ pool sync.Pool }

func (p *bufferPool) take() *bytes.Buffer {
	if b, ok := p.pool.Get().(*bytes.Buffer); ok {
		b.Reset()
		return b
	}
	return new(bytes.Buffer)
}

func (p *bufferPool) put(b *bytes.Buffer) { p.pool.Put(b) }

// watchedReader restarts the watch with every piece of the answer.
type watchedReader struct {
	source  io.Reader
	watch   *watchdog
	timeout time.Duration
}

// Read reads from the source.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.watch.reset(r.timeout)
	return n, err
}

// passWhole holds the answer back until it is complete, so that a broken one can be tried again.
// What is longer than the buffer is passed on as it comes.
func (x *exchange) passWhole(ctx context.Context, response *http.Response) outcome {
	x.watch.reset(x.limits.TokenTimeout)
	body := &watchedReader{source: response.Body, watch: x.watch, timeout: x.limits.TokenTimeout}
	buffer := x.dispatcher.buffers.take()
	defer x.dispatcher.buffers.put(buffer)
	read, err := io.Copy(buffer, io.LimitReader(body, x.dispatcher.settings.BufferBytes+1))
	if err != nil {
		out := x.failed(ctx, err)
		out.usage = x.beginningUsage(response, 0)
		return out
	}
	x.watch.stop()
	if read > x.dispatcher.settings.BufferBytes {
		return x.passLong(ctx, response, buffer.Bytes(), body)
	}
	out := outcome{verdict: verdict.Ran, usage: x.wholeUsage(buffer.Bytes(), response.StatusCode), errored: isServerError(response)}
	if out.errored && x.call.Idempotent {
		return x.hold(out, response, buffer.Bytes())
	}
	if err := x.answer(response, buffer.Bytes()); err != nil {
		gone := callerGone(err, verdict.Ran)
		gone.usage = out.usage
		return gone
	}
	return out
}

// answer writes a complete answer to the caller.
func (x *exchange) answer(response *http.Response, body []byte) error {
	copyResponseHeader(x.w.Header(), response.Header)
	if x.call.Method != http.MethodHead && response.StatusCode != http.StatusNoContent &&
		response.StatusCode != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.started = true
	x.w.WriteHeader(response.StatusCode)
	if len(body) == 0 {
		return nil
	}
	return x.write(body)
}

// passLong passes an answer on that does not fit the buffer.
func (x *exchange) passLong(ctx context.Context, response *http.Response, head []byte, rest io.Reader) outcome {
	copyResponseHeader(x.w.Header(), response.Header)
	x.started = true
	x.w.WriteHeader(response.StatusCode)
	passed := int64(0)
	space := make([]byte, copyBytes)
	for part := head; ; {
		if err := x.write(part); err != nil {
			out := callerGone(err, verdict.MayHaveRun)
			out.usage = x.beginningUsage(response, passed)
			return out
		}
		passed += int64(len(part))
		x.watch.reset(x.limits.TokenTimeout)
		n, err := rest.Read(space)
		part = space[:n]
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return outcome{verdict: verdict.Ran, usage: x.beginningUsage(response, passed)}
		case err != nil && !errors.Is(err, io.EOF):
			out := x.failed(ctx, err)
			out.usage, out.abort = x.beginningUsage(response, passed), true
			return out
		}
	}
}

// wholeUsage returns the cost of a complete answer.
func (x *exchange) wholeUsage(body []byte, status int) ledger.Tokens {
	if x.call.Model == nil {
		return x.limits.CallCost
	}
	return wholeUsage(body, status, x.call.Model)
}

// beginningUsage returns the cost of an answer of which so many bytes were passed on.
func (x *exchange) beginningUsage(response *http.Response, passed int64) ledger.Tokens {
	if x.call.Model == nil {
		return x.limits.CallCost
	}
	if response.StatusCode != http.StatusOK {
		return 0
	}
	tokens := min(x.call.Model.MaxTokens, passed/bytesPerToken)
	return ledger.Tokens(x.call.Model.PromptBound + tokens)
}
