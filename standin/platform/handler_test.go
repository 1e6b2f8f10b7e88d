package platform

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

func TestService(t *testing.T) {
	t.Run("append and read", func(t *testing.T) {
		f := newFixture(t)
		assert.Equal(t, platform.Offset(0), f.append("a"))
		assert.Equal(t, platform.Offset(1), f.append("b"))
		assert.Equal(t, []platform.Entry{{Offset: 1, Payload: []byte("b")}}, f.read(1))
	})
	t.Run("retention", func(t *testing.T) {
		f := newFixture(t)
		f.post("/control/log/retention?Entries=1", http.StatusNoContent)
		f.append("a")
		f.append("b")
		_, err := f.log.Read(t.Context(), "ledger-0", 0, 9)
		var truncated *platform.TruncatedError
		if !errors.As(err, &truncated) {
			t.Fatalf("read below the first available offset: %v", err)
		}
		assert.Equal(t, platform.Offset(1), truncated.First)
	})
	t.Run("outage", func(t *testing.T) {
		f := newFixture(t)
		f.post("/control/log/outage?For=1h", http.StatusNoContent)
		_, err := f.log.Append(t.Context(), "ledger-0", nil)
		assertUnavailable(t, err)
		f.post("/control/log/outage?On=false", http.StatusNoContent)
		assert.Equal(t, platform.Offset(0), f.append("a"))
	})
	t.Run("lost answers", func(t *testing.T) {
		f := newFixture(t)
		f.post("/control/log/lost-answers?Fraction=1&Seed=7", http.StatusNoContent)
		_, err := f.log.Append(t.Context(), "ledger-0", []byte("a"))
		assertUnavailable(t, err)
		assert.Equal(t, []platform.Entry{{Offset: 0, Payload: []byte("a")}}, f.read(0))
	})
	t.Run("malformed control request", func(t *testing.T) {
		f := newFixture(t)
		f.post("/control/log/lost-answers?Fraction=2", http.StatusBadRequest)
		f.post("/control/log/outage?For=soon", http.StatusBadRequest)
		assert.Equal(t, platform.Offset(0), f.append("a"))
	})
	t.Run("outage for one caller", func(t *testing.T) {
		f := newFixture(t)
		named, err := platform.NewHTTPLog(f.url+"/callers/luzon-a", nil)
		assert.NoError(t, err)
		f.post("/control/callers/luzon-a/delay?Duration=1ms", http.StatusNoContent)
		for parameters, cut := range map[string]bool{"For=1h": true, "On=true": true, "On=false": false} {
			f.post("/control/callers/luzon-a/outage?"+parameters, http.StatusNoContent)
			_, err = named.Append(t.Context(), "ledger-0", nil)
			assert.Equal(t, cut, errors.Is(err, platform.ErrUnavailable))
			f.append("a")
		}
		assert.Equal(t, 4, len(f.read(0)))
	})
	t.Run("instances", func(t *testing.T) {
		f := newFixture(t)
		f.service.Instances.Register(platform.Instance{Name: "router-1", State: platform.Live})
		f.post("/control/instances/router-1/leave", http.StatusNoContent)
		listing, err := f.instances.Instances(t.Context())
		assert.Must(t, err)
		assert.Equal(t, platform.Listing{
			Version:   2,
			Instances: []platform.Instance{{Name: "router-1", State: platform.Leaving}},
		}, listing)
	})
}

// fixture is a running simulated platform with the clients that routers use.
type fixture struct {
	t         *testing.T
	url       string
	service   *Service
	log       *platform.HTTPLog
	instances *platform.HTTPInstanceList
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	service := &Service{}
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	log, err := platform.NewHTTPLog(server.URL, nil)
	assert.Must(t, err)
	instances, err := platform.NewHTTPInstanceList(server.URL, nil)
	assert.Must(t, err)
	return &fixture{t: t, url: server.URL, service: service, log: log, instances: instances}
}

func (f *fixture) append(payload string) platform.Offset {
	f.t.Helper()
	offset, err := f.log.Append(f.t.Context(), "ledger-0", []byte(payload))
	if err != nil {
		f.t.Fatalf("append: %v", err)
	}
	return offset
}

func (f *fixture) read(from platform.Offset) []platform.Entry {
	f.t.Helper()
	entries, err := f.log.Read(f.t.Context(), "ledger-0", from, 9)
	if err != nil {
		f.t.Fatalf("read: %v", err)
	}
	return entries
}

func (f *fixture) post(path string, status int) {
	f.t.Helper()
	response, err := http.Post(f.url+path, "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	assert.Equal(f.t, status, response.StatusCode)
}

func assertUnavailable(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("error %v, want %v", err, platform.ErrUnavailable)
	}
}
