package example

import (
	"fmt"
	"math/rand/v2"
	"net"
	"regexp"
	"slices"
	"strings"
)

// Field is a part of a command's output that varies between runs, such as a timestamp.
type Field struct {
	Name string
	// Pattern is a regular expression for the field in its line, after each run of spaces has been reduced to one. The text
	// of its first group, if it has one, is compared too.
	Pattern string
}

// SameOutput reports whether two outputs are equal apart from the given fields and the widths of columns.
func SameOutput(first, second string, fields []Field) bool {
	return maskFields(first, fields) == maskFields(second, fields)
}

var blankRuns = regexp.MustCompile(` +`)

func maskFields(output string, fields []Field) string {
	output = strings.TrimSpace(blankRuns.ReplaceAllString(output, " "))
	for _, field := range fields {
		output = regexp.MustCompile(`(?m)`+field.Pattern).ReplaceAllString(output, "$1<"+field.Name+">")
	}
	return output
}

// Ports maps the local addresses in a page to addresses with free ports.
type Ports struct {
	toFree *strings.Replacer
	toPage *strings.Replacer
}

var localAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// NewPorts finds a free port for each local address that occurs in the texts.
func NewPorts(texts ...string) (*Ports, error) {
	named := localAddress.FindAllString(strings.Join(texts, "\n"), -1)
	slices.Sort(named)
	var toFree, toPage []string
	for _, address := range slices.Compact(named) {
		socket, err := listenBelowEphemeral()
		if err != nil {
			return nil, err
		}
		// All sockets stay open until the last port is found, so that no port is assigned twice.
		defer func() { _ = socket.Close() }()
		toFree = append(toFree, address, socket.Addr().String())
		toPage = append(toPage, socket.Addr().String(), address)
	}
	return &Ports{toFree: strings.NewReplacer(toFree...), toPage: strings.NewReplacer(toPage...)}, nil
}

// Range of the searched ports. It lies below the range of ephemeral ports: otherwise an outgoing connection could take a port
// between the search and the start of its listener. A search gives up after maxPortAttempts random ports.
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

// ToFree replaces the addresses of the page with free ones.
func (p *Ports) ToFree(text string) string { return p.toFree.Replace(text) }

// ToPage replaces free addresses with those of the page.
func (p *Ports) ToPage(text string) string { return p.toPage.Replace(text) }
