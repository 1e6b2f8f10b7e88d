package check

import (
	"fmt"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/standin/load"
)

// Promise is one promise of the fleet with the cases in which it was broken.
type Promise struct {
	Name   string
	Broken []string
}

// Evidence is what the promises are checked against.
type Evidence struct {
	Ledgers  Ledgers
	Requests []load.Request
	// Runs counts how often endpoints began to run the request of a key; nil if no endpoint was asked.
	Runs map[string]int
}

// Promises checks every promise.
func (e *Evidence) Promises() []Promise {
	promises := []Promise{e.overspent()}
	for _, rule := range rules() {
		promise := Promise{Name: rule.name}
		for i := range e.Requests {
			request := &e.Requests[i]
			if detail := rule.broken(e, request); detail != "" {
				promise.Broken = append(promise.Broken, request.Key+": "+detail)
			}
		}
		promises = append(promises, promise)
	}
	return promises
}

func (e *Evidence) overspent() Promise {
	promise := Promise{Name: "spent or shared out more than prepaid"}
	for _, partition := range e.Ledgers {
		promise.Broken = append(promise.Broken, partition.overspent...)
	}
	return promise
}

// Findings summarises the evidence for a load's report.
func (e *Evidence) Findings() *load.Findings {
	findings := &load.Findings{FalseRefusals: e.FalseRefusals(), BrokenPromises: make(map[string]int)}
	for _, partition := range e.Ledgers {
		findings.Overspend = max(findings.Overspend, int(partition.overspend))
	}
	for _, promise := range e.Promises() {
		if len(promise.Broken) > 0 {
			findings.BrokenPromises[promise.Name] = len(promise.Broken)
		}
	}
	return findings
}

// rule is a promise that each request is checked against by itself.
type rule struct {
	name string
	// broken says how the promise was broken; empty if it was kept.
	broken func(*Evidence, *load.Request) string
}

func rules() []rule {
	return []rule{
		{"billed twice", billedTwice},
		{"completed and never billed", neverBilled},
		{"billed other than the usage reported", billedOtherwise},
		{"billed although reported as not run", notRunBilled},
		{"ran although reported as not run", notRunRan},
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

// billedOtherwise leaves out requests of several attempts, the first of which may have been billed, and settled ones,
// which cost their whole reservation.
func billedOtherwise(e *Evidence, r *load.Request) string {
	charge := e.charge(r)
	if r.Outcome != load.Completed || r.Usage == 0 || len(r.Attempts) > 1 || charge.Bills != 1 || charge.Settled {
		return ""
	}
	if charge.Amount != ledger.Tokens(r.Usage) {
		return fmt.Sprintf("billed %d for a usage of %d", charge.Amount, r.Usage)
	}
	return ""
}

func notRunBilled(e *Evidence, r *load.Request) string {
	if bills := e.charge(r).Bills; r.IsNotRun() && bills > 0 {
		return fmt.Sprintf("refused with %s, %d bills", r.Code, bills)
	}
	return ""
}

func notRunRan(e *Evidence, r *load.Request) string {
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

// Unsettled counts what may still change: completed requests whose bill has not been read, and open reservations.
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
