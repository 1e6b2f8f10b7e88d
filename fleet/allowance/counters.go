package allowance

import "github.com/rcrowley/go-metrics"

// Field names shared by several log lines.
const (
	fieldTeam   = "Team"
	fieldTokens = "Tokens"
	fieldWanted = "Wanted"
	fieldFrom   = "From"
	fieldTo     = "To"
	fieldCutOff = "CutOff"
)

// Names of the counters.
const (
	readFailed    = "allowance.read.failed"
	writeDone     = "allowance.write.done"
	writeConflict = "allowance.write.moved"
	writeFailed   = "allowance.write.failed"
	borrowFailed  = "allowance.borrow.failed"
	loanFailed    = "allowance.loan.failed"
)

// Description documents a counter.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of all counters of this package.
func Counters() []Description {
	return []Description{
		{readFailed, "Reads of accounts that failed."},
		{writeDone, "Successful writes of accounts."},
		{writeConflict, "Writes of accounts that conflicted with a write of another router; they are retried."},
		{writeFailed, "Writes of accounts that the platform refused or did not answer in time."},
		{borrowFailed, "Requests for a transfer of tokens that another router refused or did not answer."},
		{loanFailed, "Requests for a loan that another router refused or did not answer."},
	}
}

func (h *Holder) count(name string) {
	metrics.GetOrRegisterCounter(name, h.settings.Metrics).Inc(1)
}
