package endpoint

import (
	"net/http"
	"strings"

	"github.com/dragonflyworks/dragonflyworks/router/headers"
)

// requestHeader returns the headers to send to an endpoint: those of the caller without hop-by-hop headers,
// credentials and the headers that net/http sets.
func requestHeader(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = make(http.Header)
	}
	headers.RemoveHopByHop(header)
	for _, name := range []string{"Authorization", "Content-Length", "Expect", "Host"} {
		header.Del(name)
	}
	if header.Get("User-Agent") == "" {
		// A nil value keeps net/http from adding its own User-Agent.
		header["User-Agent"] = nil
	}
	return header
}

// routerHeaderPrefix is the prefix of response headers that only routers may set.
const routerHeaderPrefix = "Dragonfly-"

// copyResponseHeader copies an endpoint's response headers to the caller's response, without hop-by-hop headers and
// those reserved for routers.
func copyResponseHeader(to, from http.Header) {
	headers.RemoveHopByHop(from)
	for name, values := range from {
		if !strings.HasPrefix(name, routerHeaderPrefix) {
			to[name] = values
		}
	}
}
