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

// Headers of the routers' interface.
const (
	budgetHeader  = "Dragonfly-Budget"
	verdictHeader = "Dragonfly-Verdict"
)

const maxErrorBytes = 64 << 10

// result is what one attempt brought.
type result struct {
	attempt  Attempt
	outcome  Outcome
	received received
	// retryAfter is what the answer asks for; it is set if the attempt may be repeated.
	retryAfter time.Duration
	retry      bool
	// unconnected says that the target took no connection.
	unconnected bool
}

// try sends a job once.
func (r *Runner) try(ctx context.Context, j *job, target string) result {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	request, err := newRequest(ctx, j, target)
	if err != nil {
		return disconnected(target, 0, err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		var failed *net.OpError
		refused := disconnected(target, 0, err)
		refused.unconnected = errors.As(err, &failed) && failed.Op == "dial"
		return refused
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refused(target, response)
	}
	got, err := receive(j, response)
	return judge(target, response, got, err)
}

// newRequest leaves GetBody nil: the HTTP transport would send the request again by itself.
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

func disconnected(target string, status int, err error) result {
	return result{
		attempt: Attempt{Target: target, Status: status, Error: err.Error()},
		outcome: Disconnected,
		retry:   true,
	}
}

func refused(target string, response *http.Response) result {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return disconnected(target, response.StatusCode, err)
	}
	body := struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}{}
	_ = json.Unmarshal(data, &body)
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	busy := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	return result{
		attempt: Attempt{
			Target:  target,
			Status:  response.StatusCode,
			Verdict: response.Header.Get(verdictHeader),
			Code:    body.Error.Code,
		},
		outcome:    Refused,
		retry:      busy && err == nil,
		retryAfter: time.Duration(seconds) * time.Second,
	}
}

// judge turns a received answer into an outcome.
func judge(target string, response *http.Response, got received, err error) result {
	r := result{
		attempt:  Attempt{Target: target, Status: response.StatusCode, Verdict: response.Header.Get(verdictHeader)},
		outcome:  Completed,
		received: got,
	}
	var broken *brokenError
	switch {
	case err == nil:
		return r
	case errors.Is(err, errForeign):
		r.outcome = WrongAnswer
	case errors.Is(err, errCut):
		r.outcome = CutAnswer
	case errors.As(err, &broken):
		r.outcome = Broken
		r.attempt.Code = broken.code
	default:
		r.outcome = Disconnected
		r.retry = true
	}
	r.attempt.Error = err.Error()
	return r
}
