package endpoint

import (
	"net/http"
	"sync/atomic"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

// peer is one endpoint as this router sees it.
type peer struct {
	endpoint operator.Endpoint
	settings Settings
	pool     atomic.Pointer[http.Transport]
	// The fields below are guarded by the dispatcher.
	inFlight int
}

func newPeer(e operator.Endpoint, s Settings) *peer {
	p := &peer{endpoint: e, settings: s}
	p.pool.Store(newTransport(s))
	return p
}

func (p *peer) transport() *http.Transport { return p.pool.Load() }

// dropPool replaces the pool: the next attempt uses a new connection. Attempts in progress keep theirs.
func (p *peer) dropPool() {
	p.pool.Swap(newTransport(p.settings)).CloseIdleConnections()
}
