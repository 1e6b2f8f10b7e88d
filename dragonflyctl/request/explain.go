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

// Field names and messages of the routers' logs.
const (
	fieldRequest  = "Request"
	fieldEndpoint = "Endpoint"
	fieldTeam     = "Team"
	// fieldFingerprint identifies the content of a request: repetitions of a request by its caller have the same fingerprint.
	fieldFingerprint = "Fingerprint"
	// fieldParts lists the parts of prompts that other requests may share, separated by commas.
	fieldParts           = "Parts"
	messagePartsHeld     = "prompt parts are held"
	messageRequestEnded  = "request ended"
	messageRouterStarted = "router started"
	messageAttemptFailed = "attempt failed"
)

const (
	// timeFormat is the layout of the TIME column, with milliseconds.
	timeFormat = "15:04:05.000"
	// endpointMargin extends the time span of a request in both directions when lines about its endpoints are selected: an
	// endpoint that crashed is back within some seconds.
	endpointMargin = 5 * time.Second
	// teamMargin extends the time span before the request's arrival when lines about the prepaid tokens of its team are selected.
	teamMargin = 1 * time.Second
)

// Explain implements the command "explain".
type Explain struct {
	Request string   `arg:"" help:"Identifier of the request, as sent by its caller."`
	Logs    []string `arg:"" optional:"" help:"Log files, one per router; standard input if none is given." type:"path"`
}

// Help returns the detailed help text of the command.
func (*Explain) Help() string {
	return "Prints, in order of time, the log lines of the request, the state of its router at that time, the lines of all " +
		"routers about its endpoints, and the lines of its router about the tokens of its team shortly before. Reads JSON " +
		"lines; text before the JSON of a line must end with the name of the router."
}

// Run prints the outcome of the request and the log lines that explain it.
func (e *Explain) Run(container *dig.Container) error {
	return container.Invoke(func(p output.Printer) error {
		lines, err := e.readLogs(os.Stdin)
		if err != nil {
			return err
		}
		x, err := newExplanation(e.Request, lines)
		if err != nil {
			return err
		}
		return p.Print(x, x.tables()...)
	})
}

