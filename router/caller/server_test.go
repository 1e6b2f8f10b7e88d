package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
	"github.com/dragonflyworks/dragonflyworks/router/headers"
)

const chatBody = `{"model":"brush","messages":[{"role":"user","content":"a cat"}],"max_tokens":10}`

func newBody(body string) io.Reader { return strings.NewReader(body) }

// refusalResponse holds the parts of a refused request's answer that callers act on.
type refusalResponse struct {
	Status  int
	Code    string
	Verdict string
	Retry   bool
}

// parseRefusal decodes a recorded answer that must have an OpenAI error object as its body.
func parseRefusal(t *testing.T, w *httptest.ResponseRecorder) refusalResponse {
	t.Helper()
	response := errorResponse{}
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
		t.Fatalf("parsing the error object: %v: %s", err, w.Body)
	}
	return refusalResponse{w.Code, response.Error.Code, w.Header().Get(HeaderVerdict), w.Header().Get("Retry-After") != ""}
}

// TestRefusalsBeforeReserving guards against invalid requests that reserve tokens, and against error answers that contain the
// caller's bearer key.
func TestRefusalsBeforeReserving(t *testing.T) {
	luzon := "Bearer " + keyLuzon
	cebu := "Bearer " + keyCebu
	cases := []struct {
		name, method, path, body string
		header                   []string
		reason                   verdict.Reason
	}{
		{"no key", "POST", "/v1/chat/completions", chatBody, nil, verdict.InvalidKey},
		{"wrong key", "POST", "/v1/chat/completions", chatBody, []string{HeaderAuthorization, "Bearer wrong"}, verdict.InvalidKey},
		{"basic scheme", "POST", "/v1/chat/completions", chatBody, []string{HeaderAuthorization, "Basic " + keyLuzon}, verdict.InvalidKey},
		{"other team's budget", "POST", "/v1/chat/completions", chatBody, []string{HeaderAuthorization, luzon, HeaderBudget, "cebu-one"}, verdict.BudgetForbidden},
		{"unknown budget", "POST", "/v1/chat/completions", chatBody, []string{HeaderAuthorization, luzon, HeaderBudget, "none"}, verdict.BudgetUnknown},
		{"several budgets", "POST", "/v1/chat/completions", chatBody, []string{HeaderAuthorization, cebu}, verdict.BudgetAmbiguous},
		{"frozen budget", "POST", "/v1/chat/completions", chatBody, []string{HeaderAuthorization, cebu, HeaderBudget, "cebu-two"}, verdict.BudgetFrozen},
		{"invalid JSON", "POST", "/v1/chat/completions", "{", []string{HeaderAuthorization, luzon}, verdict.InvalidBody},
		{"no model", "POST", "/v1/chat/completions", `{"messages":[]}`, []string{HeaderAuthorization, luzon}, verdict.InvalidBody},
		{"no prompt", "POST", "/v1/completions", `{"model":"brush"}`, []string{HeaderAuthorization, luzon}, verdict.InvalidBody},
		{"two answers", "POST", "/v1/completions", `{"model":"brush","prompt":"a","n":2}`, []string{HeaderAuthorization, luzon}, verdict.InvalidBody},
		{"n in lower and upper case", "POST", "/v1/completions", `{"model":"brush","prompt":"a","n":5,"N":1}`, []string{HeaderAuthorization, luzon}, verdict.InvalidBody},
		{"two prompts", "POST", "/v1/completions", `{"model":"brush","prompt":["a","b"]}`, []string{HeaderAuthorization, luzon}, verdict.InvalidBody},
		{"two prompts as tokens", "POST", "/v1/completions", `{"model":"brush","prompt":[[1,2],[3]]}`, []string{HeaderAuthorization, luzon}, verdict.InvalidBody},
		{"max_tokens above the route's maximum", "POST", "/v1/completions", `{"model":"brush","prompt":"a","max_tokens":101}`, []string{HeaderAuthorization, luzon}, verdict.InvalidBody},
		{"max_tokens of zero", "POST", "/v1/completions", `{"model":"brush","prompt":"a","max_tokens":0}`, []string{HeaderAuthorization, luzon}, verdict.InvalidBody},
		{"unknown model", "POST", "/v1/completions", `{"model":"pen","prompt":"a"}`, []string{HeaderAuthorization, luzon}, verdict.ModelUnknown},
		{"body above the limit", "POST", "/v1/completions", `{"model":"brush","prompt":"` + strings.Repeat("a", 4096) + `"}`, []string{HeaderAuthorization, luzon}, verdict.BodyTooLarge},
		{"plain body above the limit", "POST", "/deposits", strings.Repeat("a", 65), []string{HeaderAuthorization, luzon, HeaderIdempotencyKey, "k"}, verdict.BodyTooLarge},
		{"headers above the limit", "GET", "/atelier", "", []string{HeaderAuthorization, luzon, "X-Long", strings.Repeat("a", DefaultHeaderBytes)}, verdict.HeadersTooLarge},
		{"too many headers", "GET", "/atelier", "", append([]string{HeaderAuthorization, luzon}, manyFields()...), verdict.TooManyHeaders},
		{"unknown path", "GET", "/elsewhere", "", []string{HeaderAuthorization, luzon}, verdict.RouteUnknown},
		{"method of a model path", "GET", "/v1/completions", "", []string{HeaderAuthorization, luzon}, verdict.RouteUnknown},
		{"non-idempotent without key", "POST", "/deposits", "", []string{HeaderAuthorization, luzon}, verdict.IdempotencyKeyMissing},
		{"non-idempotent by header without key", "POST", "/atelier", "", []string{HeaderAuthorization, luzon, HeaderIdempotent, "false"}, verdict.IdempotencyKeyMissing},
		{"control character in key", "POST", "/deposits", "", []string{HeaderAuthorization, luzon, HeaderIdempotencyKey, "a\tb"}, verdict.IdempotencyKeyInvalid},
		{"invalid idempotent header", "POST", "/atelier", "", []string{HeaderAuthorization, luzon, HeaderIdempotent, "maybe"}, verdict.InvalidHeader},
		{"negative timeout header", "POST", "/atelier", "", []string{HeaderAuthorization, luzon, HeaderTimeout, "-3s"}, verdict.InvalidHeader},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, accounts, _ := setUp(t)
			w := send(s, c.method, c.path, c.body, c.header...)
			d := verdict.Describe(c.reason)
			assert.Equal(t, refusalResponse{d.Status, string(c.reason), "NotRun", d.RetryAfter > 0}, parseRefusal(t, w))
			assert.Equal(t, 0, len(accounts.demands))
			if strings.Contains(w.Body.String(), keyLuzon) {
				t.Errorf("error answer contains the bearer key: %s", w.Body)
			}
		})
	}
}

