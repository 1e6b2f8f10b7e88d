package listener

import (
	"io"
	"net/http"
	"time"
)

// discardingHandler bounds the time in which net/http reads what a handler has left of a request's body. Without it, a client that doesn't send
// the rest would keep its connection, and would wait for its answer.
type discardingHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h discardingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		h.next.ServeHTTP(w, r)
		return
	}
	body := &trackedBody{ReadCloser: r.Body}
	// net/http looks at the type of the body in its own request.
	tracked := *r
	tracked.Body = body
	h.next.ServeHTTP(w, &tracked)
	if !body.hasEnded {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
	}
}

// trackedBody is the body of a request that notes its end.
type trackedBody struct {
	io.ReadCloser

	hasEnded bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.hasEnded = b.hasEnded || err != nil
	return n, err
}
