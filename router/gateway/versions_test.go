package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// versionTries is the number of times that a case is played, since endpoints are chosen at random.
const versionTries = 8

// breakOffAfter returns a handler that sends events and breaks the stream off.
func breakOffAfter(events string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answerSealed(events)(w, r)
		_ = http.NewResponseController(w).Flush()
		abortConnection(w, r)
	}
}

// setVersions lists the engines of the gateway's endpoints with the given software versions, one for each endpoint. An empty version
// leaves the endpoint out.
func (g *gatewayTest) setVersions(versions ...string) {
	var listed []site.Endpoint
	for i, version := range versions {
		if version != "" {
			address := strings.TrimPrefix(g.endpoints[i].server.URL, "http://")
			listed = append(listed, site.Endpoint{Name: "engine" + string(rune('a'+i)), Service: "engine", Address: address, SoftwareVersion: version})
		}
	}
	g.state.Directory.Store(site.NewDirectory(listed))
}

// beginStream sends a request for a resumable stream to the first endpoint, then lists the endpoints with the given versions.
func (g *gatewayTest) beginStream(identifier string, versions ...string) callResult {
	g.t.Helper()
	g.setVersions(versions[0])
	answer := g.endpoints[0].answer
	g.endpoints[0].answer = func(w http.ResponseWriter, r *http.Request) {
		g.setVersions(versions...)
		answer(w, r)
	}
	return g.call(http.MethodPost, "/talk/", "", func(r *http.Request) { r.Header.Set("Id", identifier) })
}

// resumeStream sends a caller's request that resumes a stream after its first event.
func (g *gatewayTest) resumeStream(identifier, resumed string) callResult {
	g.t.Helper()
	return g.call(http.MethodPost, "/talk/", "", func(r *http.Request) {
		r.Header.Set("Id", identifier)
		r.Header.Set("After", "1")
		r.Header.Set("Resumes", resumed)
	})
}

// TestStreamStaysAtItsVersion guards against streams that go on at an endpoint of another software version than the one that began them.
func TestStreamStaysAtItsVersion(t *testing.T) {
	const first, second = "id: 1\n\n", "id: 2\n\n"
	t.Run("router continues", func(t *testing.T) {
		for range versionTries {
			g := newGatewayTest(t, breakOffAfter(first), answerSealed("id: other\n\n"), answerSealed(second))
			got := g.beginStream("id-1", "v1", "v2", "v1")
			assert.Equal(t, first+second, got.body)
			g.assertRequestCounts(1, 0, 1)
		}
	})
	t.Run("router has no endpoint of the version left", func(t *testing.T) {
		g := newGatewayTest(t, breakOffAfter(first), answerSealed(second))
		got := g.beginStream("id-1", "v1", "v2")
		assert.Equal(t, true, got.truncated)
		g.assertRequestCounts(1, 0)
	})
	t.Run("no event was passed on", func(t *testing.T) {
		g := newGatewayTest(t, breakOffAfter("id: 1\n"), answerSealed(first))
		got := g.beginStream("id-1", "v1", "v2")
		assert.Equal(t, first, got.body)
	})
	t.Run("caller resumes", func(t *testing.T) {
		for range versionTries {
			g := newGatewayTest(t, answerSealed(first), answerSealed("id: other\n\n"), answerSealed(second))
			g.beginStream("id-1", "v1", "v2", "v1")
			g.setVersions("", "v2", "v1")
			assert.Equal(t, second, g.resumeStream("id-2", "id-1").body)
			assert.Equal(t, second, g.resumeStream("id-3", "id-1").body)
			g.assertRequestCounts(1, 0, 2)
		}
	})
	t.Run("caller resumes, the version has gone", func(t *testing.T) {
		g := newGatewayTest(t, answerSealed(first), answerSealed(second))
		g.beginStream("id-1", "v1", "v2")
		g.setVersions("", "v2")
		got := g.resumeStream("id-2", "id-1")
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Equal(t, true, strings.Contains(got.body, `"code":"stream_version_gone"`))
		g.assertRequestCounts(1, 0)
	})
	t.Run("caller resumes, nobody knows the version", func(t *testing.T) {
		for _, resumed := range []string{"id-0", ""} {
			g := newGatewayTest(t, answerSealed(first), answerSealed(second))
			g.setVersions("v1", "v2")
			got := g.resumeStream("id-2", resumed)
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
			assert.Equal(t, true, strings.Contains(got.body, `"code":"stream_version_unknown"`))
			g.assertRequestCounts(0, 0)
		}
	})
}