// manyFields returns the names and values of as many fields as a whole head may have.
func manyFields() []string {
	var fields []string
	for i := range headers.MaxFields {
		fields = append(fields, fmt.Sprintf("A%d", i), "1")
	}
	return fields
}

func TestAdmission(t *testing.T) {
	t.Run("draining", func(t *testing.T) {
		s, _, _ := setUp(t)
		s.board.Draining.Store(true)
		w := send(s, "GET", "/atelier", "", HeaderAuthorization, "Bearer "+keyLuzon)
		assert.Equal(t, refusalResponse{503, string(verdict.ShuttingDown), "NotRun", true}, parseRefusal(t, w))
	})
	t.Run("ledger not ready", func(t *testing.T) {
		s, _, _ := setUp(t)
		s.board.LedgerReady.Store(false)
		w := send(s, "GET", "/atelier", "", HeaderAuthorization, "Bearer "+keyLuzon)
		assert.Equal(t, refusalResponse{503, string(verdict.NotReady), "NotRun", true}, parseRefusal(t, w))
	})
	t.Run("leaving but not draining still serves", func(t *testing.T) {
		s, _, _ := setUp(t)
		s.board.Leaving.Store(true)
		w := send(s, "GET", "/atelier", "", HeaderAuthorization, "Bearer "+keyLuzon)
		assert.Equal(t, http.StatusOK, w.Code)
	})
	t.Run("concurrency limit of the team", func(t *testing.T) {
		s, _, _ := setUp(t)
		team, _ := s.board.Configuration.Load().TeamForKey(keyLuzon)
		for range team.Limits.Concurrency {
			if _, err := s.teamLimiter.acquire(team, 1); err != nil {
				t.Fatal(err)
			}
		}
		w := send(s, "GET", "/atelier", "", HeaderAuthorization, "Bearer "+keyLuzon)
		assert.Equal(t, refusalResponse{429, string(verdict.ConcurrencyLimited), "NotRun", true}, parseRefusal(t, w))
	})
}

