package request

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// Names of fields and lines of the routers' logs.
const (
	fieldRequest  = "Request"
	fieldEndpoint = "Endpoint"
	fieldTeam     = "Team"
	// fieldFingerprint is what requests have in common that a caller sends again.
	fieldFingerprint = "Fingerprint"
	lineEnded        = "request ended"
	lineStarted      = "router started"
	lineAttempt      = "attempt failed"
)

const (
	// timeFormat shows the time of a line.
	timeFormat = "15:04:05.000"
	// endpointAside is how long before a request's arrival, and after its end, lines on its endpoints belong to its story: an endpoint
	// that crashed is back within some seconds. teamAside is how long before its arrival those on its team's tokens do.
	endpointAside = 5 * time.Second
	teamAside     = 1 * time.Second
)

// Explain is the verb "explain".
type Explain struct {
	Request string   `arg:"" help:"Identifier of the request, as its caller sent it."`
	Logs    []string `arg:"" optional:"" help:"Logs of the routers, one file a router; standard input if there is none." type:"path"`
}

// Help returns the verb's description.
func (*Explain) Help() string {
	return "Shows the lines on the request in their order, with what its router believed then, and what all routers wrote on " +
		"its endpoints and, on its router, on its team's tokens shortly before. Reads lines of JSON; text before a line's JSON " +
		"ends with the name of the router."
}

// Run prints the story of a request.
func (e *Explain) Run(container *dig.Container) error {
	return container.Invoke(func(p output.Printer) error {
		lines, err := e.read(os.Stdin)
		if err != nil {
			return err
		}
		s, err := tell(e.Request, lines)
		if err != nil {
			return err
		}
		return p.Print(s, s.tables()...)
	})
}

