package http1

import (
	"errors"
	"net/url"
	"strings"
)

// ErrTarget reports a request target that can't be forwarded unchanged.
var ErrTarget = errors.New("request target has characters that are not allowed in a path")

// TargetURL returns the URL of a request to an address that net/http sends with the given target, byte for byte. It fails with ErrTarget if there is
// none: net/http writes a target that begins with two slashes only if its path consists of characters that RFC 3986 allows there.
func TargetURL(address, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	// An opaque part that begins with two slashes would be written in absolute form, with its first segment as the host.
	raw, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		return nil, ErrTarget
	}
	u := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery}
	if u.RequestURI() != target {
		return nil, ErrTarget
	}
	return u, nil
}
