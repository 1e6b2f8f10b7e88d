package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

// HTTPLog speaks to the platform's log over HTTP with JSON bodies. A call ends with its context;
// an append is sent at most once.
type HTTPLog struct{ transport transport }

// NewHTTPLog returns a client of the log at a base URL, whose host is an IP address. A nil client
// stands for one of its own.
func NewHTTPLog(baseURL string, client *http.Client) (*HTTPLog, error) {
	t, err := newTransport(baseURL, client)
	if err != nil {
		return nil, err
	}
	return &HTTPLog{transport: t}, nil
}

// Append implements Log. An error leaves it open whether the payload was appended.
func (h *HTTPLog) Append(ctx context.Context, stream string, payload []byte) (Offset, error) {
	if len(payload) > MaxPayloadBytes {
		return 0, fmt.Errorf("append to stream %s: payload of %d bytes is longer than %d", stream, len(payload), MaxPayloadBytes)
	}
	answer := struct{ Offset *Offset }{}
	body := struct{ Payload []byte }{Payload: payload}
	if err := h.transport.post(ctx, streamPath(stream), body, &answer); err != nil {
		return 0, fmt.Errorf("append to stream %s: %w", stream, err)
	}
	if answer.Offset == nil {
		return 0, fmt.Errorf("append to stream %s: %w: answer without an offset", stream, ErrUnavailable)
	}
	return *answer.Offset, nil
}

// Read implements Log. An answer with a gap or a foreign offset is refused as a whole.
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
		return nil, fmt.Errorf("read stream %s: %w: %d entries for a limit of %d", stream, ErrUnavailable, len(answer.Entries), limit)
	}
	for i, entry := range answer.Entries {
		if want := from + Offset(i); entry.Offset != want {
			return nil, fmt.Errorf("read stream %s: %w: offset %d in place of %d", stream, ErrUnavailable, entry.Offset, want)
		}
	}
	return answer.Entries, nil
}

func streamPath(stream string) string { return "/streams/" + url.PathEscape(stream) }

// HTTPInstanceList speaks to the platform's instance list over HTTP with JSON bodies.
type HTTPInstanceList struct{ transport transport }

// NewHTTPInstanceList returns a client of the instance list at a base URL, whose host is an IP
// address. A nil client stands for one of its own.
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
