package platform

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestNewHTTPLog(t *testing.T) {
	for _, invalidURL := range []string{
		"", "127.0.0.1:19000", "ftp://127.0.0.1:19000", "http://platform:19000", "http://127.0.0.1:99999", "http://:19000",
	} {
		t.Run(invalidURL, func(t *testing.T) {
			if _, err := NewHTTPLog(invalidURL, nil); err == nil {
				t.Error("accepted")
			}
		})
	}
	for _, validURL := range []string{"http://127.0.0.1:19000", "https://[::1]:19000/platform", "http://10.0.0.1"} {
		t.Run(validURL, func(t *testing.T) {
			if _, err := NewHTTPInstanceList(validURL, nil); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestHTTPLogUnusableAnswers(t *testing.T) {
	for name, answer := range map[string]struct {
		status int
		body   string
	}{
		"status":          {http.StatusServiceUnavailable, `{"Entries":[]}`},
		"redirect":        {http.StatusFound, `{"Entries":[]}`},
		"malformed":       {http.StatusOK, `{"Entries":`},
		"too long":        {http.StatusOK, strings.Repeat(" ", MaxResponseBytes+1)},
		"wrong offset":    {http.StatusOK, `{"Entries":[{"Offset":4,"Payload":""}]}`},
		"gap":             {http.StatusOK, `{"Entries":[{"Offset":3,"Payload":""},{"Offset":5,"Payload":""}]}`},
		"over the limit":  {http.StatusOK, `{"Entries":[{"Offset":3},{"Offset":4},{"Offset":5}]}`},
		"no stream named": {http.StatusGone, `{}`},
	} {
		t.Run(name, func(t *testing.T) {
			log := newLogWithResponse(t, answer.status, answer.body)
			_, err := log.Read(t.Context(), "ledger-0", 3, 2)
			assertUnavailable(t, err)
		})
	}
	t.Run("append without offset", func(t *testing.T) {
		_, err := newLogWithResponse(t, http.StatusOK, `{}`).Append(t.Context(), "ledger-0", nil)
		assertUnavailable(t, err)
	})
	t.Run("truncation", func(t *testing.T) {
		log := newLogWithResponse(t, http.StatusGone, `{"Stream":"ledger-0","First":9}`)
		_, err := log.Read(t.Context(), "ledger-0", 3, 2)
		var truncated *TruncatedError
		if !errors.As(err, &truncated) {
			t.Fatalf("error %v", err)
		}
		if diff := cmp.Diff(&TruncatedError{Stream: "ledger-0", First: 9}, truncated); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against net/http sending an append twice: when the server closes a reused connection without a response, the
// transport retries requests that it can replay, but the first append may have taken effect.
func TestHTTPLogAppendIsNotReplayed(t *testing.T) {
	var appends atomic.Int64
	log := newLogWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if appends.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, `{"Offset":0}`)
	})
	if _, err := log.Append(t.Context(), "ledger-0", []byte("a")); err != nil {
		t.Fatalf("append: %v", err)
	}
	_, err := log.Append(t.Context(), "ledger-0", []byte("b"))
	assertUnavailable(t, err)
	if diff := cmp.Diff(int64(2), appends.Load()); diff != "" {
		t.Error(diff)
	}
}

// newLogWithResponse returns a client of a server that answers every request with the status and body.
func newLogWithResponse(t *testing.T, status int, body string) *HTTPLog {
	t.Helper()
	return newLogWithHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
}

// newLogWithHandler returns a client of a server that runs the handler until the test ends.
func newLogWithHandler(t *testing.T, handler http.HandlerFunc) *HTTPLog {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	log, err := NewHTTPLog(server.URL, nil)
	if err != nil {
		t.Fatalf("new log: %v", err)
	}
	return log
}

func assertUnavailable(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, ErrUnavailable) {
		t.Errorf("got error %v, want %v", err, ErrUnavailable)
	}
}
