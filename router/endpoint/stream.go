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

// errMissingDone is the cause of an event stream that ends without [DONE].
var errMissingDone = errors.New("event stream ended without [DONE]")

// streamRelay passes an engine's event streamRelay on.
type streamRelay struct {
	*exchange
	response *http.Response
	reader   *eventReader
	chunk    chunk
	// relayedTokens counts the content deltas passed on; reported is the engine's own count, once known.
	relayedTokens int64
	reportedUsage *usage
}

// relayStream passes the events of the answer on, one by one. Nothing is written to the caller before
// the first event.
func (x *exchange) relayStream(ctx context.Context, response *http.Response) outcome {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	s := &streamRelay{exchange: x, response: response, reader: newEventReader(response.Body, x.dispatcher.settings)}
	if err != nil || media != eventStreamType {
		return s.endIncomplete(ctx, errUnexpectedResponse)
	}
	x.watchdog.reset(x.limits.FirstTokenTimeout)
	for {
		e, err := s.reader.next()
		if err != nil {
			return s.endIncomplete(ctx, err)
		}
		out, done := s.relayEvent(ctx, e)
		if done {
			return out
		}
		if s.responseStarted {
			x.watchdog.reset(x.limits.TokenTimeout)
		}
	}
}

// relayEvent handles one event and reports whether the answer has ended.
func (s *streamRelay) relayEvent(ctx context.Context, e event) (outcome, bool) {
	if len(e.data) == 0 {
		return s.relayComment(e)
	}
	if !s.responseStarted {
		s.dispatcher.recordFirstByte(s.peer, s.call, time.Since(s.startedAt))
	}
	if bytes.Equal(e.data, []byte("[DONE]")) {
		out, done := s.finish(e.raw)
		s.drain()
		return out, done
	}
	c := &s.chunk
	if err := c.decode(e.data); err != nil {
		return s.endIncomplete(ctx, errUnexpectedResponse), true
	}
	if c.Usage != nil {
		s.reportedUsage = c.Usage
	}
	if c.isUsageOnly() && !s.call.Model.ReportUsage {
		return outcome{}, false
	}
	tokens := c.tokenCount()
	if s.relayedTokens+tokens > s.call.Model.MaxTokens {
		return s.truncate(e.data)
	}
	if err := s.sendEvents(e.raw); err != nil {
		return s.endDisconnected(err), true
	}
	s.relayedTokens += tokens
	return outcome{}, false
}

// relayComment passes a comment on once the answer has begun; before that it must not begin it.
func (s *streamRelay) relayComment(e event) (outcome, bool) {
	if !s.responseStarted {
		return outcome{}, false
	}
	if err := s.sendEvents(e.raw); err != nil {
		return s.endDisconnected(err), true
	}
	return outcome{}, false
}

// finish passes the end of the stream on.
func (s *streamRelay) finish(lastEvents []byte) (outcome, bool) {
	if err := s.sendEvents(lastEvents); err != nil {
		return s.endDisconnected(err), true
	}
	return outcome{verdict: verdict.Ran, usage: s.cost()}, true
}

// drain reads the end of the answer behind the last event: only then the connection can be used again.
func (s *streamRelay) drain() {
	s.watchdog.reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.reader.source, drainBytes)
}

// truncate ends an answer at its limit. The engine's request is cancelled when the attempt returns.
func (s *streamRelay) truncate(data []byte) (outcome, bool) {
	var metadata chunkMetadata
	// The data has been read once already.
	_ = json.Unmarshal(data, &metadata)
	s.dispatcher.board.Count(responseTruncated)
	s.reportedUsage = nil
	var reported *usage
	if s.call.Model.ReportUsage {
		reported = &usage{
			PromptTokens: s.call.Model.PromptBound, CompletionTokens: s.relayedTokens, TotalTokens: s.call.Model.PromptBound + s.relayedTokens,
		}
	}
	return s.finish(metadata.finalEvents(reported))
}

// sendEvents writes events to the caller, with the headers before the first. It flushes unless the next
// one has arrived already.
func (s *streamRelay) sendEvents(events []byte) error {
	if !s.responseStarted {
		copyResponseHeader(s.w.Header(), s.response.Header)
		s.w.Header().Del("Content-Length")
		s.w.WriteHeader(s.response.StatusCode)
	}
	if err := s.writeToCaller(events); err != nil {
		return err
	}
	if s.reader.hasBufferedEvent() {
		return nil
	}
	return s.flush()
}

func (s *streamRelay) flush() error {
	if err := s.controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// endIncomplete ends an answer that the engine did not complete. A caller that has got a part of it gets an
// error event and no [DONE].
func (s *streamRelay) endIncomplete(ctx context.Context, err error) outcome {
	if errors.Is(err, io.EOF) {
		err = errMissingDone
	}
	out := s.classifyFailure(ctx, err)
	out.usage = s.cost()
	if !s.responseStarted {
		return out
	}
	if out.reason == verdict.CallerWentAway {
		return out
	}
	if s.writeToCaller(errorEvent(out.reason)) == nil {
		_ = s.flush()
	}
	return out
}

// endDisconnected ends an answer whose caller takes no more.
func (s *streamRelay) endDisconnected(err error) outcome {
	out := callerDisconnected(err, verdict.MayHaveRun)
	out.usage = s.cost()
	return out
}

// cost returns the engine's own count, or the bound of the prompt and what was passed on.
func (s *streamRelay) cost() ledger.Tokens {
	if s.reportedUsage != nil {
		return s.reportedUsage.cost()
	}
	return ledger.Tokens(s.call.Model.PromptBound + s.relayedTokens)
}
