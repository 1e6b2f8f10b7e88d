// Package eventstream decides which parts of server-sent event streams (WHATWG HTML, section 9.2) a caller gets when several runs of its request bring
// one stream: whole events only, each once and in order, and an end only where the last run has ended. It answers endpoints that break off, begin anew,
// leave events out or send something else in place of events.
package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"mime"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxPendingBytes bounds an incomplete event that is held back. Events of engines are far shorter.
	maxPendingBytes = 64 << 10
	// maxFirst is the highest number with which streams begin that are numbered by one.
	maxFirst = 1
	// maxDoubtSteps is the number of steps by one after a larger one that also come in streams that are numbered otherwise, minOwnSteps that from which on
	// a stream with one larger step is numbered by one.
	maxDoubtSteps, minOwnSteps = 2, 2
	// maxLineBytes bounds the part of a line that is kept to find fields.
	maxLineBytes = 4 << 10
)

// Errors of runs that don't go on as the stream of their request.
var (
	// ErrOrder means that an event's identifier is not above that of the event before.
	ErrOrder = errors.New("identifier of an event is not above that of the event before")
	// ErrGap means that events between two of a stream that is numbered by one are missing.
	ErrGap = errors.New("event stream leaves out events")
	// ErrNotEvent means that a run sent lines that are no event, or begins with one without an identifier after events that have one.
	ErrNotEvent = errors.New("event stream holds lines that are no event of it")
	// ErrMedia means that a run that was to continue a stream answered with another media type.
	ErrMedia = errors.New("answer in place of a continued event stream has another media type")
	// ErrCut means that a run ended inside an event, or with its connection before its first event.
	ErrCut = errors.New("event stream ended inside an event")
)

// Stream is the event stream of one request. The zero value is a stream of which no run has begun.
type Stream struct {
	// Observation shares what is known of how a version numbers events with its other streams; nil if nothing is shared.
	Observation *Observation
	// Known is what is known of that. MayWait reports whether more may become known soon, so that a larger step is held back until then. An Observation sets
	// both before each decision.
	Known   Numbering
	MayWait bool

	// completed counts the complete events of all runs.
	completed int64
	// last is the identifier of the newest complete event that has one, or of the last event that the caller has. isNumbered reports whether the
	// newest complete event has an identifier.
	last       string
	isNumbered bool
	// steps are the kinds of steps between the events that were passed on, stepsByOne the number of those by one. hasGap reports whether a run was rejected
	// for a missing event.
	steps      stepKinds
	stepsByOne int
	hasGap     bool
	// allStepsByOne and largerSteps count the steps between all events, those of events that are held back or were dropped included.
	allStepsByOne, largerSteps int
	// firstNumber is the identifier of the first event of a stream that was not resumed. beginsAbove reports whether it is a number that streams by one
	// don't begin with.
	firstNumber string
	beginsAbove bool
	// isOther reports whether the stream's own events show that it isn't numbered by one: several larger steps, or a larger one before any other in a
	// stream that begins above one.
	isOther bool
	doubt   doubt

	run run
	// media is the media type of the first run of which something was passed on; empty if it named none. hasPassed reports whether there is one.
	media     string
	hasPassed bool
	// isOverlong reports whether an event was too long to be held back, so that bytes are passed on as they arrive.
	isOverlong bool
	// pending holds the bytes of the event that is being read, line the start of the line that is being read.
	pending, line []byte
	event         event
	// afterReturn reports whether the newest byte was a carriage return.
	afterReturn bool
}

// run is what the newest run has brought.
type run struct {
	events int64
	// first is the identifier of its first event.
	first string
}

// doubt is what is held back from a larger step on, while neither the service nor the stream tells whether events are missing.
type doubt struct {
	isOpen bool
	// held are the events that are held back.
	held []event
	// stepsByOne is the number of steps by one since the larger one.
	stepsByOne int
}

// event is the event that is being read.
type event struct {
	// hasLine reports whether a line other than a comment has been read, hasField whether one of them is a field that the format defines.
	hasLine, hasField bool
	// hasForeignField reports whether another field follows one that the format defines. The platform puts its own fields first.
	hasForeignField        bool
	hasData, hasIdentifier bool
	identifier             string
}

