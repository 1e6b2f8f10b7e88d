// Package headers implements the handling of HTTP headers that a proxy needs: it removes hop-by-hop headers and measures
// the size of a header.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// MaxFields is the number of fields that the head of a request may have. A field of some bytes takes some hundred when it is parsed, and twice
// that with the head of the request to the endpoint.
const MaxFields = 100

// hopByHopNames lists the headers that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
func hopByHopNames() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}

// RemoveHopByHop removes the hop-by-hop headers, including the headers that the Connection header names.
func RemoveHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopNames() {
		header.Del(name)
	}
}

// Size returns the total size of all names and values in bytes. A name counts once for each of its values.
func Size(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// Count returns the number of fields. A name counts once for each of its values.
func Count(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}
