package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/order"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform/memory"
)

// loadingEngine takes every order at once.
type loadingEngine struct{ newest atomic.Pointer[engineState] }

type engineState struct {
	FencingNumber, Accepted platform.Offset
	Wanted, Loaded          []order.Artifact
	Role                    string
}

func (e *loadingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(e.newest.Load())
		return
	}
	taken := &engineState{}
	if err := json.NewDecoder(r.Body).Decode(taken); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	taken.Accepted, taken.Loaded = taken.FencingNumber, taken.Wanted
	e.newest.Store(taken)
}

// TestOrdersOverSockets runs a whole router before an engine that serves nothing yet.
func TestOrdersOverSockets(t *testing.T) {
	engine := &loadingEngine{}
	engine.newest.Store(&engineState{})
	server := httptest.NewServer(engine)
	defer server.Close()
	s := &site{stream: &memory.Log{}, signals: make(chan os.Signal, signalBacklog), ended: make(chan error, 1)}
	ticket := fmt.Sprintf(`
Number: 1
InstanceSets:
  - Name: all
    Wanted: [{Model: brush, Version: "2"}, {Model: brush, Adapter: cats}]
    Role: Decode
    Endpoints: [{Name: e, Service: llm, Kind: Engine, Address: "%s", AvailabilityZone: a-1, Region: a, ChecksFencing: true}]
`, server.Listener.Addr())
	_, err := s.stream.Append(context.Background(), platform.ConfigurationStream, []byte(ticket))
	assert.NoError(t, err)
	s.start(t, siteSettings(t))
	eventually(t, func() bool { return engine.newest.Load().Accepted > 0 })
	assert.Equal(t, []order.Artifact{{Model: "brush", Version: "2"}, {Model: "brush", Adapter: "cats"}}, engine.newest.Load().Loaded)
	assert.Equal(t, "Decode", engine.newest.Load().Role)
	assert.NoError(t, s.stop())
}
