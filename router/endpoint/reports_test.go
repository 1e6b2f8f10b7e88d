package endpoint

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestOddLoadReport guards against a load report that makes an engine look emptier than an idle one, or that replaces the
// previous report although it says nothing.
func TestOddLoadReport(t *testing.T) {
	for _, report := range []string{
		`{"Running":-1000,"Queued":0}`, `{"Running":0,"Queued":-1}`, `{"Running":9223372036854775807,"Queued":9223372036854775807}`,
		`{"Running":1e999}`, `{"Running":1.5}`, `{"Running":"4"}`, `null`, `[]`, `{"Running":4`, "\xff", strings.Repeat("[", 1<<20),
	} {
		t.Run(report[:min(len(report), 40)], func(t *testing.T) {
			f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, report) })
			f.tick(time.Now())
			assert.Equal(t, 1, len(f.peers))
			for _, p := range f.peers {
				p.load = loadReport{totalLoad: 7}
				l := &loadReader{dispatcher: f.Dispatcher, peer: p}
				l.run()
				assert.Equal(t, 7, p.load.totalLoad)
			}
		})
	}
}
