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

// Bounds of the rest of a response that is read and discarded, so that its connection can be reused. drainTimeout bounds
// the wait after the last event of a stream.
const (
	drainTimeout = 50 * time.Millisecond
	drainBytes   = 4 << 10
)

// errMissingDone is the cause of a failed attempt whose event stream ended without [DONE].
var errMissingDone = errors.New("event stream ended without [DONE]")

// streamRelay relays the event stream of an engine to the caller.
type streamRelay struct {
	*exchange
	response *http.Response
	reader   *eventReader
	chunk    chunk
	// relayedTokens counts the content deltas relayed to the caller. reportedUsage is the engine's own count; nil
	// until the engine reports it.
	relayedTokens int64
	reportedUsage *usage
}

// relayStream relays the events of the response one by one. Nothing is written to the caller before the first event,
// so that the call can still be retried.
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

// relayEvent relays one event and reports whether the response has ended.
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

// relayComment relays a comment if the response has started. A comment before the first event is dropped, because
// relaying it would start the response, after which the call can no longer be retried.
func (s *streamRelay) relayComment(e event) (outcome, bool) {
	if !s.responseStarted {
		return outcome{}, false
	}
	if err := s.sendEvents(e.raw); err != nil {
		return s.endDisconnected(err), true
	}
	return outcome{}, false
}

// finish sends the last events of the stream.
func (s *streamRelay) finish(lastEvents []byte) (outcome, bool) {
	if err := s.sendEvents(lastEvents); err != nil {
		return s.endDisconnected(err), true
	}
	return outcome{verdict: verdict.Ran, usage: s.cost()}, true
}

// drain reads the rest of the response after the last event, because the transport reuses only connections whose
// response was read to its end.
func (s *streamRelay) drain() {
	s.watchdog.reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.reader.source, drainBytes)
}

// truncate ends a response at its maximum length. The request to the engine is cancelled when the attempt returns.
func (s *streamRelay) truncate(data []byte) (outcome, bool) {
	var metadata chunkMetadata
	// The data has already been parsed successfully as a chunk.
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

// sendEvents writes events to the caller, preceded by the headers if the response has not started. It flushes unless
// another event is already buffered, so that several events share a flush.
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

// endIncomplete ends a response that the engine did not complete. If the response has started, the caller gets an
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
	if out.reason == verdict.CallerDisconnected {
		return out
	}
	if s.writeToCaller(errorEvent(out.reason)) == nil {
		_ = s.flush()
	}
	return out
}

// endDisconnected ends a response that could not be written to the caller.
func (s *streamRelay) endDisconnected(err error) outcome {
	out := callerDisconnected(err, verdict.MayHaveRun)
	out.usage = s.cost()
	return out
}

// cost returns the cost in tokens: the engine's own count, or else the bound of the prompt plus the tokens relayed.
func (s *streamRelay) cost() ledger.Tokens {
	if s.reportedUsage != nil {
		return s.reportedUsage.cost()
	}
	return ledger.Tokens(s.call.Model.PromptBound + s.relayedTokens)
}
