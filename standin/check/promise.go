package check

import (
	"fmt"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

// Promise is one guarantee of the fleet with a description of each violation.
type Promise struct {
	Name   string
	Broken []string
}

// Evidence is the data against which the promises are checked.
type Evidence struct {
	Ledgers  Ledgers
	Requests []load.Request
	// Runs counts the started runs by idempotency key; nil if no endpoint was queried.
	Runs map[string]int
}

// CheckPromises checks every promise and returns all of them, with the violations found.
func (e *Evidence) CheckPromises() []Promise {
	promises := []Promise{e.checkOverspends()}
	for _, rule := range rules() {
		promise := Promise{Name: rule.name}
		for i := range e.Requests {
			request := &e.Requests[i]
			if detail := rule.violation(e, request); detail != "" {
				promise.Broken = append(promise.Broken, request.Key+": "+detail)
			}
		}
		promises = append(promises, promise)
	}
	return promises
}

func (e *Evidence) checkOverspends() Promise {
	promise := Promise{Name: "spent or shared out more than prepaid"}
	for _, partition := range e.Ledgers {
		promise.Broken = append(promise.Broken, partition.overspends...)
	}
	return promise
}

// Findings returns the summary of the checks that is stored in the report of a load.
func (e *Evidence) Findings() *load.Findings {
	findings := &load.Findings{FalseRefusals: e.FalseRefusals(), BrokenPromises: make(map[string]int)}
	for _, partition := range e.Ledgers {
		findings.Overspend = max(findings.Overspend, int(partition.maxOverspend))
	}
	for _, promise := range e.CheckPromises() {
		if len(promise.Broken) > 0 {
			findings.BrokenPromises[promise.Name] = len(promise.Broken)
		}
	}
	return findings
}

// rule is a promise that can be checked for each request separately.
type rule struct {
	name string
	// violation describes how a request violates the promise, or returns an empty string if it doesn't.
	violation func(*Evidence, *load.Request) string
}

func rules() []rule {
	return []rule{
		{"billed twice", billedTwice},
		{"completed and never billed", neverBilled},
		{"billed other than the usage reported", billedOtherThanUsage},
		{"billed although reported as not run", billedThoughNotRun},
		{"ran although reported as not run", ranThoughNotRun},
		{"non-idempotent and ran twice", ranTwice},
		{"completed and never ran", neverRan},
		{"answer of another caller", wrongAnswer},
		{"answer cut", cutAnswer},
	}
}

func (e *Evidence) charge(r *load.Request) Charge { return e.Ledgers.Charge(r.Team, r.Key) }

func billedTwice(e *Evidence, r *load.Request) string {
	if bills := e.charge(r).Bills; bills > 1 {
		return fmt.Sprintf("%d bills", bills)
	}
	return ""
}

func neverBilled(e *Evidence, r *load.Request) string {
	if r.Outcome == load.Completed && e.charge(r).Bills == 0 {
		return "no bill"
	}
	return ""
}

// billedOtherThanUsage skips requests with several attempts, because an earlier attempt may have been the one billed, and
// settled requests, because a settlement charges the whole reservation.
func billedOtherThanUsage(e *Evidence, r *load.Request) string {
	charge := e.charge(r)
	if r.Outcome != load.Completed || r.Usage == 0 || len(r.Attempts) > 1 || charge.Bills != 1 || charge.Settled {
		return ""
	}
	if charge.Amount != ledger.Tokens(r.Usage) {
		return fmt.Sprintf("billed %d for a usage of %d", charge.Amount, r.Usage)
	}
	return ""
}

func billedThoughNotRun(e *Evidence, r *load.Request) string {
	if bills := e.charge(r).Bills; r.IsNotRun() && bills > 0 {
		return fmt.Sprintf("refused with %s, %d bills", r.Code, bills)
	}
	return ""
}

func ranThoughNotRun(e *Evidence, r *load.Request) string {
	if runs := e.Runs[r.Key]; r.IsNotRun() && runs > 0 {
		return fmt.Sprintf("refused with %s, %d runs", r.Code, runs)
	}
	return ""
}

func ranTwice(e *Evidence, r *load.Request) string {
	if runs := e.Runs[r.Key]; r.Kind == load.NonIdempotent && runs > 1 {
		return fmt.Sprintf("%d runs", runs)
	}
	return ""
}

func neverRan(e *Evidence, r *load.Request) string {
	if r.Outcome == load.Completed && e.Runs != nil && e.Runs[r.Key] == 0 {
		return "no run"
	}
	return ""
}

func wrongAnswer(_ *Evidence, r *load.Request) string {
	if r.Outcome == load.WrongAnswer {
		return "the caller saw: " + r.Detail
	}
	return ""
}

func cutAnswer(_ *Evidence, r *load.Request) string {
	if r.Outcome == load.CutAnswer {
		return "the caller saw: " + r.Detail
	}
	return ""
}

// Unsettled returns the number of completed requests without a bill plus the number of open requests of all budgets. It
// falls to zero once the ledger has billed or settled every request.
func (e *Evidence) Unsettled() int {
	unsettled := 0
	for i := range e.Requests {
		if neverBilled(e, &e.Requests[i]) != "" {
			unsettled++
		}
	}
	for _, budget := range e.Ledgers.Budgets() {
		unsettled += budget.OpenRequests
	}
	return unsettled
}
