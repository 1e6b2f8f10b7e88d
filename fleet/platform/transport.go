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
)

// Bounds of the exchange with the platform's services.
const (
	// MaxPayloadBytes is the longest payload of an append.
	MaxPayloadBytes = 1 << 20
	// MaxReadBytes is the most payload that an answer to a read carries, unless its first entry alone is longer.
	MaxReadBytes = 4 << 20
	// MaxAnswerBytes is the longest answer that is read; base64 lengthens payloads by a third.
	MaxAnswerBytes = 8 << 20

	maxIdleConnections    = 16
	idleConnectionTimeout = 30 * time.Second
)

// transport sends JSON requests to one service of the platform.
type transport struct {
	base   *url.URL
	client *http.Client
}

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

// parseBaseURL accepts http and https URLs whose host is an IP address.
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

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// post sends a body once. GetBody stays nil, so that the HTTP transport can't send it a second time.
func (t transport) post(ctx context.Context, path string, body, answer any) error {
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
	return t.do(request, answer)
}

func (t transport) get(ctx context.Context, path string, query url.Values, answer any) error {
	target := t.base.JoinPath(path)
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	return t.do(request, answer)
}

// do decodes a whole answer. Every failure wraps ErrUnavailable, except for a truncation.
func (t transport) do(request *http.Request, answer any) error {
	response, err := t.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", ErrUnavailable, err)
	}
	if len(body) > MaxAnswerBytes {
		return fmt.Errorf("%w: answer is longer than %d bytes", ErrUnavailable, MaxAnswerBytes)
	}
	if response.StatusCode == http.StatusGone {
		return decodeTruncation(body)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("%w: decode answer: %w", ErrUnavailable, err)
	}
	return nil
}

func decodeTruncation(body []byte) error {
	truncated := &TruncatedError{}
	if err := json.Unmarshal(body, truncated); err != nil {
		return fmt.Errorf("%w: decode truncation: %w", ErrUnavailable, err)
	}
	if truncated.Stream == "" {
		return fmt.Errorf("%w: truncation names no stream", ErrUnavailable)
	}
	return truncated
}

// AtEnd reports whether the answer to a read of up to limit entries may have reached the stream's end. An answer that is
// short because of its bytes is longer than half of what an answer may carry.
func AtEnd(entries []Entry, limit int) bool {
	size := 0
	for _, e := range entries {
		size += len(e.Payload)
	}
	return len(entries) < limit && size < MaxReadBytes/2
}
