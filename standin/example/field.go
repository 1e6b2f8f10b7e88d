package example

import (
	"fmt"
	"math/rand/v2"
	"net"
	"regexp"
	"slices"
	"strings"
)

// Field is a part of an output that differs from run to run.
type Field struct {
	Name string
	// Pattern matches the field in its line, with one blank between words. Its first group stays if it has one.
	Pattern string
}

// Same reports whether two outputs differ in nothing but the given fields and the widths of columns.
func Same(one, other string, fields []Field) bool {
	return maskFields(one, fields) == maskFields(other, fields)
}

var blankRuns = regexp.MustCompile(` +`)

func maskFields(output string, fields []Field) string {
	output = strings.TrimSpace(blankRuns.ReplaceAllString(output, " "))
	for _, field := range fields {
		output = regexp.MustCompile(`(?m)`+field.Pattern).ReplaceAllString(output, "$1<"+field.Name+">")
	}
	return output
}

// Ports stand in for the ports of a page.
type Ports struct {
	toFree *strings.Replacer
	toPage *strings.Replacer
}

var localAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// NewPorts finds a free port for each address that some texts name.
func NewPorts(texts ...string) (*Ports, error) {
	named := localAddress.FindAllString(strings.Join(texts, "\n"), -1)
	slices.Sort(named)
	var toFree, toPage []string
	for _, address := range slices.Compact(named) {
		socket, err := listenBelowEphemeral()
		if err != nil {
			return nil, err
		}
		// All sockets stay open until the last port is found: no port is given twice.
		defer func() { _ = socket.Close() }()
		toFree = append(toFree, address, socket.Addr().String())
		toPage = append(toPage, socket.Addr().String(), address)
	}
	return &Ports{toFree: strings.NewReplacer(toFree...), toPage: strings.NewReplacer(toPage...)}, nil
}

// Ports below the range from which systems give ports to outgoing connections: none of these can take a port that has been
// found free before its listener opens it.
const (
	firstPort       = 20000
	portCount       = 10000
	maxPortAttempts = 100
)

func listenBelowEphemeral() (net.Listener, error) {
	var err error
	for range maxPortAttempts {
		var socket net.Listener
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)) //nolint:gosec // any free port will do
		socket, err = net.Listen("tcp", address)                               //nolint:noctx // the socket is closed again at once
		if err == nil {
			return socket, nil
		}
	}
	return nil, fmt.Errorf("find a free port: %w", err)
}

// Free replaces the page's addresses by free ones.
func (p *Ports) Free(text string) string { return p.toFree.Replace(text) }

// Shown replaces free addresses by the page's.
func (p *Ports) Shown(text string) string { return p.toPage.Replace(text) }
