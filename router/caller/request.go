package caller

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// maxKeyBytes bounds an Idempotency-Key, in bytes.
const maxKeyBytes = 255

const (
	// timestampedUUIDVersion is the version of UUIDs that hold their time in milliseconds (RFC 9562).
	timestampedUUIDVersion = 7
	// maxKeyClockSkew is how far a key's time may lie ahead of the router's clock.
	maxKeyClockSkew = 1 * time.Minute
)

// checkedRequest is a request that has been read and checked and may be paid for.
type checkedRequest struct {
	team operator.Team
	// key is the request's identifier as the caller knows it.
	key     string
	demand  ledgerstream.Demand
	call    *endpoint.Call
	timeout time.Duration
}

// newCheckedRequest checks the headers that all kinds of requests share. The body stands in it as the
// caller sent it, so that the fingerprint doesn't depend on what the router rewrites.
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
		if err := checkKeyAge(key, time.Now(), s.settings.KeyAge); err != nil {
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

// readKey returns the caller's identifier of a request, or makes one for a request that has none.
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

// checkKeyAge refuses a key whose age can't be told or exceeds the limit. Whether an earlier request with it ran
// isn't known: it may have left the ledger's window, or have come before the route asked for dated keys.
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

// readTimeout returns the time that the caller and the route leave to the request.
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

// forwardedHeader copies the headers that an endpoint may see. The caller's key stays here.
func forwardedHeader(header http.Header, key string) http.Header {
	forwarded := header.Clone()
	for _, name := range []string{HeaderAuthorization, HeaderBudget, HeaderIdempotent, HeaderTimeout, "Accept-Encoding", "Content-Length"} {
		forwarded.Del(name)
	}
	forwarded.Set(HeaderIdempotencyKey, key)
	return forwarded
}

// readBody reads a body of bounded length in bounded time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	// A writer without deadlines, as in tests, leaves the sender unbounded in time.
	_ = controller.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, verdict.Refuse(verdict.BodyTooLarge, fmt.Sprintf("the limit is %d bytes", limit))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, verdict.Refuse(verdict.SenderTooSlow, fmt.Sprintf("the body must arrive within %s", s.settings.BodyTimeout))
	default:
		return nil, &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.CallerWentAway, Cause: err}
	}
}
