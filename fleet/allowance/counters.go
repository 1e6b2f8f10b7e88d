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
		{readFailed, "Reads of accounts that the platform did not answer."},
		{writeDone, "Writes of accounts."},
		{writeConflict, "Writes of accounts between which another router wrote; they are tried again."},
		{writeFailed, "Writes of accounts that the platform refused or did not answer."},
		{borrowFailed, "Requests for tokens that another router did not answer."},
		{loanFailed, "Requests for loans that another router did not answer."},
	}
}

func (h *Holder) count(name string) {
	metrics.GetOrRegisterCounter(name, h.settings.Metrics).Inc(1)
}
