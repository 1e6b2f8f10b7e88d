// Package endpoint sends calls to endpoints. It selects an endpoint for each attempt of a call, relays the response
// to the caller and reports whether the call ran and what it costs.
package endpoint

import (
	"context"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Call is a request whose cost is reserved in its team's budget, so that it may be sent to an endpoint.
type Call struct {
	Route operator.Route
	// Team is the name of the caller's team; wait queues divide free slots among teams.
	Team   string
	Method string
	// Path is the path of the request, including the query.
	Path string
	// Header holds the request headers to forward; it must not contain the caller's bearer key.
	Header http.Header
	Body   []byte
	// Idempotent reports whether the call may be retried after an attempt that may have run, as long as no part of a
	// response has been sent to the caller.
	Idempotent bool
	// Fingerprint identifies the content of the request, for quarantine.
	Fingerprint ledger.Fingerprint
	// Model describes a call of a model engine; it is nil for plain calls.
	Model *ModelCall
	// CheckDispatch is called right before the first byte of each attempt is written. If it returns an error, the
	// call ends and this attempt counts as not run.
	CheckDispatch func() error
}

// isStreaming reports whether the response is a stream of server-sent events.
func (c *Call) isStreaming() bool { return c.Model != nil && c.Model.Stream }

// ModelCall describes a call of a model engine.
type ModelCall struct {
	// Stream reports whether the caller asked for a stream of server-sent events.
	Stream bool
	// ReportUsage reports whether the caller asked for the usage event of a stream. The router always requests this
	// event from the engine and removes it from the response if the caller did not ask for it.
	ReportUsage bool
	// MaxTokens is the reserved length of the response, in tokens. A longer streamed response is truncated with
	// finish_reason "length".
	MaxTokens int64
	// PromptBound is an upper bound of the prompt's length in tokens.
	PromptBound int64
	// PrefixHash identifies the beginning of the prompt, for prefix-cache affinity.
	PrefixHash uint64
}

// Result describes how far a call got.
type Result struct {
	Verdict verdict.Verdict
	// Usage is the cost to bill, in tokens: the engine's own count, or an estimate from the relayed part of the
	// response if there is no such count. A plain call costs the CallCost of its route once it may have run.
	Usage ledger.Tokens
	// ResponseStarted reports whether a part of the response has been written to the caller.
	ResponseStarted bool
	// MustAbort reports whether the response was cut off after its start without any mark in its content. The handler
	// must then end with panic(http.ErrAbortHandler); otherwise the caller could take the response for complete.
	// Event streams end with an error event instead.
	MustAbort bool
	// Endpoint is the name of the endpoint of the last attempt.
	Endpoint string
	// Attempts is the number of attempts made, each at one endpoint.
	Attempts int
}

// CallSender performs calls at endpoints.
type CallSender interface {
	// Do sends the call and writes the response to w. A non-nil error is a *verdict.Refusal with the same verdict as
	// the result; w is unwritten unless ResponseStarted is true in the result. A nil error means that the caller has a
	// complete response of an endpoint. The verdict is MayHaveRun if this response is a server error that was withheld
	// for retries and no retry gave another response.
	Do(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error)
}