// slowBody is a request body whose reads fail with the error of a connection after its read deadline.
type slowBody struct{}

func (slowBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// TestSlowSender guards against reserving tokens for a request whose body does not arrive in time.
func TestSlowSender(t *testing.T) {
	s, accounts, _ := setUp(t)
	r := httptest.NewRequest("POST", "/atelier", slowBody{})
	r.Header.Set(HeaderAuthorization, "Bearer "+keyLuzon)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	assert.Equal(t, refusalResponse{408, string(verdict.SenderTooSlow), "NotRun", false}, parseRefusal(t, w))
	assert.Equal(t, 0, len(accounts.demands))
}

// TestReservedCost guards against reservations below the maximum cost of a request, which the bill could then exceed.
func TestReservedCost(t *testing.T) {
	cases := []struct {
		name, path, body string
		amount           ledger.Tokens
	}{
		{"prompt bound and answer limit", "/v1/chat/completions", chatBody, ledger.Tokens(len(chatBody)) + 10},
		{"default answer limit", "/v1/completions", `{"model":"brush","prompt":"a"}`, 30 + 20},
		{"max_completion_tokens takes precedence", "/v1/chat/completions", `{"model":"brush","messages":[],"max_tokens":9,"max_completion_tokens":5}`, 72 + 5},
		{"one prompt as tokens", "/v1/completions", `{"model":"brush","prompt":[1,2,3]}`, 34 + 20},
		{"price of a plain call", "/deposits", "x", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, accounts, _ := setUp(t)
			w := send(s, "POST", c.path, c.body, HeaderAuthorization, "Bearer "+keyLuzon, HeaderIdempotencyKey, "k1")
			assert.Equal(t, http.StatusOK, w.Code)
			assert.Equal(t, c.amount, accounts.demands[0].Amount)
			assert.Equal(t, ledger.NewRequestIdentifier("luzon", "k1"), accounts.demands[0].Request)
			assert.Equal(t, []ledger.Tokens{7}, accounts.bills)
			assert.Equal(t, "k1", w.Header().Get(HeaderRequestID))
		})
	}
}

// TestPassedOn guards against forwarding the bearer key and router headers to endpoints, and against a body whose answer limit
// differs from the reserved one when max_tokens occurs twice.
func TestPassedOn(t *testing.T) {
	s, _, dispatcher := setUp(t)
	send(s, "POST", "/v1/chat/completions", `{"model":"brush","messages":[],"stream":true,"max_tokens":4,"max_tokens":6,"seed":1}`,
		HeaderAuthorization, "Bearer "+keyLuzon, HeaderBudget, "luzon-main")
	assert.Equal(t, `{"max_tokens":6,"messages":[],"model":"brush","seed":1,"stream":true,"stream_options":{"include_usage":true}}`, string(dispatcher.lastCall.Body))
	assert.Equal(t, "", dispatcher.lastCall.Header.Get(HeaderAuthorization))
	assert.Equal(t, "", dispatcher.lastCall.Header.Get(HeaderBudget))
	assert.Equal(t, int64(6), dispatcher.lastCall.Model.MaxTokens)
	assert.Equal(t, false, dispatcher.lastCall.Model.ReportUsage)
}

// settlementResult holds the bills and releases of a reservation, and the verdict that the caller got.
type settlementResult struct {
	Bills    []ledger.Tokens
	Releases int
	Verdict  string
}

