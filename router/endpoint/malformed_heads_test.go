package endpoint

import (
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// assertMalformed asserts that responses are none for plain services, engines and streams.
func assertMalformed(t *testing.T, heads []string) {
	t.Helper()
	whole := map[string]string{
		"plain": "Content-Length: 4\r\n\r\npart", "engine": "Content-Length: 14\r\n\r\n{\"choices\":[]}",
		"stream": "Content-Type: text/event-stream\r\n\r\n" + delta("a") + usageEvent + doneEvent,
	}
	calls := map[string]func() *Call{"plain": plainCall, "engine": bufferedModelCall, "stream": streamCall}
	for _, head := range heads {
		for name, call := range calls {
			t.Run(name+" "+head, func(t *testing.T) {
				f := newRawFixture(t, &rawEndpoint{answer: head + whole[name]})
				c := call()
				c.Idempotent = false
				got := perform(t, f, t.Context(), c)
				assert.Equal(t, "MayHaveRun", got.Verdict)
				assert.Equal(t, verdict.EndpointFailed, got.Reason)
				assert.Equal(t, false, got.Started)
			})
		}
	}
}

// TestResponsesWithoutStatus guards against responses whose status is none, which ended the connections of callers.
func TestResponsesWithoutStatus(t *testing.T) {
	assertMalformed(t, []string{"HTTP/1.1 000 None\r\n", "HTTP/1.0 099 None\r\n", "HTTP/1.1 600 None\r\n", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 001 None\r\n"})
}

// TestResponsesWithMalformedNames guards against responses in whose heads the name of a field is none, which reached callers without that field.
func TestResponsesWithMalformedNames(t *testing.T) {
	assertMalformed(t, []string{
		"HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nA : c\r\n", "HTTP/1.1 200 OK\r\nA\x01: c\r\n", "HTTP/1.1 500 Failed\r\nA : c\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", "HTTP/1.1 503 Full\r\nDragonfly-Verdict : NotRun\r\n", "HTTP/1.1 103 Hints\r\nA : c\r\n\r\nHTTP/1.1 200 OK\r\n",
	})
}
