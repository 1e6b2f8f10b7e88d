// Package crowdtest lets crowds of clients that break the protocol, or stop within a request, attack a process of the project, for tests. It checks
// that the process stays alive, within its memory and descriptors, and still answers ordinary requests.
package crowdtest

import (
	"fmt"
	"strings"
	"time"
)

// Kind is what each client of a crowd sends.
type Kind struct {
	Name string
	// Connections is the number of clients.
	Connections int
	// Parts are sent one after the other, then the connection stays open.
	Parts []Part
	// Finish is what one client in finishingShare sends then; nothing if it is empty.
	Finish string
	// Piece is the number of bytes of each write, Pause the time between two; zero stands for a default and for none.
	Piece int
	Pause time.Duration
}

// Part is a text that is repeated.
type Part struct {
	Text  string
	Times int
}

// Request is the beginning of an ordinary request to a listener.
type Request struct {
	// Get and Post are the request line and the headers of a request without and with a body. They end within the head, with the end of a line.
	Get, Post string
	// LargestBody is the size in bytes of the longest body that is allowed.
	LargestBody int
}

const (
	// finishingShare is the number of clients of which one completes its request.
	finishingShare = 8
	// endlessBytes is how much of something without end a client sends at the most.
	endlessBytes = 2 << 20
	// headBytes is the length of the heads that stay unfinished: below the bound of net/http of the routers on the platform.
	headBytes = 60 << 10
	// longHeadBytes is the length of the heads that stay unfinished above that.
	longHeadBytes = 900 << 10
	// legalHeadBytes and legalFields are just within the limits of ordinary requests.
	legalHeadBytes = 15 << 10
	legalFields    = 90
	// piecePause is the pause between two writes of those that send piece by piece.
	piecePause = time.Millisecond
	pieceBytes = 16 << 10
)

// Crowds of the kinds: many connections, or fewer that send much.
const (
	fewConnections  = 100
	someConnections = 300
	manyConnections = 1000
)

// endless returns a part of endlessBytes.
func endless(text string) Part { return Part{Text: text, Times: endlessBytes / len(text)} }

