package caller

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/bodies"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// maxBodyWait bounds the time for which a request waits for memory for its body.
const maxBodyWait = 5 * time.Second

// maxKeyBytes is the maximum length of an Idempotency-Key.
const maxKeyBytes = 255

const (
	// timestampedUUIDVersion is the UUID version that contains a Unix timestamp in milliseconds (RFC 9562).
	timestampedUUIDVersion = 7
	// maxKeyClockSkew is the maximum time by which a key's timestamp may be ahead of the router's clock.
	maxKeyClockSkew = 1 * time.Minute
)

// checkedRequest is a request that has been authenticated and validated, but has no reservation yet.
type checkedRequest struct {
	team operator.Team
	// key is the caller's Idempotency-Key, or the one that the router generated. The answer repeats it in HeaderRequestID.
	key     string
	demand  ledgerstream.Demand
	call    *endpoint.Call
	timeout time.Duration
}

// newCheckedRequest validates the headers that model and plain requests share. The body must be the caller's original one:
// the fingerprint, which detects another request under the same key, must not depend on how the router rewrites the body.
func (s *Server) newCheckedRequest(r *http.Request, c *authenticatedCaller, route operator.Route, body []byte) (*checkedRequest, error) {
	route.Limits = route.Limits.WithDefaults()
	budget, err := c.budget(r)
	if err != nil {
		return nil, err
	}
	idempotent, err := readIdempotent(r, route)
	if err != nil {
		return nil, err
	}
	key, generated, err := readKey(r, idempotent)
	if err != nil {
		return nil, err
	}
	if route.DatedKeys && !idempotent {
		if err := checkKeyAge(key, time.Now(), s.settings.MaxKeyAge); err != nil {
			return nil, err
		}
	}
	timeout, err := readTimeout(r, route.Limits.RequestTimeout)
	if err != nil {
		return nil, err
	}
	checked := &checkedRequest{team: c.team, key: key, timeout: timeout}
	checked.demand = ledgerstream.Demand{
		Budget:      budget.Name,
		Request:     ledger.NewRequestIdentifier(c.team.Name, key),
		Fingerprint: ledger.NewFingerprint([]byte(r.Method), []byte(r.URL.RequestURI()), body),
		Idempotent:  idempotent,
		Unique:      generated,
	}
	checked.call = &endpoint.Call{
		Route:       route,
		Team:        c.team.Name,
		Method:      r.Method,
		Path:        r.URL.RequestURI(),
		Header:      forwardedHeader(r.Header, key),
		Body:        body,
		Idempotent:  idempotent,
		Fingerprint: checked.demand.Fingerprint,
	}
	return checked, nil
}

func readIdempotent(r *http.Request, route operator.Route) (bool, error) {
	switch value := r.Header.Get(HeaderIdempotent); value {
	case "", "true":
		return !route.NonIdempotent, nil
	case "false":
		return false, nil
	default:
		return false, verdict.Refuse(verdict.InvalidHeader, fmt.Sprintf("%s: %q is neither true nor false", HeaderIdempotent, value))
	}
}

// readKey returns the request's Idempotency-Key. For an idempotent request without one it generates a random key; a
// non-idempotent request without one is refused.
func readKey(r *http.Request, idempotent bool) (key string, generated bool, err error) {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 && idempotent {
		return rand.Text(), true, nil
	}
	if len(values) == 0 {
		return "", false, verdict.Refuse(verdict.IdempotencyKeyMissing, "")
	}
	if len(values) > 1 || !isValidKey(values[0]) {
		return "", false, verdict.Refuse(verdict.IdempotencyKeyInvalid, "send one value of 1 to 255 printable ASCII characters")
	}
	return values[0], false, nil
}

// checkKeyAge refuses a key that contains no usable timestamp or is older than the limit. The verdict is MayHaveRun, because an
// earlier request with the same key may have run: the ledger's window may no longer contain it, or it may have been sent
// before the route required dated keys.
func checkKeyAge(key string, now time.Time, limit time.Duration) error {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != timestampedUUIDVersion {
		return &verdict.Refusal{Reason: verdict.IdempotencyKeyUndated}
	}
	age := now.Sub(time.Unix(id.Time().UnixTime()))
	if age < -maxKeyClockSkew {
		return &verdict.Refusal{Reason: verdict.IdempotencyKeyUndated, Detail: fmt.Sprintf("its time lies %s ahead", -age)}
	}
	if age > limit {
		return &verdict.Refusal{Reason: verdict.IdempotencyKeyTooOld, Detail: fmt.Sprintf("the limit is %s", limit)}
	}
	return nil
}

func isValidKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for _, b := range []byte(key) {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}

// readTimeout returns the timeout of the request: the value of HeaderTimeout, but no more than the route's timeout.
func readTimeout(r *http.Request, routeTimeout time.Duration) (time.Duration, error) {
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return routeTimeout, nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 {
		return 0, verdict.Refuse(verdict.InvalidHeader, fmt.Sprintf("%s: %q is not a duration such as 30s", HeaderTimeout, value))
	}
	return min(timeout, routeTimeout), nil
}

// forwardedHeader returns the headers for the endpoint. It removes the bearer key and the headers that are meant for the
// router, and sets the Idempotency-Key, which may be a generated one.
func forwardedHeader(header http.Header, key string) http.Header {
	forwarded := header.Clone()
	for _, name := range []string{HeaderAuthorization, HeaderBudget, HeaderIdempotent, HeaderTimeout, "Accept-Encoding", "Content-Length"} {
		forwarded.Del(name)
	}
	forwarded.Set(HeaderIdempotencyKey, key)
	return forwarded
}

// readBody reads the request's body into the memory for bodies. It refuses a body that is longer than limit bytes, doesn't arrive within
// Settings.BodyTimeout or finds no memory.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *authenticatedCaller, limit int64) ([]byte, error) {
	body, err := s.bodies.Read(r.Context(), bodies.Source{
		Body: http.MaxBytesReader(w, r.Body, limit), Length: r.ContentLength, Limit: limit, Deadline: http.NewResponseController(w),
		WaitUntil: time.Now().Add(min(s.settings.BodyTimeout, maxBodyWait)),
	})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		c.body = body
		return body.Join(), nil
	case errors.As(err, &tooLarge):
		return nil, verdict.Refuse(verdict.BodyTooLarge, fmt.Sprintf("the limit is %d bytes", limit))
	case errors.Is(err, bodies.ErrNoRoom):
		return nil, verdict.Refuse(verdict.MemoryExhausted, "")
	case errors.Is(err, bodies.ErrTooSlow):
		return nil, verdict.Refuse(verdict.SenderTooSlow, "others wait for its memory")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, verdict.Refuse(verdict.SenderTooSlow, fmt.Sprintf("the body must arrive within %s", s.settings.BodyTimeout))
	default:
		return nil, &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.CallerDisconnected, Cause: err}
	}
}
