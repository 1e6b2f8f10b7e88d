package endpoint

import (
	"net/http"
	"strings"

	"github.com/dragonflyworks/dragonflyworks/router/headers"
)

// requestHeader returns the headers that an endpoint gets.
func requestHeader(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = make(http.Header)
	}
	headers.RemoveHop(header)
	for _, name := range []string{"Authorization", "Content-Length", "Expect", "Host"} {
		header.Del(name)
	}
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from naming itself.
		header["User-Agent"] = nil
	}
	return header
}

// routerHeaderPrefix is how the names of the headers begin that only routers set on answers.
const routerHeaderPrefix = "Dragonfly-"

// copyResponseHeader sets the headers of an endpoint's answer on the caller's.
func copyResponseHeader(to, from http.Header) {
	headers.RemoveHop(from)
	for name, values := range from {
		if !strings.HasPrefix(name, routerHeaderPrefix) {
			to[name] = values
		}
	}
}