// stepKinds are the kinds of steps between the numbers of events.
type stepKinds int

const (
	stepOfOne stepKinds = 1 << iota
	stepUneven
)

func mediaOf(contentType string) string {
	media, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return strings.ToLower(strings.TrimSpace(contentType))
	}
	return media
}

// Resume tells that the caller has the stream up to the event with an identifier; empty for none. It is called before the first run.
func (s *Stream) Resume(after string) { s.last = after }

// BeginRun begins the next run, which answers with a content type. It fails with ErrMedia.
func (s *Stream) BeginRun(contentType string) error {
	s.DropIncomplete()
	s.run = run{}
	media := mediaOf(contentType)
	if s.media == "" || !s.hasPassed {
		s.media = media
	}
	if media != s.media {
		return fmt.Errorf("%w: %q", ErrMedia, contentType)
	}
	return nil
}

// DropIncomplete drops the incomplete event of a run that broke off, and those that are held back.
func (s *Stream) DropIncomplete() {
	s.pending, s.line, s.event, s.afterReturn, s.doubt = nil, nil, event{}, false, doubt{}
}

// Accept adds bytes of the newest run and returns those that may be passed on: whole events and what stands between them. With an error the run is
// broken, and what is returned came before. Events from a larger step on are held back, up to 64 KB, until the next steps show whether the stream is
// numbered by one and others are missing.
func (s *Stream) Accept(p []byte) ([]byte, error) {
	passed, err := s.accept(p)
	s.hasPassed = s.hasPassed || len(passed) > 0
	return passed, err
}

func (s *Stream) accept(p []byte) ([]byte, error) {
	end := 0
	for i, b := range p {
		isLineFeedOfReturn := b == '\n' && s.afterReturn
		s.afterReturn = b == '\r'
		switch {
		case isLineFeedOfReturn:
		case b != '\r' && b != '\n':
			if len(s.line) < maxLineBytes {
				s.line = append(s.line, b)
			}
		case len(s.line) > 0:
			s.endLine()
		default:
			if err := s.endEvent(); err != nil {
				return s.release(p[:end], nil), err
			}
		}
		if !s.IsInsideEvent() && !s.doubt.isOpen {
			end = i + 1
		}
	}
	return s.release(p[:end], p[end:]), nil
}

// release returns the bytes held back with the whole part of the newest ones, and holds the rest back.
func (s *Stream) release(whole, rest []byte) []byte {
	if s.isOverlong {
		return slices.Concat(whole, rest)
	}
	if len(whole) == 0 && len(s.pending)+len(rest) <= maxPendingBytes {
		s.pending = append(s.pending, rest...)
		return nil
	}
	released := slices.Concat(s.pending, whole)
	s.pending = bytes.Clone(rest)
	if len(whole) == 0 || len(rest) > maxPendingBytes {
		s.endDoubt()
		s.isOverlong, s.pending = true, nil
		return slices.Concat(released, rest)
	}
	return released
}

func (s *Stream) endLine() {
	line := string(s.line)
	isWhole := len(s.line) < maxLineBytes
	s.line = s.line[:0]
	if line[0] == ':' {
		return
	}
	s.event.hasLine = true
	name, value, _ := strings.Cut(line, ":")
	switch name {
	case "id":
		s.event.identifier = strings.TrimSpace(value)
		s.event.hasField, s.event.hasIdentifier = true, isWhole && s.event.identifier != ""
	case "data":
		s.event.hasField, s.event.hasData = true, true
	case "event", "retry":
		s.event.hasField = true
	default:
		s.event.hasForeignField = s.event.hasField
	}
}

func (s *Stream) endEvent() error {
	e := s.event
	s.event = event{}
	if !e.hasLine {
		return nil
	}
	if err := s.check(e); err != nil {
		return err
	}
	s.Observation.record(s)
	if !e.hasData && !e.hasIdentifier {
		return nil
	}
	if s.doubt.isOpen {
		s.doubt.held = append(s.doubt.held, e)
		return nil
	}
	s.pass(e)
	return nil
}

