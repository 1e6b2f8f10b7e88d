package http1

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestTargetURL guards against request targets that net/http changes on the way.
func TestTargetURL(t *testing.T) {
	for _, target := range []string{
		"/", "/order/7?a=1", "//", "//orders/7/confirm?a=1", "///x", "//a%2Fb/%41?q=%20&//", "//a?", "//host:80/x", "//user@host/x", "//a;b,c=d/(e)!*'", "/a//b",
		"//a?b\"c", "/a\"b",
	} {
		u, err := TargetURL("127.0.0.1:80", target)
		assert.Must(t, err)
		var written strings.Builder
		assert.Must(t, (&http.Request{Method: http.MethodPost, URL: u, Host: "h"}).Write(&written))
		line, err := bufio.NewReader(strings.NewReader(written.String())).ReadString('\n')
		assert.Must(t, err)
		assert.Equal(t, "POST "+target+" HTTP/1.1\r\n", line)
		assert.Equal(t, "127.0.0.1:80", u.Host)
	}
	for _, target := range []string{`//a"b`, "//a{b}", "//a%zz", "//ä"} {
		_, err := TargetURL("127.0.0.1:80", target)
		assert.ErrorIs(t, err, ErrTarget)
	}
}
