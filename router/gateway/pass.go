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
// connection to the caller, so that it can't be taken for whole.
func (j *job) pass(ctx context.Context, response *http.Response) attempt {
	copyHeader(j.w.Header(), response.Header)
	control := http.NewResponseController(j.w)
	j.status, j.outcome = response.StatusCode, "answered"
	j.started = true
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	j.w.WriteHeader(response.StatusCode)
	streams := j.route.Kind == site.Streaming
	if streams {
		_ = control.Flush()
	}
	buffer := make([]byte, passBytes)
	counter := eventCounter{}
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if j.first.IsZero() {
				j.first = time.Now()
				j.server.targets.began(j.tried[len(j.tried)-1], j, true)
			}
			if streams {
				counter.count(buffer[:n])
				j.events = counter.events()
			}
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, writeErr := j.w.Write(buffer[:n]); writeErr != nil {
				j.outcome = "caller_left"
				return attempt{verdict: verdict.Ran, reason: verdict.CallerWentAway, cause: writeErr, abort: true}
			}
			if streams {
				_ = control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			_ = control.SetWriteDeadline(time.Time{})
			return attempt{verdict: verdict.Ran}
		}
		if err != nil {
			return j.cut(ctx, err)
		}
	}
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
		j.outcome, out.broken = "endpoint_broke_off", true
	}
	return out
}

// eventCounter counts the events of a stream by the blank lines that end them (WHATWG HTML, section 9.2).
type eventCounter struct {
	ended int64
	// lineBytes counts the bytes of the line so far, eventBytes those of the event.
	lineBytes, eventBytes int
}

func (c *eventCounter) count(p []byte) {
	for _, b := range p {
		switch b {
		case '\r':
		case '\n':
			if c.lineBytes == 0 && c.eventBytes > 0 {
				c.ended++
				c.eventBytes = 0
			}
			c.lineBytes = 0
		default:
			c.lineBytes++
			c.eventBytes++
		}
	}
}

// events returns the events that were read, also one that has only begun.
func (c *eventCounter) events() int64 {
	if c.eventBytes > 0 {
		return c.ended + 1
	}
	return c.ended
}