// shortFields returns the lines of fields with distinct names, of some length in all.
func shortFields(length int) string {
	lines := strings.Builder{}
	for i := 0; lines.Len() < length; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

// longFields returns the lines of legalFields fields with distinct names, of some length in all.
func longFields(length int) string {
	lines := strings.Builder{}
	value := strings.Repeat("v", length/legalFields-len("X-00: \r\n"))
	for i := range legalFields {
		fmt.Fprintf(&lines, "X-%02d: %s\r\n", i, value)
	}
	return lines.String()
}

// Heads returns heads over the limit, without end and unfinished, and empty lines.
func Heads(r Request) []Kind {
	return []Kind{
		{Name: "head of one field without end", Connections: someConnections, Parts: []Part{{Text: r.Get + "X: ", Times: 1}, endless(strings.Repeat("x", 4000))}},
		{Name: "head of short fields without end", Connections: fewConnections, Parts: []Part{{Text: r.Get, Times: 1}, endless(shortFields(4000))}},
		{Name: "request line without end", Connections: someConnections, Parts: []Part{{Text: "GET /", Times: 1}, endless(strings.Repeat("x", 4000))}},
		{Name: "head of one field unfinished", Connections: manyConnections, Parts: []Part{{Text: r.Get + "X: " + strings.Repeat("x", headBytes), Times: 1}}},
		{Name: "head of short fields unfinished", Connections: someConnections, Parts: []Part{{Text: r.Get + shortFields(headBytes), Times: 1}}},
		{Name: "long head of one field unfinished", Connections: someConnections, Parts: []Part{{Text: r.Get + "X: " + strings.Repeat("x", longHeadBytes), Times: 1}}},
		{Name: "long head of short fields unfinished", Connections: fewConnections, Parts: []Part{{Text: r.Get + shortFields(longHeadBytes), Times: 1}}},
		{
			Name: "head of legal size unfinished", Connections: manyConnections,
			Parts: []Part{{Text: r.Get + longFields(legalHeadBytes), Times: 1}}, Finish: "\r\n",
		},
		{
			Name: "head of legal size piece by piece", Connections: manyConnections,
			Parts: []Part{{Text: r.Get + longFields(legalHeadBytes), Times: 1}}, Finish: "\r\n", Piece: 1000, Pause: piecePause,
		},
		{Name: "one byte", Connections: manyConnections, Parts: []Part{{Text: "G", Times: 1}}},
		{Name: "nothing", Connections: manyConnections},
		{Name: "empty lines without end", Connections: someConnections, Parts: []Part{endless("\r\n")}},
		{Name: "empty lines of one byte without end", Connections: someConnections, Parts: []Part{endless("\n")}},
		{Name: "requests sent ahead", Connections: someConnections, Parts: []Part{{Text: r.Get + "\r\n", Times: 2000}}},
		{Name: "empty lines after a request", Connections: someConnections, Parts: []Part{{Text: r.Get + "\r\n", Times: 1}, endless("\r\n")}},
	}
}

// Bodies returns many bodies of legal size, most of which stop just short of their end.
func Bodies(r Request) []Kind {
	largest := body(r, r.LargestBody, r.LargestBody-1)
	return []Kind{
		{Name: "large bodies", Connections: someConnections, Parts: []Part{{Text: largest, Times: 1}}, Finish: "b"},
		{Name: "large bodies piece by piece", Connections: someConnections, Parts: []Part{{Text: largest, Times: 1}}, Finish: "b", Piece: pieceBytes, Pause: piecePause},
		{Name: "bodies of medium size", Connections: manyConnections, Parts: []Part{{Text: body(r, 140_000, 130_000), Times: 1}}, Finish: strings.Repeat("b", 10_000)},
		{
			Name: "bodies after heads of short fields", Connections: someConnections,
			Parts: []Part{{Text: r.Post + shortFields(headBytes) + "Content-Length: 100000\r\n\r\nb", Times: 1}},
		},
		{
			Name: "bodies after heads of legal size", Connections: manyConnections,
			Parts: []Part{{Text: r.Post + longFields(legalHeadBytes-len(r.Post)) + "Content-Length: 100000\r\n\r\nb", Times: 1}},
		},
	}
}

// Unfinished returns a kind for each part of a request at which a client may stop.
func Unfinished(r Request) []Kind {
	return []Kind{
		{Name: "nothing", Connections: someConnections},
		{Name: "head of legal size unfinished", Connections: someConnections, Parts: []Part{{Text: r.Get + longFields(legalHeadBytes), Times: 1}}},
		{Name: "large bodies", Connections: someConnections, Parts: []Part{{Text: body(r, r.LargestBody, r.LargestBody-1), Times: 1}}},
		{Name: "requests sent ahead", Connections: someConnections, Parts: []Part{{Text: r.Get + "\r\n", Times: 2000}}},
	}
}

// body returns a request that announces a body of some length and sends a part of it.
func body(r Request, length, sent int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", r.Post, length, strings.Repeat("b", sent))
}

// Chunks returns many bodies in chunks, most of which stop just short of their end.
func Chunks(r Request) []Kind {
	start := Part{Text: r.Post + "Transfer-Encoding: chunked\r\n\r\n", Times: 1}
	end := "0\r\n\r\n"
	large := fmt.Sprintf("%x\r\n%s", r.LargestBody, strings.Repeat("b", r.LargestBody-1))
	return []Kind{
		{Name: "one large chunk", Connections: someConnections, Parts: []Part{start, {Text: large, Times: 1}}, Finish: "b\r\n" + end},
		{Name: "chunks of medium size", Connections: someConnections, Parts: []Part{start, {Text: chunk(16_000), Times: r.LargestBody / 16_000}}, Finish: end},
		{
			Name: "chunks of medium size piece by piece", Connections: someConnections, Parts: []Part{start, {Text: chunk(16_000), Times: r.LargestBody / 16_000}},
			Finish: end, Piece: pieceBytes, Pause: piecePause,
		},
		{Name: "chunks of one byte", Connections: someConnections, Parts: []Part{start, {Text: chunk(1), Times: 150_000}}, Finish: end},
		{Name: "chunk extension without end", Connections: someConnections, Parts: []Part{start, {Text: "1;", Times: 1}, endless(strings.Repeat("x", 4000))}},
		{Name: "trailers without end", Connections: someConnections, Parts: []Part{start, {Text: chunk(1) + "0\r\n", Times: 1}, endless(shortFields(4000))}},
		{Name: "trailers unfinished", Connections: someConnections, Parts: []Part{start, {Text: chunk(1) + "0\r\n" + shortFields(headBytes), Times: 1}}},
		{Name: "chunk length without end", Connections: someConnections, Parts: []Part{start, endless("0")}},
	}
}

func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size)) }
