// Package endpoint speaks to endpoints: it chooses one for each attempt of a call, passes its
// answer on and says how far the call got.
package endpoint

import (
	"context"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Call is a request that has been paid for and may be sent.
type Call struct {
	Route operator.Route
	// Team is the name of the caller's team, for fair queues.
	Team   string
	Method string
	// Path is the request's path with its query.
	Path string
	// Header is what is passed on; it holds no bearer key.
	Header http.Header
	Body   []byte
	// Idempotent calls may be tried again as long as nothing was sent to the caller.
	Idempotent bool
	// Fingerprint identifies the contents, for quarantine.
	Fingerprint ledger.Fingerprint
	// Model is set for calls of model engines.
	Model *ModelCall
	// CheckDispatch is called right before each attempt is sent; an error ends the call as not run.
	CheckDispatch func() error
}

// isStreaming reports whether the answer is a stream of server-sent events.
func (c *Call) isStreaming() bool { return c.Model != nil && c.Model.Stream }

// ModelCall is what the router knows of a call of a model engine.
type ModelCall struct {
	// Stream says that the answer is a stream of server-sent events.
	Stream bool
	// ReportUsage says that the caller asked for the usage event of a stream. The router always asks
	// the engine for it and drops it if the caller did not.
	ReportUsage bool
	// MaxTokens is the reserved length of the answer, in tokens; a longer answer is cut with finish_reason "length".
	MaxTokens int64
	// PromptBound is the upper bound of the prompt's tokens.
	PromptBound int64
	// PrefixHash identifies the beginning of the prompt, for prefix-cache affinity.
	PrefixHash uint64
}

// Result says how far a call got.
type Result struct {
	Verdict verdict.Verdict
	// Usage is the cost to bill: the engine's own count, or for a broken answer what was passed on.
	// Plain calls cost the route's CallCost once they may have run.
	Usage ledger.Tokens
	// Started says that a part of the answer has been written to the caller.
	Started bool
	// Abort says that the answer was broken off after its start and does not show it: the handler must end
	// with panic(http.ErrAbortHandler), or the caller could take the answer for complete. Event streams
	// show it by their error event.
	Abort bool
	// Endpoint is the name of the endpoint of the last attempt.
	Endpoint string
	// Attempts counts the endpoints that the call was sent to.
	Attempts int
}

// Caller performs calls.
type Caller interface {
	// Do sends the call and writes the answer to w. A non-nil error is a *verdict.Refusal whose verdict
	// equals that of the result; nothing was written to w unless the result says Started. Without an error the
	// caller has an endpoint's whole answer; the verdict is MayHaveRun if that is an error after which
	// the call was tried in vain.
	Do(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error)
}
