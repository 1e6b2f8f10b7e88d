package http1

import "net/http"

// EndsWithConnection reports whether a response has neither a length nor chunks, so that its body ends where the connection does.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
