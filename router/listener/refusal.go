package listener

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// FormatRefusal returns the whole answer of a refusal, after which the connection is closed. body is encoded as JSON.
func FormatRefusal(reason verdict.Reason, header http.Header, body any) []byte {
	description := verdict.Describe(reason)
	encoded, err := json.Marshal(body)
	if err != nil {
		encoded = []byte("{}")
	}
	response := &http.Response{
		StatusCode: description.Status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true,
		Body: io.NopCloser(bytes.NewReader(encoded)), ContentLength: int64(len(encoded)),
	}
	for name, values := range header {
		response.Header[name] = values
	}
	response.Header.Set("Content-Type", "application/json")
	if description.RetryAfter > 0 {
		response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(description.RetryAfter.Seconds()))))
	}
	var answer bytes.Buffer
	_ = response.Write(&answer)
	return answer.Bytes()
}