// pass counts an event that may be passed on.
func (s *Stream) pass(e event) {
	if s.run.events == 0 {
		s.run.first = e.identifier
	}
	if s.completed == 0 && s.last == "" {
		s.firstNumber = e.identifier
		number, err := strconv.ParseUint(e.identifier, 10, 64)
		s.beginsAbove = err == nil && number > maxFirst
	}
	s.completed++
	s.run.events++
	if s.isNumbered = e.hasIdentifier; e.hasIdentifier {
		s.last = e.identifier
	}
}

// endDoubt passes on what is held back.
func (s *Stream) endDoubt() {
	held := s.doubt.held
	if s.doubt.isOpen {
		s.steps |= stepUneven
	}
	s.doubt = doubt{}
	for _, e := range held {
		s.pass(e)
	}
}

// newest returns the identifier of the newest event, including those that are held back.
func (s *Stream) newest() string {
	for _, e := range slices.Backward(s.doubt.held) {
		if e.hasIdentifier {
			return e.identifier
		}
	}
	return s.last
}

// check returns why an event doesn't go on from the one before.
func (s *Stream) check(e event) error {
	isFirst := s.run.events == 0 && !s.doubt.isOpen
	switch {
	case !e.hasField || e.hasForeignField, e.hasData && !e.hasIdentifier && s.last != "" && isFirst:
		return ErrNotEvent
	case !e.hasIdentifier:
		return nil
	default:
		return s.checkIdentifier(e.identifier)
	}
}

// checkIdentifier returns why an event's identifier doesn't follow the newest one.
func (s *Stream) checkIdentifier(identifier string) error {
	newest := s.newest()
	switch newest {
	case "":
		return nil
	case identifier:
		return fmt.Errorf("%w: %q again", ErrOrder, identifier)
	}
	last, lastErr := strconv.ParseUint(newest, 10, 64)
	number, err := strconv.ParseUint(identifier, 10, 64)
	switch {
	case err != nil && lastErr != nil:
		return nil
	case err != nil || lastErr != nil:
		return fmt.Errorf("%w: %q after %q", ErrOrder, identifier, newest)
	case number < last:
		return fmt.Errorf("%w: %d after %d", ErrOrder, number, last)
	case number-last == 1:
		s.allStepsByOne++
		return s.checkStepByOne(number)
	default:
		s.largerSteps++
		return s.checkLargerStep(last, number)
	}
}

// checkStepByOne judges a step by one. After a larger one it shows that an event is missing if the version numbers by one, and several of them do if nothing
// is known of the version.
func (s *Stream) checkStepByOne(number uint64) error {
	if !s.doubt.isOpen {
		s.steps |= stepOfOne
		s.stepsByOne++
		return nil
	}
	s.doubt.stepsByOne++
	s.Observation.consult(s)
	scheme := s.Known.Scheme()
	switch {
	case scheme == SchemeOther:
		s.endDoubt()
		return s.checkStepByOne(number)
	case s.awaitsOthers():
		return nil
	case scheme == SchemeByOne, s.doubt.stepsByOne > maxDoubtSteps, s.Known.LeansByOne():
		return s.reportGap("before %d", number)
	default:
		return nil
	}
}

// checkLargerStep judges a larger step by the stream's own steps, by how its version numbers events and, where a run goes on, by the events before.
func (s *Stream) checkLargerStep(last, number uint64) error {
	s.Observation.consult(s)
	scheme := s.Known.Scheme()
	switch {
	case s.doubt.isOpen:
		// A stream by one without an event has one larger step among steps by one.
		s.isOther = true
		s.endDoubt()
	case scheme != SchemeOther && s.leavesNumberOut(scheme):
		return s.reportGap("%d after %d", number, last)
	case scheme != SchemeOther && s.mayLeaveNumberOut(scheme):
		s.doubt.isOpen = true
	default:
		s.isOther = s.isOther || s.steps&stepUneven != 0 || s.beginsAbove && s.steps != stepOfOne
		s.steps |= stepUneven
	}
	return nil
}

// leavesNumberOut reports whether a larger step shows at once that an event is missing.
func (s *Stream) leavesNumberOut(scheme Scheme) bool {
	if s.steps != stepOfOne {
		return false
	}
	return s.run.events == 0 || scheme == SchemeByOne && s.stepsByOne >= minOwnSteps && !s.awaitsOthers()
}

