package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const clientHost = "ficu95.example"

// attempt is one client attempt with its answer.
type attempt struct {
	id, method, target, key string
	deadline                time.Duration
	header                  map[string]string
	body                    []byte
	// bytesPerSecond is the rate at which the body is sent; zero sends it at once.
	bytesPerSecond int

	sentAt, endedAt time.Time
	// status is zero without an answer. isComplete reports whether the whole answer arrived.
	status     int
	isComplete bool
	seal       string
	events     int
	retryAfter string
	reply      string
	err        error
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends the request on a new channel and reads the answer.
func (a *attempt) send(address string) {
	if a.id == "" {
		a.id = newID()
	}
	a.sentAt = time.Now()
	defer func() { a.endedAt = time.Now() }()
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(a.deadline + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		a.method, a.target, clientHost, a.id, a.deadline.Milliseconds(), a.key)
	for name, value := range a.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if len(a.body) > 0 || a.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(a.body))
	}
	head.WriteString("\r\n")
	if _, err := io.WriteString(connection, head.String()); err != nil {
		a.err = err
		return
	}
	if err := a.sendBody(connection); err != nil {
		a.err = err
		return
	}
	a.readAnswer(connection)
}

// bodyChunk is the number of bytes that are written at once if the rate is bounded.
const bodyChunk = 32 << 10

func (a *attempt) sendBody(connection net.Conn) error {
	if a.bytesPerSecond == 0 {
		_, err := connection.Write(a.body)
		return err
	}
	start := time.Now()
	for sent := 0; sent < len(a.body); {
		end := min(sent+bodyChunk, len(a.body))
		if _, err := connection.Write(a.body[sent:end]); err != nil {
			return err
		}
		sent = end
		time.Sleep(time.Until(start.Add(time.Duration(sent) * time.Second / time.Duration(a.bytesPerSecond))))
	}
	return nil
}

func (a *attempt) readAnswer(connection net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		a.err = err
		return
	}
	defer response.Body.Close()
	a.status, a.seal, a.retryAfter = response.StatusCode, response.Header.Get(seal), response.Header.Get("Retry-After")
	content, err := io.ReadAll(response.Body)
	a.isComplete, a.err = err == nil, err
	a.events = strings.Count(string(content), "\n\n")
	if len(content) < 300 {
		a.reply = strings.ReplaceAll(string(content), "\n", " ")
	}
}
