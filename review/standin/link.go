package main

import (
	"net"
	"sync"
)

// link is a TCP proxy between a router and the store.
type link struct {
	address, target string
	listener        net.Listener

	mu          sync.Mutex
	isCut       bool
	connections map[net.Conn]struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target, listener: listener, connections: map[net.Conn]struct{}{}}
	go l.run()
	return l, nil
}

func (l *link) run() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", l.target)
		if err != nil {
			reset(client)
			continue
		}
		l.mu.Lock()
		l.connections[client], l.connections[upstream] = struct{}{}, struct{}{}
		l.mu.Unlock()
		go l.copy(upstream, client)
		go l.copy(client, upstream)
	}
}

// setCut makes the link drop all bytes, without a reset, or pass those of new connections on again.
func (l *link) setCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	if !isCut {
		for c := range l.connections {
			reset(c)
		}
	}
}

func (l *link) drops() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.drops() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	l.mu.Lock()
	delete(l.connections, to)
	delete(l.connections, from)
	l.mu.Unlock()
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
