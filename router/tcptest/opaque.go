package tcptest

import (
	"context"
	"net"
)

// Opaque is a connection of which the kernel tells nothing: neither its state nor when data arrived.
type Opaque struct{ net.Conn }

// DialOpaque opens an Opaque connection.
func DialOpaque(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Opaque{connection}, nil
}
