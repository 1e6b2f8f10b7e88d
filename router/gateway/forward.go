package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/eventstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/readahead"
)

const (
	// copyBufferBytes is the size of the buffer through which answers are copied to callers.
	copyBufferBytes = 8 << 10
	// writeTimeout bounds a write to a caller, which blocks while the caller doesn't read, if the request's deadline is before that.
	writeTimeout = 5 * time.Second
	// readAheadDelay is how long a write to a caller takes until the rest of the answer is read into memory meanwhile. Endpoints cut off an
	// answer that remains unread for some seconds.
	readAheadDelay = 500 * time.Millisecond
	// evidenceInterval is the interval at which the end of a stream asks whether others have shown how their version numbers events.
	evidenceInterval = 20 * time.Millisecond
)

// forwardResponse writes an answer to the caller as it arrives. It begins with the first event of a stream, and with the first copyBufferBytes or the
// end of another answer, so that the attempt only fails if the answer breaks off before that. If it breaks off later or can't be written, the
// connection to the caller must be aborted, so that the caller doesn't take the answer for complete, unless another endpoint may resume it.
func (j *job) forwardResponse(ctx context.Context, response *http.Response) attemptResult {
	control := http.NewResponseController(j.w)
	j.media = response.Header.Get("Content-Type")
	j.hasEvents = j.isStream() && response.StatusCode == http.StatusOK && j.r.Method != http.MethodHead
	if j.hasEvents {
		j.observeNumbering()
		if err := j.events.BeginRun(j.media); err != nil {
			return j.rejectRun(err)
		}
	}
	j.outcome, j.answer = "answered", response
	j.ahead = &readahead.Reader{Source: response.Body, Delay: readAheadDelay, Reserve: j.server.bodies.ReserveAnswer}
	defer func() {
		// A read that is in progress ends with the body.
		_ = response.Body.Close()
		j.ahead.Stop()
	}()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := j.readPart(buffer)
		if n > 0 && (err == nil || errors.Is(err, io.EOF) || j.responseStarted || j.hasEvents) {
			if failed := j.forward(control, buffer[:n]); failed != nil {
				return *failed
			}
		}
		if errors.Is(err, io.EOF) {
			var result *attemptResult
			if result, err = j.endResponse(ctx, control); result != nil {
				return *result
			}
		}
		if err != nil {
			return j.classifyTruncation(ctx, err)
		}
	}
}

// readPart reads the next part of the answer, and as much as the buffer holds of one that isn't a stream and has not begun at the caller.
func (j *job) readPart(buffer []byte) (int, error) {
	n, err := j.ahead.Read(buffer)
	if n > 0 {
		j.recordFirstByte()
	}
	for err == nil && n < len(buffer) && !j.responseStarted && !j.isStream() {
		var more int
		more, err = j.ahead.Read(buffer[n:])
		n += more
	}
	return n, err
}

// endResponse ends the answer at the caller. It returns an error if the answer ended as a whole, but its stream didn't.
func (j *job) endResponse(ctx context.Context, control *http.ResponseController) (*attemptResult, error) {
	held, err := j.endEvents(ctx)
	if err != nil {
		return nil, err
	}
	if failed := j.writePart(control, held); failed != nil {
		return failed, nil
	}
	j.beginResponse(control)
	_ = control.SetWriteDeadline(time.Time{})
	return &attemptResult{verdict: verdict.Ran}, nil
}

// endEvents returns what the stream of the answer held back, or an error if the answer ended as a whole, but its stream didn't.
func (j *job) endEvents(ctx context.Context) ([]byte, error) {
	if !j.hasEvents {
		return nil, nil
	}
	for j.events.AwaitsEvidence() && clock.Sleep(ctx, evidenceInterval) {
		continue
	}
	return j.events.EndRun(j.framing == framedByClose)
}

// observeNumbering lets the stream share what is known of how the newest endpoint's version numbers events.
func (j *job) observeNumbering() {
	version := eventstream.Version{Service: j.service, Software: j.tried[len(j.tried)-1].SoftwareVersion}
	if o := j.events.Observation; o == nil || o.Version != version {
		o.End(&j.events)
		j.events.Observation = j.server.numberings.Begin(version)
	}
}

func (j *job) isStream() bool { return j.route.Kind == site.Streaming }

