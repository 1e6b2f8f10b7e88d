package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// panickingDispatcher panics after it has written part of an answer, which may be empty.
type panickingDispatcher struct{ part string }

func (d panickingDispatcher) Do(_ context.Context, _ *endpoint.Call, w http.ResponseWriter) (endpoint.Result, error) {
	if d.part != "" {
		_, _ = w.Write([]byte(d.part))
		_ = http.NewResponseController(w).Flush()
	}
	panic("fault")
}

// TestPanicIsAnswered guards against a panic in a handler that closes the connection without an answer and keeps the reservation open, and
// against an answer in part that an error is appended to.
func TestPanicIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name, part string
		status     int
		isWhole    bool
	}{{"before an answer", "", http.StatusInternalServerError, true}, {"in an answer", "half", http.StatusOK, false}} {
		t.Run(c.name, func(t *testing.T) {
			s, accounts, _ := setUp(t)
			s.dispatcher = panickingDispatcher{part: c.part}
			server := httptest.NewServer(s.Handler())
			t.Cleanup(server.Close)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/deposits", nil)
			assert.Must(t, err)
			r.Header.Set(HeaderAuthorization, "Bearer "+keyLuzon)
			r.Header.Set(HeaderIdempotencyKey, "k")
			response, err := http.DefaultClient.Do(r)
			assert.Must(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, c.status, response.StatusCode)
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, c.isWhole, err == nil)
			assert.Equal(t, !c.isWhole, string(body) == c.part)
			assert.Equal(t, []ledger.Tokens{3}, accounts.bills)
		})
	}
}
