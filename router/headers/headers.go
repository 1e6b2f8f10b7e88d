// Package headers treats HTTP headers as a router between two connections has to.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopNames lists the headers that concern one connection only (RFC 9110, section 7.6.1).
func hopByHopNames() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}

// RemoveHop removes the headers that concern one connection only, and those that Connection names.
func RemoveHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopNames() {
		header.Del(name)
	}
}

// Bytes returns the size of all names and values.
func Bytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}