// readLogs reads the logs, or stdin if no logs are named. It skips the lines about the ends and failed attempts of other
// requests, because they don't explain the request.
func (e *Explain) readLogs(stdin io.Reader) ([]logLine, error) {
	var lines []logLine
	appendRelevant := func(l logLine) {
		if l.text(fieldRequest) == e.Request || l.Message != messageRequestEnded && l.Message != messageAttemptFailed {
			lines = append(lines, l)
		}
	}
	if len(e.Logs) == 0 {
		return lines, readLines(stdin, "-", appendRelevant)
	}
	for _, name := range e.Logs {
		file, err := os.Open(name) //nolint:gosec // the operator names the logs
		if err != nil {
			return nil, fmt.Errorf("opening a log: %w", err)
		}
		process := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
		err = readLines(file, process, appendRelevant)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// explanation is the outcome of a request with the log lines that explain it.
type explanation struct {
	Request string
	Router  string
	Status  string
	Outcome string
	// Meaning describes the outcome, and Hint names the log lines or fields to check next.
	Meaning string
	Hint    string `json:"Look"`
	Events  []event
}

// event is a log line of an explanation. Fields holds the line's fields as NAME=VALUE.
type event struct {
	Time    time.Time
	Router  string
	Message string `json:"Line"`
	Fields  string `json:"Inputs"`
}

// newExplanation selects the lines that explain a request, ordered by time: first the router's state when the request arrived,
// then the lines about the request, its endpoints, its team and its fingerprint, and later changes of the router's state.
func newExplanation(request string, lines []logLine) (*explanation, error) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	requestLines, endLine := findRequestLines(request, lines)
	if len(requestLines) == 0 {
		return nil, exit.ErrNotFound.New("no line of the logs has the request %s", request)
	}
	x := &explanation{Request: request, Router: requestLines[len(requestLines)-1].Process, Status: "-", Outcome: "not ended", Hint: hints()[""]}
	begin, end := requestLines[0].Time, requestLines[len(requestLines)-1].Time
	if endLine != nil {
		x.Status, x.Outcome = endLine.text("Status"), endLine.text("Outcome")
		x.Meaning, x.Hint = meaning(x.Outcome), hints()[x.Outcome]
		begin = endLine.Time.Add(-endLine.duration("Milliseconds"))
	}
	for _, l := range latestStateChanges(x.Router, begin, lines) {
		x.add(l)
	}
	m := newLineMatcher(requestLines)
	m.request, m.router, m.begin, m.end = request, x.Router, begin, end
	for _, l := range lines {
		if m.matches(&l) {
			x.add(l)
		}
	}
	return x, nil
}

func (x *explanation) add(l logLine) {
	x.Events = append(x.Events, event{Time: l.Time, Router: l.Process, Message: l.Message, Fields: l.formatFields()})
}

// findRequestLines returns the lines that name a request, and its "request ended" line, or nil if the logs lack that line.
func findRequestLines(request string, lines []logLine) (found []logLine, endLine *logLine) {
	for i, l := range lines {
		if l.text(fieldRequest) != request {
			continue
		}
		found = append(found, l)
		if l.Message == messageRequestEnded {
			endLine = &lines[i]
		}
	}
	return found, endLine
}

// lineMatcher selects the log lines that explain a request.
type lineMatcher struct {
	request, router   string
	endpoints         map[string]bool
	team, fingerprint string
	// parts are those of the request's prompt.
	parts []string
	// begin is the time at which the router received the request, computed from its "request ended" line; without that line it is
	// the time of the request's first log line. end is the time of the request's last log line.
	begin, end time.Time
}

// newLineMatcher returns a matcher with the endpoints, the team and the fingerprint that the lines of a request name. The caller
// sets the request, the router and the times.
func newLineMatcher(requestLines []logLine) *lineMatcher {
	m := &lineMatcher{endpoints: make(map[string]bool)}
	for _, l := range requestLines {
		if name := l.text(fieldEndpoint); name != "" {
			m.endpoints[name] = true
		}
		m.team = cmp.Or(l.text(fieldTeam), m.team)
		m.fingerprint = cmp.Or(l.text(fieldFingerprint), m.fingerprint)
		if parts := l.text(fieldParts); parts != "" {
			m.parts = strings.Split(parts, ",")
		}
	}
	return m
}

// matches reports whether a line explains the request. Lines about the request, its endpoints and its fingerprint match on
// every router, lines about its team and state changes only on the router that handled the request.
func (m *lineMatcher) matches(l *logLine) bool {
	if request := l.text(fieldRequest); request != "" {
		return request == m.request
	}
	if m.endpoints[endpointOf(l)] {
		return l.Time.After(m.begin.Add(-endpointMargin)) && l.Time.Before(m.end.Add(endpointMargin))
	}
	if l.Time.After(m.end) {
		return false
	}
	if m.fingerprint != "" && l.text(fieldFingerprint) == m.fingerprint {
		return true
	}
	if l.Message == messagePartsHeld {
		return l.Process == m.router && m.containsParts(l.text(fieldParts))
	}
	if l.Process != m.router {
		return false
	}
	if m.team != "" && l.text(fieldTeam) == m.team {
		return l.Time.After(m.begin.Add(-teamMargin))
	}
	return isStateChange(l) && !l.Time.Before(m.begin)
}

// containsParts reports whether the request's prompt has all of the parts.
func (m *lineMatcher) containsParts(held string) bool {
	for part := range strings.SplitSeq(held, ",") {
		if !slices.Contains(m.parts, part) {
			return false
		}
	}
	return true
}

// endpointOf returns the name of the endpoint that a line concerns. A field "Crash" holds the endpoint's name and, after a slash,
// the start time of the endpoint's process that crashed, in Unix milliseconds.
func endpointOf(l *logLine) string {
	if name, _, ok := strings.Cut(l.text("Crash"), "/"); ok {
		return name
	}
	return l.text(fieldEndpoint)
}

// isStateChange reports whether a line records a change of its router's state, such as a new configuration or the loss of the
// connection to the platform.
func isStateChange(l *logLine) bool {
	switch l.Message {
	case "configuration in force", "platform lost", "platform regained", "readiness changed", "overload changed", messageRouterStarted,
		"router is leaving", "log lines dropped":
		return true
	default:
		return false
	}
}

// latestStateChanges returns the newest state change of each kind that a router logged before a time. Losses of the platform
// are tracked separately for each source that the field Of names. Changes from before the router's latest start are left out.
func latestStateChanges(router string, before time.Time, lines []logLine) []logLine {
	var newest []logLine
	for _, l := range lines {
		if l.Process != router || !l.Time.Before(before) || !isStateChange(&l) {
			continue
		}
		isSuperseded := func(earlier logLine) bool {
			return l.Message == messageRouterStarted || stateKind(&earlier) == stateKind(&l) && earlier.text("Of") == l.text("Of")
		}
		newest = append(slices.DeleteFunc(newest, isSuperseded), l)
	}
	return newest
}

// stateKind returns the first word of a state change's message, such as "platform" for "platform lost" and "platform regained".
// A later line of the same kind supersedes an earlier one.
func stateKind(l *logLine) string {
	first, _, _ := strings.Cut(l.Message, " ")
	return first
}

// meaning returns the description of an outcome, or a dash for an unknown outcome.
func meaning(outcome string) string {
	switch outcome {
	case "answered":
		return "The complete answer of an endpoint was forwarded to the caller."
	case "endpoint_error":
		return "An error response of the endpoint was forwarded to the caller."
	case "endpoint_broke_off":
		return "The endpoint's answer was interrupted, and no other endpoint could continue it."
	case "caller_left":
		return "The caller closed its connection before the answer was complete."
	case "deadline":
		return "The deadline of the caller or of the route passed before the answer was complete."
	}
	for _, d := range verdict.Reasons() {
		if string(d.Reason) == outcome {
			return d.Meaning
		}
	}
	return "-"
}

// hints returns, by outcome, the log lines and fields that explain it. The empty outcome stands for requests without a
// "request ended" line.
func hints() map[string]string {
	return map[string]string{
		"": "The router stopped before the request ended, or its last log lines are missing: look for router started and log lines dropped.",
		string(verdict.PrepaidSpent): "tokens not reserved: Settled equal to Prepaid means that all prepaid tokens are used or were held by routers that failed; " +
			"Reported is the number of tokens known to be used.",
		string(verdict.PrepaidHeldElsewhere): "tokens not reserved: a large AgeMilliseconds and platform lost mean that the router could not reach the platform; " +
			"tokens not handed over and loan not had name the routers that provided no tokens.",
		string(verdict.InvalidKey):       "configuration in force: Version identifies the configuration whose keys the router used.",
		string(verdict.RouteUnknown):     "configuration in force: Version identifies the configuration whose routes the router used.",
		string(verdict.EndpointFailed):   "attempt failed: error and Verdict; other lines about the same endpoint show whether it is at fault.",
		string(verdict.OutcomeUnknown):   "attempt failed: how long the endpoint was unresponsive.",
		string(verdict.Overloaded):       "attempt failed: the endpoints that refused the request, and Next: budget_spent if the retry budget was spent.",
		string(verdict.NoEndpoint):       "endpoint removed and endpoint changed: which endpoints the service still had.",
		string(verdict.Suspected):        "request is held, prompt parts are held: the crashes at which requests with the same Fingerprint or Parts were in progress.",
		string(verdict.NotReady):         "router started: the router had not yet read the configuration, the endpoints or the accounts.",
		string(verdict.DeadlineTooShort): "Milliseconds and PaidMilliseconds: how much of the time was spent on reserving tokens.",
		"endpoint_broke_off":             "attempt failed: error; endpoint crashed for the same endpoint, in the log of any router.",
		"endpoint_error":                 "the logs of the endpoint itself.",
		"answered":                       "FirstMilliseconds compared with WaitMilliseconds, and Unread: whether the engine was busier than predicted.",
		"caller_left":                    "FirstMilliseconds and Milliseconds: how long the caller waited.",
		"deadline":                       "attempt failed: how much of the answer had arrived.",
	}
}

// tables returns the summary, the meaning with its hint, and the log lines as tables.
func (x *explanation) tables() []output.Table {
	summary := output.Table{
		Columns: []string{"REQUEST", "ROUTER", "STATUS", "OUTCOME"},
		Rows:    [][]string{{x.Request, x.Router, x.Status, x.Outcome}},
	}
	guidance := output.Table{Columns: []string{"MEANING", x.Meaning}, Rows: [][]string{{"CHECK NEXT", x.Hint}}}
	events := output.Table{Columns: []string{"TIME", "ROUTER", "LINE", "INPUTS"}}
	for _, e := range x.Events {
		events.Rows = append(events.Rows, []string{e.Time.UTC().Format(timeFormat), e.Router, e.Message, e.Fields})
	}
	return []output.Table{summary, guidance, events}
}
