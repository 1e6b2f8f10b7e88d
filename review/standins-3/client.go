package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Answer is what a client saw of its request.
type Answer struct {
	ID string
	// Status is zero if no head of an answer came. Bytes is the number of bytes that came in all.
	Status int
	Header http.Header
	Body   []byte
	Bytes  int64
	// IsComplete reports whether the whole answer came, Err why not.
	IsComplete bool
	Err        error
	SentAt     time.Time
	EndedAt    time.Time
	// WasKept reports whether the channel had carried an answer before.
	WasKept bool
}

// Client is a client that keeps its channel.
type Client struct {
	Address string
	site    *Site
	conn    *countingConn
	reader  *bufio.Reader
	used    int
}

type countingConn struct {
	net.Conn
	read atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

var lastID atomic.Int64

// NewID returns an id for a client attempt.
func NewID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix()&0xffffffff, lastID.Add(1)) }

// Request is a client attempt. OnBody is called with each part of the body; it may be nil.
type Request struct {
	Method, Host, Path, Header string
	Body                       []byte
	Limit                      time.Duration
}

func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request on the kept channel, or on a new one, and reads the answer.
func (c *Client) Send(r Request) Answer {
	a := Answer{ID: NewID(), SentAt: time.Now()}
	defer func() {
		c.site.Record.Write("client", a.ID, r.Path, "status", a.Status, "complete", a.IsComplete, "bytes", a.Bytes, "kept", a.WasKept, "error", a.Err)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			a.Err, a.EndedAt = err, time.Now()
			return a
		}
		c.conn = &countingConn{Conn: conn}
		c.reader, c.used = bufio.NewReader(c.conn), 0
	}
	a.WasKept = c.used > 0
	c.used++
	before := c.conn.read.Load()
	_ = c.conn.SetDeadline(a.SentAt.Add(r.Limit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", r.Method, r.Path, r.Host, a.ID, r.Limit.Milliseconds(), r.Header)
	if r.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	_, err := c.conn.Write(append([]byte(head+"\r\n"), r.Body...))
	if err == nil {
		err = c.readAnswer(&a, r.Method)
	}
	a.Bytes, a.EndedAt = c.conn.read.Load()-before, time.Now()
	a.Err, a.IsComplete = err, err == nil
	if err != nil || a.Header != nil && strings.EqualFold(a.Header.Get("Connection"), "close") {
		c.Close()
	}
	return a
}

func (c *Client) readAnswer(a *Answer, method string) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	a.Status, a.Header = response.StatusCode, response.Header
	if response.Close {
		a.Header.Set("Connection", "close")
	}
	a.Body, err = io.ReadAll(response.Body)
	return err
}

// IsTimeout reports whether the client gave up at its time limit.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
