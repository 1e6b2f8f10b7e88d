package headers

import (
	"net/http"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestRemoveHop(t *testing.T) {
	header := http.Header{
		"Connection": {"close, X-Hop", "Other"}, "X-Hop": {"1"}, "Other": {"2"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Kept": {"3"},
	}
	RemoveHop(header)
	assert.Equal(t, http.Header{"Kept": {"3"}}, header)
	RemoveHop(nil)
}

func TestBytes(t *testing.T) {
	assert.Equal(t, 0, Bytes(nil))
	assert.Equal(t, 14, Bytes(http.Header{"Name": {"a", "bcd"}, "N": {"f"}, "": {}}))
}