// mayLeaveNumberOut reports whether the next steps have to show whether an event is missing.
func (s *Stream) mayLeaveNumberOut(scheme Scheme) bool {
	return s.steps&stepUneven == 0 && (!s.beginsAbove || scheme == SchemeByOne && s.steps == stepOfOne)
}

// reportGap returns ErrGap with the place of the missing event and the facts that show it.
func (s *Stream) reportGap(place string, numbers ...any) error {
	s.hasGap = true
	return fmt.Errorf("%w: %s (first number %q, %d steps by one before, %d after; numbering %s)",
		ErrGap, fmt.Sprintf(place, numbers...), s.firstNumber, s.stepsByOne, s.doubt.stepsByOne, s.Known.String())
}

// awaitsOthers reports whether other streams in progress may soon show how the version numbers events.
func (s *Stream) awaitsOthers() bool { return s.MayWait && !s.Known.IsSettled() }

// AwaitsEvidence reports whether the newest run should not end yet, since events are held back and other streams may soon show whether one is missing.
func (s *Stream) AwaitsEvidence() bool {
	if !s.doubt.isOpen {
		return false
	}
	s.Observation.consult(s)
	return s.awaitsOthers()
}

// EndRun ends the newest run, whose answer ended as a whole, and returns what was held back and may be passed on. endsWithConnection reports whether only
// the end of its connection shows the end of the answer.
func (s *Stream) EndRun(endsWithConnection bool) ([]byte, error) {
	switch {
	case s.IsInsideEvent(), endsWithConnection && s.run.events == 0 && !s.doubt.isOpen:
		return nil, ErrCut
	case !s.doubt.isOpen:
		return nil, nil
	case s.isNumberedByOne():
		return nil, s.reportGap("after %s", s.last)
	}
	s.endDoubt()
	released := s.pending
	s.pending = nil
	return released, nil
}

// isNumberedByOne reports whether a run that ends with one larger step held back leaves out an event.
func (s *Stream) isNumberedByOne() bool {
	switch s.Known.Scheme() {
	case SchemeOther:
		return false
	case SchemeByOne:
		return true
	default:
		return s.stepsByOne+s.doubt.stepsByOne >= minOwnSteps || s.Known.LeansByOne()
	}
}

// CanContinue reports whether another run can go on after what was passed on. Only numbers show whether it does.
func (s *Stream) CanContinue() bool {
	if s.isOverlong || s.completed > 0 && !s.isNumbered {
		return false
	}
	_, err := strconv.ParseUint(s.last, 10, 64)
	return s.completed == 0 || err == nil
}

// IsInsideEvent reports whether the bytes read so far end inside an event.
func (s *Stream) IsInsideEvent() bool { return s.event.hasLine || len(s.line) > 0 }

// IsOverlong reports whether bytes were passed on that belong to no whole event, because it would have been too long.
func (s *Stream) IsOverlong() bool { return s.isOverlong }

// Completed returns the number of complete events of all runs.
func (s *Stream) Completed() int64 { return s.completed }

// Count returns the number of events that runs sent, including those that are held back and an incomplete last one.
func (s *Stream) Count() int64 {
	count := s.completed + int64(len(s.doubt.held))
	if s.IsInsideEvent() {
		count++
	}
	return count
}

// Last returns the identifier of the last event that was passed on, or that the caller had before; empty if there is none.
func (s *Stream) Last() string { return s.last }

// IsNumberedByOne reports whether the events so far are numbered by one. ok is false if there are too few to tell.
func (s *Stream) IsNumberedByOne() (byOne, ok bool) {
	isUneven := s.hasGap || s.steps&stepUneven != 0
	return !isUneven, isUneven || s.steps == stepOfOne
}

// evidence returns what the events so far show of the numbering of the stream's version.
func (s *Stream) evidence() evidence {
	switch {
	case s.isOther:
		return evidenceCertain
	case s.hasGap, s.doubt.isOpen, s.steps&stepUneven != 0:
		return evidenceUneven
	case s.stepsByOne >= minOwnSteps:
		return evidenceByOne
	default:
		return evidenceNone
	}
}

// First returns the identifier of the first event of the newest run; empty if there is none.
func (s *Stream) First() string { return s.run.first }
