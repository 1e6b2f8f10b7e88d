package site

import (
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestParseAddress(t *testing.T) {
	for text, want := range map[string]string{
		"10.1.2.3:8000": "10.1.2.3:8000", "127.0.0.1:65535": "127.0.0.1:65535", "[fd00:0::1]:80": "[fd00::1]:80", "[::ffff:10.1.2.3]:80": "10.1.2.3:80",
	} {
		address, err := ParseAddress(text)
		assert.NoError(t, err)
		assert.Equal(t, want, address.String())
	}
	for _, text := range []string{"", "10.1.2.3", "10.1.2.3:0", "10.1.2.3:65536", "host:80", "0.0.0.0:80", "[::]:80", "239.1.1.1:80", "255.255.255.255:80", "[fe80::1%1]:80"} {
		t.Run(text, func(t *testing.T) {
			_, err := ParseAddress(text)
			assert.ErrorIs(t, err, errNotOneMachine)
		})
	}
}
