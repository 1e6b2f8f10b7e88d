package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

// HTTPLog is a client of the platform's log, which it calls over HTTP with JSON bodies. Calls fail when
// their context ends. An append is never retried, so that it takes effect at most once.
type HTTPLog struct{ transport transport }

// NewHTTPLog returns a client of the log at a base URL, whose host must be an IP address. With a nil
// HTTP client it creates one.
func NewHTTPLog(baseURL string, client *http.Client) (*HTTPLog, error) {
	t, err := newTransport(baseURL, client)
	if err != nil {
		return nil, err
	}
	return &HTTPLog{transport: t}, nil
}

// Append implements Log. After an error other than that of a payload longer than MaxPayloadBytes, the
// payload may or may not have been appended.
func (h *HTTPLog) Append(ctx context.Context, stream string, payload []byte) (Offset, error) {
	if len(payload) > MaxPayloadBytes {
		return 0, fmt.Errorf("append to stream %s: payload of %d bytes exceeds the maximum of %d", stream, len(payload), MaxPayloadBytes)
	}
	answer := struct{ Offset *Offset }{}
	body := struct{ Payload []byte }{Payload: payload}
	if err := h.transport.post(ctx, streamPath(stream), body, &answer); err != nil {
		return 0, fmt.Errorf("append to stream %s: %w", stream, err)
	}
	if answer.Offset == nil {
		return 0, fmt.Errorf("append to stream %s: %w: response has no offset", stream, ErrUnavailable)
	}
	return *answer.Offset, nil
}

// Read implements Log. It returns no entries if the response has more than limit or any of them has an unexpected offset.
func (h *HTTPLog) Read(ctx context.Context, stream string, from Offset, limit int) ([]Entry, error) {
	answer := struct{ Entries []Entry }{}
	query := url.Values{
		"From":  {strconv.FormatUint(uint64(from), 10)},
		"Limit": {strconv.Itoa(limit)},
	}
	if err := h.transport.get(ctx, streamPath(stream), query, &answer); err != nil {
		return nil, fmt.Errorf("read stream %s: %w", stream, err)
	}
	if len(answer.Entries) > limit {
		return nil, fmt.Errorf("read stream %s: %w: got %d entries, limit %d", stream, ErrUnavailable, len(answer.Entries), limit)
	}
	for i, entry := range answer.Entries {
		if want := from + Offset(i); entry.Offset != want {
			return nil, fmt.Errorf("read stream %s: %w: response has offset %d, want %d", stream, ErrUnavailable, entry.Offset, want)
		}
	}
	return answer.Entries, nil
}

func streamPath(stream string) string { return "/streams/" + url.PathEscape(stream) }

// HTTPInstanceList is a client of the platform's instance list, which it reads over HTTP as JSON.
type HTTPInstanceList struct{ transport transport }

// NewHTTPInstanceList returns a client of the instance list at a base URL, whose host must be an IP
// address. With a nil HTTP client it creates one.
func NewHTTPInstanceList(baseURL string, client *http.Client) (*HTTPInstanceList, error) {
	t, err := newTransport(baseURL, client)
	if err != nil {
		return nil, err
	}
	return &HTTPInstanceList{transport: t}, nil
}

// Instances implements InstanceList.
func (h *HTTPInstanceList) Instances(ctx context.Context) (Listing, error) {
	listing := Listing{}
	if err := h.transport.get(ctx, "/instances", nil, &listing); err != nil {
		return Listing{}, fmt.Errorf("read instance list: %w", err)
	}
	return listing, nil
}