// read returns the lines of the request, and those on what routers believed.
func (e *Explain) read(stdin io.Reader) ([]line, error) {
	var lines []line
	take := func(l line) {
		if l.text(fieldRequest) == e.Request || l.Message != lineEnded && l.Message != lineAttempt {
			lines = append(lines, l)
		}
	}
	if len(e.Logs) == 0 {
		return lines, readLines(stdin, "-", take)
	}
	for _, name := range e.Logs {
		file, err := os.Open(name) //nolint:gosec // the operator names the logs
		if err != nil {
			return nil, fmt.Errorf("opening a log: %w", err)
		}
		process := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
		err = readLines(file, process, take)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// story is what became of a request.
type story struct {
	Request string
	Router  string
	Status  string
	Outcome string
	// Meaning tells what the outcome means, Look what to look at next.
	Meaning string
	Look    string
	Events  []event
}

// event is a line of the story.
type event struct {
	Time   time.Time
	Router string
	Line   string
	Inputs string
}

// tell picks the lines that belong to a request: its own, what its router believed, and what concerns its endpoints and its team.
func tell(request string, lines []line) (*story, error) {
	slices.SortStableFunc(lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	own, ended := ownLines(request, lines)
	if len(own) == 0 {
		return nil, exit.ErrUnknownObject.New("no line of the logs has the request %s", request)
	}
	s := &story{Request: request, Router: own[len(own)-1].Process, Status: "-", Outcome: "not ended", Look: hints()[""]}
	begin, end := own[0].Time, own[len(own)-1].Time
	if ended != nil {
		s.Status, s.Outcome = ended.text("Status"), ended.text("Outcome")
		s.Meaning, s.Look = meaning(s.Outcome), hints()[s.Outcome]
		begin = ended.Time.Add(-ended.duration("Milliseconds"))
	}
	for _, l := range beliefs(s.Router, begin, lines) {
		s.add(l)
	}
	c := concerned(own)
	c.request, c.router, c.begin, c.end = request, s.Router, begin, end
	for _, l := range lines {
		if c.includes(&l) {
			s.add(l)
		}
	}
	return s, nil
}

func (s *story) add(l line) {
	s.Events = append(s.Events, event{Time: l.Time, Router: l.Process, Line: l.Message, Inputs: l.inputs()})
}

// ownLines returns the lines of a request, and the one that ends it.
func ownLines(request string, lines []line) (own []line, ended *line) {
	for i, l := range lines {
		if l.text(fieldRequest) != request {
			continue
		}
		own = append(own, l)
		if l.Message == lineEnded {
			ended = &lines[i]
		}
	}
	return own, ended
}

// concern is what a request has to do with.
type concern struct {
	request, router   string
	endpoints         map[string]bool
	team, fingerprint string
	// begin is when the router read the request, end when it was done with it.
	begin, end time.Time
}

// concerned returns the endpoints, the team and the fingerprint of a request.
func concerned(own []line) *concern {
	c := &concern{endpoints: make(map[string]bool)}
	for _, l := range own {
		if name := l.text(fieldEndpoint); name != "" {
			c.endpoints[name] = true
		}
		c.team = cmp.Or(l.text(fieldTeam), c.team)
		c.fingerprint = cmp.Or(l.text(fieldFingerprint), c.fingerprint)
	}
	return c
}

// includes reports whether a line belongs to the request's story.
func (c *concern) includes(l *line) bool {
	if request := l.text(fieldRequest); request != "" {
		return request == c.request
	}
	if c.endpoints[endpointOf(l)] {
		return l.Time.After(c.begin.Add(-endpointAside)) && l.Time.Before(c.end.Add(endpointAside))
	}
	if l.Time.After(c.end) {
		return false
	}
	if c.fingerprint != "" && l.text(fieldFingerprint) == c.fingerprint {
		return true
	}
	if l.Process != c.router {
		return false
	}
	if c.team != "" && l.text(fieldTeam) == c.team {
		return l.Time.After(c.begin.Add(-teamAside))
	}
	return isBelief(l) && !l.Time.Before(c.begin)
}

// endpointOf returns the endpoint that a line is about. The name of a crash is that of the endpoint and its start.
func endpointOf(l *line) string {
	if name, _, ok := strings.Cut(l.text("Crash"), "/"); ok {
		return name
	}
	return l.text(fieldEndpoint)
}

// isBelief reports whether a line tells what its router believes from then on.
func isBelief(l *line) bool {
	switch l.Message {
	case "configuration in force", "platform lost", "platform regained", "readiness changed", "overload changed", lineStarted,
		"router is leaving", "log lines dropped":
		return true
	default:
		return false
	}
}

// beliefs returns the newest line of each kind that a router's process wrote before a time.
func beliefs(router string, before time.Time, lines []line) []line {
	var newest []line
	for _, l := range lines {
		if l.Process != router || !l.Time.Before(before) || !isBelief(&l) {
			continue
		}
		same := func(other line) bool {
			return l.Message == lineStarted || topic(&other) == topic(&l) && other.text("Of") == l.text("Of")
		}
		newest = append(slices.DeleteFunc(newest, same), l)
	}
	return newest
}

// topic names what a line changes: a later line on it takes an earlier one's place.
func topic(l *line) string {
	first, _, _ := strings.Cut(l.Message, " ")
	return first
}

// meaning describes an outcome.
func meaning(outcome string) string {
	switch outcome {
	case "answered":
		return "An endpoint's answer was passed on whole."
	case "endpoint_error":
		return "The endpoint's own error was passed on."
	case "endpoint_broke_off":
		return "The endpoint broke off in the middle of its answer, and no other could go on with it."
	case "caller_left":
		return "The caller closed its connection before the answer was whole."
	case "deadline":
		return "The caller's or the route's time was up in the middle of the answer."
	}
	for _, d := range verdict.Reasons() {
		if string(d.Reason) == outcome {
			return d.Meaning
		}
	}
	return "-"
}

// hints tell what to look at, by outcome; the empty one is that of requests that have not ended.
func hints() map[string]string {
	return map[string]string{
		"": "The router ended before the request, or its last lines are missing: look for router started and log lines dropped.",
		string(verdict.PrepaidSpent): "tokens not reserved: Settled equal to Prepaid means that the total is used or was held by routers that died; " +
			"Reported is what is known to be used.",
		string(verdict.PrepaidElsewhere): "tokens not reserved: a large AgeMilliseconds and platform lost mean that the router was cut off; " +
			"tokens not handed over and loan not had name the routers that did not help.",
		string(verdict.InvalidKey):       "configuration in force: Version says which keys the router knew.",
		string(verdict.RouteUnknown):     "configuration in force: Version says which routes the router knew.",
		string(verdict.EndpointFailed):   "attempt failed: error and Verdict; other lines on the same endpoint show whether it is at fault.",
		string(verdict.OutcomeUnknown):   "attempt failed: how long the endpoint was silent.",
		string(verdict.Overloaded):       "attempt failed: the endpoints that refused it, and Next: budget_spent if repeats were used up.",
		string(verdict.NoEndpoint):       "endpoint removed and endpoint changed: what the service had left.",
		string(verdict.Suspected):        "request is held: the crashes at which requests like this one were in progress.",
		string(verdict.NotReady):         "router started: the router had not read the configuration, the endpoints or the accounts yet.",
		string(verdict.DeadlineTooShort): "Milliseconds and PaidMilliseconds: what its time was used for.",
		"endpoint_broke_off":             "attempt failed: error; endpoint crashed of the same endpoint, on any router.",
		"endpoint_error":                 "the endpoint's own logs.",
		"answered":                       "FirstMilliseconds against WaitMilliseconds, and Unread: whether the engine was busier than predicted.",
		"caller_left":                    "FirstMilliseconds and Milliseconds: how long the caller had waited.",
		"deadline":                       "attempt failed: how far the answer had come.",
	}
}

// tables returns the story as tables.
func (s *story) tables() []output.Table {
	summary := output.Table{
		Columns: []string{"REQUEST", "ROUTER", "STATUS", "OUTCOME"},
		Rows:    [][]string{{s.Request, s.Router, s.Status, s.Outcome}},
	}
	notes := output.Table{Columns: []string{"MEANING", s.Meaning}, Rows: [][]string{{"LOOK AT", s.Look}}}
	events := output.Table{Columns: []string{"TIME", "ROUTER", "LINE", "INPUTS"}}
	for _, e := range s.Events {
		events.Rows = append(events.Rows, []string{e.Time.UTC().Format(timeFormat), e.Router, e.Line, e.Inputs})
	}
	return []output.Table{summary, notes, events}
}
