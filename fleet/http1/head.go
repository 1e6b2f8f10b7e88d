package http1

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformedHead means that what a server has sent is no head of an HTTP/1 response (RFC 9112, sections 4 and 5).
var ErrMalformedHead = errors.New("malformed head of a response")

// headPart is the part of a head to which the next byte belongs.
type headPart int

const (
	// afterHead: bytes aren't looked at.
	afterHead headPart = iota
	inStatus
	inReason
	atLineStart
	inName
	inValue
	// beforeLineFeed: a carriage return has ended the status line, beforeLastLineFeed: the head.
	beforeLineFeed
	beforeLastLineFeed
	malformed
)

const (
	// statusPattern is the beginning of a status line, in which 0 stands for any digit.
	statusPattern = "HTTP/1.0 000"
	// statusOffset is where its status code begins.
	statusOffset = len("HTTP/1.0 ")
	// maxStatus is the highest status code of RFC 9110, section 15.
	maxStatus = 599
)

// headReader checks heads of responses byte by byte, interim responses included. What net/http's parser rejects itself is left to that.
type headReader struct {
	part headPart
	// matched is the number of bytes of the status line that match statusPattern, status the status code.
	matched, status int
	// hasFields reports whether a field has begun, isNamed whether its name has a character.
	hasFields, isNamed bool
	// failure is the error of a malformed head.
	failure error
}

// begin expects a head.
func (h *headReader) begin() { *h = headReader{part: inStatus} }

// read returns an error that wraps ErrMalformedHead at the first byte that can't belong to a head, and from then on.
func (h *headReader) read(p []byte) error {
	for _, b := range p {
		if h.part == afterHead || h.part == malformed {
			break
		}
		h.next(b)
	}
	return h.failure
}

func (h *headReader) next(b byte) {
	switch h.part {
	case inStatus:
		h.nextOfStatus(b)
	case inReason:
		h.nextOfReason(b)
	case atLineStart:
		h.beginLine(b)
	case inName:
		h.nextOfName(b)
	case inValue:
		if b == '\n' {
			h.part = atLineStart
		}
	case beforeLineFeed, beforeLastLineFeed:
		h.endLine(b)
	case afterHead, malformed:
	}
}

func (h *headReader) nextOfStatus(b byte) {
	pattern := statusPattern[h.matched]
	isDigit := b >= '0' && b <= '9'
	if pattern != b && (pattern != '0' || !isDigit) {
		h.fail("status line of another protocol", b)
		return
	}
	if h.matched >= statusOffset {
		h.status = h.status*10 + int(b-'0')
	}
	if h.matched++; h.matched < len(statusPattern) {
		return
	}
	if !IsStatus(h.status) {
		h.part, h.failure = malformed, fmt.Errorf("%w: status code %03d", ErrMalformedHead, h.status)
		return
	}
	h.part = inReason
}

// nextOfReason reads the rest of the status line, which begins with a blank if there is any.
func (h *headReader) nextOfReason(b byte) {
	isFirst := h.matched == len(statusPattern)
	h.matched++
	switch {
	case b == '\r':
		h.part = beforeLineFeed
	case b == '\n':
		h.part = atLineStart
	case isFirst && b != ' ', b < ' ' && b != '\t', b == 0x7f:
		h.fail("status line", b)
	}
}

func (h *headReader) beginLine(b byte) {
	switch {
	case b == '\r':
		h.part = beforeLastLineFeed
	case b == '\n':
		h.end()
	case (b == ' ' || b == '\t') && h.hasFields:
		// A line that continues a value; net/http replaces it by a blank.
		h.part = inValue
	default:
		h.part, h.hasFields, h.isNamed = inName, true, false
		h.nextOfName(b)
	}
}

func (h *headReader) nextOfName(b byte) {
	switch {
	case b == ':' && h.isNamed:
		h.part = inValue
	case isTokenByte(b):
		h.isNamed = true
	default:
		h.fail("name of a field", b)
	}
}

func (h *headReader) endLine(b byte) {
	switch {
	case b != '\n':
		h.fail("end of a line", b)
	case h.part == beforeLineFeed:
		h.part = atLineStart
	default:
		h.end()
	}
}

// end ends a head. An interim response is followed by another one.
func (h *headReader) end() {
	if h.status >= http.StatusOK || h.status == http.StatusSwitchingProtocols {
		h.part = afterHead
		return
	}
	h.begin()
}

func (h *headReader) fail(where string, b byte) {
	h.part, h.failure = malformed, fmt.Errorf("%w: %s: unexpected byte %q", ErrMalformedHead, where, b)
}

// IsStatus reports whether a number is a status code of HTTP (RFC 9110, section 15).
func IsStatus(code int) bool { return code >= http.StatusContinue && code <= maxStatus }

// isTokenByte reports whether a byte may stand in the name of a field (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}
