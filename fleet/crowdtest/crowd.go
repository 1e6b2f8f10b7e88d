package crowdtest

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// stallTime is the time after which a client takes a write that makes no progress for held back.
	stallTime = time.Second
	// sendBuffer bounds what the kernel holds of what a client has sent, so that a crowd doesn't take the memory of the test's machine.
	sendBuffer   = 64 << 10
	defaultPiece = 64 << 10
	// dialsAtOnce bounds the connections that a crowd opens at a time.
	dialsAtOnce = 64
)

// crowd are the clients of one kind at an address.
type crowd struct {
	kind    Kind
	address string

	clients sync.WaitGroup
	dials   chan struct{}
	mu      sync.Mutex
	open    []net.Conn
}

// gather opens the connections of a crowd and returns once each client has sent all, was held back or was refused.
func gather(kind Kind, address string) *crowd {
	c := &crowd{kind: kind, address: address, dials: make(chan struct{}, dialsAtOnce)}
	for i := range kind.Connections {
		client := &client{crowd: c, finishes: i%finishingShare == 0}
		c.clients.Go(client.run)
	}
	c.clients.Wait()
	return c
}

// leave closes all connections.
func (c *crowd) leave() {
	for _, connection := range c.open {
		_ = connection.Close()
	}
}

type client struct {
	crowd    *crowd
	finishes bool
}

func (c *client) run() {
	c.crowd.dials <- struct{}{}
	connection, err := (&net.Dialer{Timeout: stallTime}).DialContext(context.Background(), "tcp", c.crowd.address)
	<-c.crowd.dials
	if err != nil {
		return
	}
	c.crowd.mu.Lock()
	c.crowd.open = append(c.crowd.open, connection)
	c.crowd.mu.Unlock()
	_ = connection.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	for _, part := range c.crowd.kind.Parts {
		if c.sendPart(connection, part) != nil {
			return
		}
	}
	if c.finishes {
		_ = c.send(connection, c.crowd.kind.Finish)
	}
}

// sendPart sends a part, several repetitions at a time if they are short.
func (c *client) sendPart(connection net.Conn, part Part) error {
	text, times := part.Text, part.Times
	if together := min(times, defaultPiece/len(text)); together > 1 {
		if err := c.send(connection, strings.Repeat(text, times%together)); err != nil {
			return err
		}
		text, times = strings.Repeat(text, together), times/together
	}
	for range times {
		if err := c.send(connection, text); err != nil {
			return err
		}
	}
	return nil
}

// send writes a text in pieces.
func (c *client) send(connection net.Conn, text string) error {
	piece := c.crowd.kind.Piece
	if piece == 0 {
		piece = defaultPiece
	}
	for len(text) > 0 {
		n := min(piece, len(text))
		if err := writeAll(connection, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		if c.crowd.kind.Pause > 0 {
			time.Sleep(c.crowd.kind.Pause)
		}
	}
	return nil
}

// writeAll writes a text, and fails once nothing of it was taken for stallTime.
func writeAll(connection net.Conn, text string) error {
	for {
		_ = connection.SetWriteDeadline(time.Now().Add(stallTime))
		n, err := connection.Write([]byte(text))
		text = text[n:]
		if timeout := net.Error(nil); n > 0 && errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		return err
	}
}