// beginResponse writes the status and headers of the answer unless an answer has begun at the caller.
func (j *job) beginResponse(control *http.ResponseController) {
	if j.responseStarted {
		return
	}
	copyHeader(j.w.Header(), j.answer.Header)
	if j.hasEvents {
		// Without a length, the answer can still be cut or continued after its last byte from this endpoint.
		j.w.Header().Del("Content-Length")
	}
	j.status, j.responseStarted = j.answer.StatusCode, true
	_ = control.SetWriteDeadline(j.writeDeadline())
	j.writeHeader(j.answer.StatusCode)
	if j.isStream() {
		_ = control.Flush()
	}
	if !j.canContinue() {
		// No other endpoint can continue this answer, which may take long.
		j.releaseBody()
	}
}

// rejectRun classifies an answer of which the rest can't be forwarded, since it doesn't go on as the caller's stream. An endpoint is not to blame for an
// answer that contradicts an identifier which only the caller named.
func (j *job) rejectRun(cause error) attemptResult {
	j.server.state.Count(streamRunRejected)
	result := attemptResult{
		verdict: verdict.Ran, reason: verdict.EndpointFailed, cause: cause, endpointFailed: j.events.Completed() > 0 || j.continuesAfter == "",
	}
	if j.responseStarted {
		j.outcome, result.abortCaller, result.canResume = "endpoint_broke_off", true, j.canContinue()
	}
	return result
}

// canContinue reports whether another endpoint may go on with the stream of which the caller has a part.
func (j *job) canContinue() bool { return j.hasEvents && j.route.Resumable && j.events.CanContinue() }

// recordFirstByte records that the first part of the answer has arrived and that the engine has thus read the prompt.
func (j *job) recordFirstByte() {
	if j.attemptFirstByte.IsZero() {
		j.attemptFirstByte = time.Now()
	}
	if j.firstByte.IsZero() {
		j.firstByte = j.attemptFirstByte
	}
	j.server.targets.finishPrompt(j.tried[len(j.tried)-1], j, true)
}

// forward writes a part of an answer to the caller, of streams the whole events. It returns nil unless the caller has left or the rest can't be
// forwarded.
func (j *job) forward(control *http.ResponseController, part []byte) *attemptResult {
	var rejection error
	if j.hasEvents {
		part, rejection = j.events.Accept(part)
	}
	if failed := j.writePart(control, part); failed != nil {
		return failed
	}
	if rejection != nil {
		rejected := j.rejectRun(rejection)
		return &rejected
	}
	return nil
}

// writePart writes a part of an answer to the caller. It returns nil unless the caller has left.
func (j *job) writePart(control *http.ResponseController, part []byte) *attemptResult {
	err := j.write(control, part)
	if err == nil {
		return nil
	}
	j.outcome = "caller_left"
	return &attemptResult{verdict: verdict.Ran, reason: verdict.CallerDisconnected, cause: err, abortCaller: true}
}

// write writes a part of an answer to the caller. Streams are flushed after each write.
func (j *job) write(control *http.ResponseController, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	j.bindToEndpoint(j.tried[len(j.tried)-1])
	j.beginResponse(control)
	_ = control.SetWriteDeadline(j.writeDeadline())
	j.ahead.Pause()
	defer j.ahead.Resume()
	if _, err := j.w.Write(part); err != nil {
		return err
	}
	if j.isStream() {
		return control.Flush()
	}
	return nil
}

// writeDeadline returns when a write to the caller must end. A caller may take its time until the request's deadline, as long as its connection
// holds: silentCallers closes those of silent ones.
func (j *job) writeDeadline() time.Time {
	deadline := time.Now().Add(writeTimeout)
	if j.deadline.After(deadline) {
		return j.deadline
	}
	return deadline
}

// classifyTruncation classifies an answer that broke off. If nothing of it was forwarded, it is a failed exchange as any other.
func (j *job) classifyTruncation(ctx context.Context, err error) attemptResult {
	if !j.responseStarted {
		return j.classifyFailure(ctx, err, true)
	}
	result := attemptResult{verdict: verdict.Ran, reason: verdict.EndpointFailed, cause: err, abortCaller: true}
	switch {
	case isStopped(j.r):
		j.outcome, result.reason = "stopped", verdict.ShuttingDown
	case j.r.Context().Err() != nil:
		j.outcome, result.reason = "caller_left", verdict.CallerDisconnected
	case ctx.Err() != nil:
		j.outcome, result.reason = "deadline", verdict.DeadlineTooShort
	default:
		j.outcome, result.endpointFailed, result.canResume = "endpoint_broke_off", isEndpointsFailure(err), j.canContinue()
	}
	return result
}
