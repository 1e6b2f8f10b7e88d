package crowdtest

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// handshakes is the number of handshakes that a crowd begins at the same time, handshakeSockets the number of sockets from which it does.
const (
	handshakes       = 3000
	handshakeSockets = 30
	handshakeTime    = 3 * time.Second
)

// AttackHandshakes lets clients begin handshakes at the target's Address, a UDP socket, and go no further.
func (r *Target) AttackHandshakes(t *testing.T, protocol string) {
	t.Helper()
	r.attack(t, func() func() {
		remote, err := net.ResolveUDPAddr("udp", r.Address)
		assert.Must(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		clients := &sync.WaitGroup{}
		var sockets []net.PacketConn
		for range handshakeSockets {
			socket, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", "127.0.0.1:0")
			assert.Must(t, err)
			sockets = append(sockets, socket)
			transport := &quic.Transport{Conn: &deafSocket{PacketConn: socket}}
			for range handshakes / handshakeSockets {
				h := &handshake{transport: transport, remote: remote, protocol: protocol}
				clients.Go(func() { h.run(ctx) })
			}
		}
		time.Sleep(handshakeTime)
		return func() {
			cancel()
			for _, socket := range sockets {
				_ = socket.Close()
			}
			clients.Wait()
		}
	})
}

// handshake is a client that begins a handshake.
type handshake struct {
	transport *quic.Transport
	remote    net.Addr
	protocol  string
}

func (h *handshake) run(ctx context.Context) {
	connection, err := h.transport.Dial(ctx, h.remote, &tls.Config{
		InsecureSkipVerify: true, NextProtos: []string{h.protocol}, MinVersion: tls.VersionTLS13, //nolint:gosec // a client that verifies nothing
	}, &quic.Config{HandshakeIdleTimeout: patience})
	if err == nil {
		_ = connection.CloseWithError(0, "")
	}
}

// deafSocket is a socket that reads nothing of what arrives.
type deafSocket struct{ net.PacketConn }

// ReadFrom implements net.PacketConn.
func (s *deafSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		if _, address, err := s.PacketConn.ReadFrom(p); err != nil {
			return 0, address, err
		}
	}
}
