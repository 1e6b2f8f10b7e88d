package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/http1"
)

// Bounds of requests to the platform's services and of their responses.
const (
	// MaxPayloadBytes is the maximum length of an appended payload.
	MaxPayloadBytes = 1 << 20
	// MaxReadBytes is the maximum total length of the payloads in a response to a read. A response with a single entry may
	// exceed it.
	MaxReadBytes = 4 << 20
	// MaxResponseBytes is the maximum length of a response body. It leaves room for base64, which makes payloads longer
	// by a third.
	MaxResponseBytes = 8 << 20

	// maxIdleConnections is the maximum number of idle connections that are kept open to one host.
	maxIdleConnections = 16
	// idleConnectionTimeout is how long an unused connection stays open.
	idleConnectionTimeout = 30 * time.Second
)

// transport sends HTTP requests with JSON bodies to one service of the platform.
type transport struct {
	base   *url.URL
	client *http.Client
}

// newTransport returns a transport for a base URL. With a nil HTTP client it creates one.
func newTransport(baseURL string, client *http.Client) (transport, error) {
	base, err := parseBaseURL(baseURL)
	if err != nil {
		return transport{}, err
	}
	if client == nil {
		client = newClient()
	}
	return transport{base: base, client: client}, nil
}

// parseBaseURL parses the base URL of a service. It must have the scheme http or https and an IP address as its host.
func parseBaseURL(baseURL string) (*url.URL, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("parse platform URL: %w", err)
	}
	if base.Scheme != "http" && base.Scheme != "https" {
		return nil, fmt.Errorf("platform URL %q: scheme is neither http nor https", baseURL)
	}
	if _, err := netip.ParseAddr(base.Hostname()); err != nil {
		return nil, fmt.Errorf("platform URL %q: host is not an IP address", baseURL)
	}
	if port := base.Port(); port != "" {
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return nil, fmt.Errorf("platform URL %q: port is out of range", baseURL)
		}
	}
	return base, nil
}

// newClient returns an HTTP client that returns redirects to the caller instead of following them.
func newClient() *http.Client {
	return &http.Client{
		Transport: http1.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// post sends a POST request with a JSON body and decodes the response into result. It leaves GetBody nil, without which
// net/http can't replay the request on another connection, so that the service gets it at most once.
func (t transport) post(ctx context.Context, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.base.JoinPath(path).String(), bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return t.do(request, result)
}

// get sends a GET request and decodes the response into result.
func (t transport) get(ctx context.Context, path string, query url.Values, result any) error {
	target := t.base.JoinPath(path)
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	return t.do(request, result)
}

// do sends a request and decodes the JSON response into result. It returns a *TruncatedError for the status 410 Gone and
// wraps ErrUnavailable in all other errors.
func (t transport) do(request *http.Request, result any) error {
	response, err := t.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return fmt.Errorf("%w: read response: %w", ErrUnavailable, err)
	}
	if len(body) > MaxResponseBytes {
		return fmt.Errorf("%w: response is longer than %d bytes", ErrUnavailable, MaxResponseBytes)
	}
	if response.StatusCode == http.StatusGone {
		return decodeTruncation(body)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("%w: decode response: %w", ErrUnavailable, err)
	}
	return nil
}

// decodeTruncation returns the *TruncatedError that the body of a response with the status 410 Gone describes, or an error
// that wraps ErrUnavailable if the body is invalid.
func decodeTruncation(body []byte) error {
	truncated := &TruncatedError{}
	if err := json.Unmarshal(body, truncated); err != nil {
		return fmt.Errorf("%w: decode truncation response: %w", ErrUnavailable, err)
	}
	if truncated.Stream == "" {
		return fmt.Errorf("%w: truncation response names no stream", ErrUnavailable)
	}
	return truncated
}

// MayBeAtEnd reports whether a read with the given limit may have reached the stream's end. A read returns fewer
// entries than the limit at the stream's end, or because of MaxReadBytes. A read that MaxReadBytes has cut short has
// payloads longer than half of MaxReadBytes in total, because the entry that did not fit has at most MaxPayloadBytes.
func MayBeAtEnd(entries []Entry, limit int) bool {
	size := 0
	for _, e := range entries {
		size += len(e.Payload)
	}
	return len(entries) < limit && size < MaxReadBytes/2
}
