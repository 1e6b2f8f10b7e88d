package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

const (
	// passBytes is the size of the buffer through which answers pass.
	passBytes = 8 << 10
	// writeTimeout bounds a write to a caller that doesn't read.
	writeTimeout = 5 * time.Second
)

// pass writes an answer to the caller as it arrives. An answer that breaks off, or that the caller doesn't take, ends the
// connection to the caller, so that it can't be taken for whole; unless another endpoint may go on with it.
func (j *job) pass(ctx context.Context, response *http.Response) attempt {
	control := http.NewResponseController(j.w)
	streams := j.route.Kind == site.Streaming
	if !j.started {
		copyHeader(j.w.Header(), response.Header)
		j.status, j.started = response.StatusCode, true
		j.events.whole = streams && j.route.Resumable && response.StatusCode == http.StatusOK
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		j.w.WriteHeader(response.StatusCode)
		if streams {
			_ = control.Flush()
		}
	}
	j.outcome = "answered"
	buffer := make([]byte, passBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			j.noteFirst()
			if writeErr := j.forward(control, buffer[:n], streams); writeErr != nil {
				j.outcome = "caller_left"
				return attempt{verdict: verdict.Ran, reason: verdict.CallerWentAway, cause: writeErr, abort: true}
			}
		}
		if errors.Is(err, io.EOF) {
			_, _ = j.w.Write(j.events.rest())
			_ = control.SetWriteDeadline(time.Time{})
			return attempt{verdict: verdict.Ran}
		}
		if err != nil {
			return j.cut(ctx, err)
		}
	}
}

// noteFirst notes that the engine has read the prompt.
func (j *job) noteFirst() {
	if j.first.IsZero() {
		j.first = time.Now()
	}
	j.server.targets.began(j.tried[len(j.tried)-1], j, true)
}

// forward writes a part of an answer, event by event if it is a stream.
func (j *job) forward(control *http.ResponseController, part []byte, streams bool) error {
	if streams {
		part = j.events.take(part)
	}
	if len(part) == 0 {
		return nil
	}
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := j.w.Write(part); err != nil {
		return err
	}
	if streams {
		return control.Flush()
	}
	return nil
}

// cut classifies an answer that broke off after its beginning was passed on.
func (j *job) cut(ctx context.Context, err error) attempt {
	out := attempt{verdict: verdict.Ran, reason: verdict.EndpointFailed, cause: err, abort: true}
	switch {
	case j.r.Context().Err() != nil:
		j.outcome, out.reason = "caller_left", verdict.CallerWentAway
	case ctx.Err() != nil:
		j.outcome, out.reason = "deadline", verdict.DeadlineTooShort
	default:
		j.outcome, out.broken, out.resume = "endpoint_broke_off", true, j.events.whole
	}
	return out
}
