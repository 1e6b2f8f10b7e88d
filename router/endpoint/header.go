package endpoint

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders lists the headers that concern one connection and aren't passed on.
func hopHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}

// requestHeader returns the headers that an endpoint gets.
func requestHeader(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = make(http.Header)
	}
	removeHopHeaders(header)
	for _, name := range []string{"Authorization", "Content-Length", "Expect", "Host"} {
		header.Del(name)
	}
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from naming itself.
		header["User-Agent"] = nil
	}
	return header
}

// ownHeaders is how the names of the headers begin that only routers set on answers.
const ownHeaders = "Dragonfly-"

// copyResponseHeader sets the headers of an endpoint's answer on the caller's.
func copyResponseHeader(to, from http.Header) {
	removeHopHeaders(from)
	for name, values := range from {
		if !strings.HasPrefix(name, ownHeaders) {
			to[name] = values
		}
	}
}

func removeHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders() {
		header.Del(name)
	}
}
