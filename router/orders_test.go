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

// acceptingEngine imitates the control interface of an engine that executes every order immediately. GET returns its state.
type acceptingEngine struct{ state atomic.Pointer[engineState] }

type engineState struct {
	FencingNumber, Accepted platform.Offset
	Wanted, Loaded          []order.Artifact
	Role                    string
}

func (e *acceptingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(e.state.Load())
		return
	}
	received := &engineState{}
	if err := json.NewDecoder(r.Body).Decode(received); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	received.Accepted, received.Loaded = received.FencingNumber, received.Wanted
	e.state.Store(received)
}

// TestOrdersOverSockets guards against a router whose orders do not reach an engine over HTTP: the engine starts without loaded
// artifacts, and the ticket's wanted artifacts and role must arrive there.
func TestOrdersOverSockets(t *testing.T) {
	engine := &acceptingEngine{}
	engine.state.Store(&engineState{})
	server := httptest.NewServer(engine)
	defer server.Close()
	s := &routerFixture{platformLog: &memory.Log{}, signals: make(chan os.Signal, signalBuffer), runResult: make(chan error, 1)}
	ticket := fmt.Sprintf(`
Number: 1
InstanceSets:
  - Name: all
    Wanted: [{Model: brush, Version: "2"}, {Model: brush, Adapter: cats}]
    Role: Decode
    Endpoints: [{Name: e, Service: llm, Kind: Engine, Address: "%s", AvailabilityZone: a-1, Region: a, ChecksFencing: true}]
`, server.Listener.Addr())
	_, err := s.platformLog.Append(context.Background(), platform.ConfigurationStream, []byte(ticket))
	assert.NoError(t, err)
	s.start(t, fixtureSettings(t))
	waitUntil(t, func() bool { return engine.state.Load().Accepted > 0 })
	assert.Equal(t, []order.Artifact{{Model: "brush", Version: "2"}, {Model: "brush", Adapter: "cats"}}, engine.state.Load().Loaded)
	assert.Equal(t, "Decode", engine.state.Load().Role)
	assert.NoError(t, s.stop())
}
