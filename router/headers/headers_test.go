package headers

import (
	"net/http"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestRemoveHopByHop(t *testing.T) {
	header := http.Header{
		"Connection": {"close, X-Hop", "Other"}, "X-Hop": {"1"}, "Other": {"2"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Kept": {"3"},
	}
	RemoveHopByHop(header)
	assert.Equal(t, http.Header{"Kept": {"3"}}, header)
	RemoveHopByHop(nil)
}

func TestSize(t *testing.T) {
	assert.Equal(t, 0, Size(nil))
	assert.Equal(t, 14, Size(http.Header{"Name": {"a", "bcd"}, "N": {"f"}, "": {}}))
}

func TestCount(t *testing.T) {
	assert.Equal(t, 0, Count(nil))
	assert.Equal(t, 3, Count(http.Header{"Name": {"a", "bcd"}, "N": {"f"}, "": {}}))
}