// TestSettlement guards against a verdict or a bill that allows a request to run free of charge or to be charged although it
// did not run.
func TestSettlement(t *testing.T) {
	endpointFailure := func(v verdict.Verdict) error { return &verdict.Refusal{Verdict: v, Reason: verdict.EndpointFailed} }
	cases := []struct {
		name       string
		path       string
		result     endpoint.Result
		err        error
		releaseErr error
		want       settlementResult
	}{
		{"request that did not run is released", "/atelier", endpoint.Result{Verdict: verdict.NotRun}, endpointFailure(verdict.NotRun), nil, settlementResult{nil, 1, "NotRun"}},
		{"verdict is MayHaveRun if the release is unconfirmed", "/atelier", endpoint.Result{Verdict: verdict.NotRun}, endpointFailure(verdict.NotRun), errors.New("timeout"), settlementResult{nil, 1, "MayHaveRun"}},
		{"idempotent request without usage is released", "/atelier", endpoint.Result{}, endpointFailure(verdict.MayHaveRun), nil, settlementResult{nil, 1, "MayHaveRun"}},
		{"idempotent request with usage is billed", "/atelier", endpoint.Result{Usage: 5}, endpointFailure(verdict.MayHaveRun), nil, settlementResult{[]ledger.Tokens{5}, 0, "MayHaveRun"}},
		{"non-idempotent request without usage is billed zero", "/deposits", endpoint.Result{}, endpointFailure(verdict.MayHaveRun), nil, settlementResult{[]ledger.Tokens{0}, 0, "MayHaveRun"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, accounts, dispatcher := setUp(t)
			dispatcher.result, dispatcher.err, accounts.releaseErr = c.result, c.err, c.releaseErr
			w := send(s, "POST", c.path, "", HeaderAuthorization, "Bearer "+keyLuzon, HeaderIdempotencyKey, "k")
			assert.Equal(t, c.want, settlementResult{accounts.bills, accounts.releases, parseRefusal(t, w).Verdict})
		})
	}
	t.Run("completed answer without usage is released", func(t *testing.T) {
		s, accounts, dispatcher := setUp(t)
		dispatcher.result = endpoint.Result{Verdict: verdict.Ran}
		send(s, "POST", "/v1/chat/completions", chatBody, HeaderAuthorization, "Bearer "+keyLuzon, HeaderIdempotencyKey, "k")
		assert.Equal(t, settlementResult{nil, 1, ""}, settlementResult{accounts.bills, accounts.releases, ""})
	})
	t.Run("incomplete answer aborts the connection", func(t *testing.T) {
		s, accounts, dispatcher := setUp(t)
		dispatcher.result, dispatcher.err = endpoint.Result{ResponseStarted: true, MustAbort: true, Usage: 2}, endpointFailure(verdict.MayHaveRun)
		defer func() {
			assert.Equal(t, true, recover() != nil)
			assert.Equal(t, []ledger.Tokens{2}, accounts.bills)
		}()
		send(s, "POST", "/atelier", "", HeaderAuthorization, "Bearer "+keyLuzon)
	})
}

// TestRefusedReservation guards against dispatching a request whose reservation was refused.
func TestRefusedReservation(t *testing.T) {
	s, accounts, dispatcher := setUp(t)
	accounts.refusal = verdict.Refuse(verdict.BudgetExhausted, "")
	w := send(s, "POST", "/atelier", "", HeaderAuthorization, "Bearer "+keyLuzon)
	assert.Equal(t, refusalResponse{429, string(verdict.BudgetExhausted), "NotRun", true}, parseRefusal(t, w))
	if dispatcher.lastCall != nil {
		t.Error("request dispatched without a reservation")
	}
}

// TestUnreadFieldsArePassedOn guards against losing or altering body fields that the router does not interpret.
func TestUnreadFieldsArePassedOn(t *testing.T) {
	raw := []byte(`{"model":"brush","prompt":"a","max_tokens":3,"priority":-7,"guided":{"choice":["a", 1e2]}}`)
	body, err := parseModelBody(raw)
	assert.NoError(t, err)
	rewritten, err := rewriteModelBody(raw, body, 3)
	assert.NoError(t, err)
	var got struct{ Priority, Guided json.RawMessage }
	assert.NoError(t, json.Unmarshal(rewritten, &got))
	assert.Equal(t, `-7 {"choice":["a",1e2]}`, string(got.Priority)+" "+string(got.Guided))
}

// TestNoMemoryForBody guards against bodies without a bound on their sum, against tokens that are reserved for a refused one, and against memory
// that isn't given back.
func TestNoMemoryForBody(t *testing.T) {
	s, accounts, _ := setUp(t)
	s = NewServer(s.board, accounts, s.dispatcher, Settings{BodyMemory: 100})
	header := []string{HeaderAuthorization, "Bearer " + keyLuzon}
	for range 10 {
		w := send(s, "POST", "/atelier", strings.Repeat("b", 20), header...)
		assert.Equal(t, 200, w.Code)
	}
	reserved := len(accounts.demands)
	w := send(s, "POST", "/atelier", strings.Repeat("b", 101), header...)
	assert.Equal(t, refusalResponse{503, string(verdict.MemoryExhausted), "NotRun", true}, parseRefusal(t, w))
	assert.Equal(t, reserved, len(accounts.demands))
}
