package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// Bounds of what is read behind the last event of a stream.
const (
	drainTimeout = 50 * time.Millisecond
	drainBytes   = 4 << 10
)

// errNoEnd is the cause of an event stream that ends without [DONE].
var errNoEnd = errors.New("event stream ended without [DONE]")

// stream passes an engine's event stream on.
type stream struct {
	*exchange
	response *http.Response
	reader   *eventReader
	chunk    chunk
	// tokens counts the content deltas passed on; reported is the engine's own count, once known.
	tokens   int64
	reported *usage
}

// passStream passes the events of the answer on, one by one. Nothing is written to the caller before
// the first event.
func (x *exchange) passStream(ctx context.Context, response *http.Response) outcome {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	s := &stream{exchange: x, response: response, reader: newEventReader(response.Body, x.dispatcher.settings)}
	if err != nil || media != eventStreamType {
		return s.broken(ctx, errFormat)
	}
	x.watch.reset(x.limits.FirstTokenTimeout)
	for {
		e, err := s.reader.next()
		if err != nil {
			return s.broken(ctx, err)
		}
		out, done := s.pass(ctx, e)
		if done {
			return out
		}
		if s.started {
			x.watch.reset(x.limits.TokenTimeout)
		}
	}
}

// pass handles one event and reports whether the answer has ended.
func (s *stream) pass(ctx context.Context, e event) (outcome, bool) {
	if len(e.data) == 0 {
		return s.passComment(e)
	}
	if !s.started {
		s.dispatcher.noteFirstByte(s.peer, s.call, time.Since(s.begun))
	}
	if bytes.Equal(e.data, []byte("[DONE]")) {
		out, done := s.finish(e.raw)
		s.drain()
		return out, done
	}
	c := &s.chunk
	if err := c.read(e.data); err != nil {
		return s.broken(ctx, errFormat), true
	}
	if c.Usage != nil {
		s.reported = c.Usage
	}
	if c.reportsUsage() && !s.call.Model.ReportUsage {
		return outcome{}, false
	}
	tokens := c.tokens()
	if s.tokens+tokens > s.call.Model.MaxTokens {
		return s.cut(e.data)
	}
	if err := s.send(e.raw); err != nil {
		return s.gone(err), true
	}
	s.tokens += tokens
	return outcome{}, false
}

// passComment passes a comment on once the answer has begun; before that it must not begin it.
func (s *stream) passComment(e event) (outcome, bool) {
	if !s.started {
		return outcome{}, false
	}
	if err := s.send(e.raw); err != nil {
		return s.gone(err), true
	}
	return outcome{}, false
}

// finish passes the end of the stream on.
func (s *stream) finish(end []byte) (outcome, bool) {
	if err := s.send(end); err != nil {
		return s.gone(err), true
	}
	return outcome{verdict: verdict.Ran, usage: s.usage()}, true
}

// drain reads the end of the answer behind the last event: only then the connection can be used again.
func (s *stream) drain() {
	s.watch.reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.reader.source, drainBytes)
}

// cut ends an answer at its limit. The engine's request is cancelled when the attempt returns.
func (s *stream) cut(data []byte) (outcome, bool) {
	var o origin
	// The data has been read once already.
	_ = json.Unmarshal(data, &o)
	s.dispatcher.board.Count(answerCut)
	s.reported = nil
	var reported *usage
	if s.call.Model.ReportUsage {
		reported = &usage{
			PromptTokens: s.call.Model.PromptBound, CompletionTokens: s.tokens, TotalTokens: s.call.Model.PromptBound + s.tokens,
		}
	}
	return s.finish(o.lastEvents(reported))
}

// send writes events to the caller, with the headers before the first. It flushes unless the next
// one has arrived already.
func (s *stream) send(events []byte) error {
	if !s.started {
		copyResponseHeader(s.w.Header(), s.response.Header)
		s.w.Header().Del("Content-Length")
		s.w.WriteHeader(s.response.StatusCode)
	}
	if err := s.write(events); err != nil {
		return err
	}
	if s.reader.hasEvent() {
		return nil
	}
	return s.flush()
}

func (s *stream) flush() error {
	if err := s.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// broken ends an answer that the engine did not complete. A caller that has got a part of it gets an
// error event and no [DONE].
func (s *stream) broken(ctx context.Context, err error) outcome {
	if errors.Is(err, io.EOF) {
		err = errNoEnd
	}
	out := s.failed(ctx, err)
	out.usage = s.usage()
	if !s.started {
		return out
	}
	if out.reason == verdict.CallerWentAway {
		return out
	}
	if s.write(errorEvent(out.reason)) == nil {
		_ = s.flush()
	}
	return out
}

// gone ends an answer whose caller takes no more.
func (s *stream) gone(err error) outcome {
	out := callerGone(err, verdict.MayHaveRun)
	out.usage = s.usage()
	return out
}

// usage returns the engine's own count, or the bound of the prompt and what was passed on.
func (s *stream) usage() ledger.Tokens {
	if s.reported != nil {
		return s.reported.tokens()
	}
	return ledger.Tokens(s.call.Model.PromptBound + s.tokens)
}
