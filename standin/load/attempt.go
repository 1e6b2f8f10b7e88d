package load

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflyworks/dragonflyworks/standin/runs"
	"github.com/dragonflyworks/dragonflyworks/standin/service"
)

// HTTP headers that routers read from requests and set on answers.
const (
	budgetHeader  = "Dragonfly-Budget"
	verdictHeader = "Dragonfly-Verdict"
)

// maxErrorBytes is the maximum number of bytes read of an answer with a status other than 200.
const maxErrorBytes = 64 << 10

// attemptResult is the outcome of one attempt, with the information that decides on a retry.
type attemptResult struct {
	attempt  Attempt
	outcome  Outcome
	received receivedAnswer
	// retryAfter is the delay from the answer's Retry-After header. retryable reports whether the request may be sent again.
	retryAfter time.Duration
	retryable  bool
	// connectFailed reports whether no connection to the target could be established.
	connectFailed bool
}

// sendAttempt sends a job's request to a target once and classifies the answer.
func (r *Runner) sendAttempt(ctx context.Context, j *job, target string) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	request, err := newRequest(ctx, j, target)
	if err != nil {
		return disconnectedResult(target, 0, err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		var dialError *net.OpError
		failed := disconnectedResult(target, 0, err)
		failed.connectFailed = errors.As(err, &dialError) && dialError.Op == "dial"
		return failed
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusedResult(target, response)
	}
	answer, err := readAnswer(j, response)
	return classify(target, response, answer, err)
}

// newRequest builds the request of one attempt. GetBody stays nil because the HTTP transport would otherwise resend the
// request on its own, and that attempt would be missing from the report.
func newRequest(ctx context.Context, j *job, target string) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if j.body != "" {
		body = strings.NewReader(j.body)
	}
	request, err := http.NewRequestWithContext(ctx, j.method, strings.TrimSuffix(target, "/")+j.path, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+j.team.BearerKey)
	request.Header.Set(runs.Header, j.key)
	request.Header.Set(service.NonceHeader, j.nonce)
	if j.budget != "" {
		request.Header.Set(budgetHeader, j.budget)
	}
	if j.body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

func disconnectedResult(target string, status int, err error) attemptResult {
	return attemptResult{
		attempt:   Attempt{Target: target, Status: status, Error: err.Error()},
		outcome:   Disconnected,
		retryable: true,
	}
}

func refusedResult(target string, response *http.Response) attemptResult {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return disconnectedResult(target, response.StatusCode, err)
	}
	body := struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}{}
	_ = json.Unmarshal(data, &body)
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	isBusy := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	return attemptResult{
		attempt: Attempt{
			Target:  target,
			Status:  response.StatusCode,
			Verdict: response.Header.Get(verdictHeader),
			Code:    body.Error.Code,
		},
		outcome:    Refused,
		retryable:  isBusy && err == nil,
		retryAfter: time.Duration(seconds) * time.Second,
	}
}

// classify returns the result of an attempt whose answer had status 200, given the error with which reading it ended.
func classify(target string, response *http.Response, answer receivedAnswer, err error) attemptResult {
	r := attemptResult{
		attempt:  Attempt{Target: target, Status: response.StatusCode, Verdict: response.Header.Get(verdictHeader)},
		outcome:  Completed,
		received: answer,
	}
	var endedWithError *answerError
	switch {
	case err == nil:
		return r
	case errors.Is(err, errWrongAnswer):
		r.outcome = WrongAnswer
	case errors.Is(err, errIncompleteAnswer):
		r.outcome = CutAnswer
	case errors.As(err, &endedWithError):
		r.outcome = Broken
		r.attempt.Code = endedWithError.code
	default:
		r.outcome = Disconnected
		r.retryable = true
	}
	r.attempt.Error = err.Error()
	return r
}
