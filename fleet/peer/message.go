// Package peer speaks to the other routers of the fleet: it hands over copies of groups that can't
// reach the log, and brings configuration to a router that the log can't reach.
//
// Each message is one QUIC stream: the sender writes a request and closes its side, the receiver
// answers and closes the other. Both ends show a certificate of the site's own authority.
package peer

import (
	"errors"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -unexported -io=false -tests=false -file message.go -o message_gen.go

//msgp:tuple request answer entry tokenRequest tokenAnswer LoanRequest Loan Note NotePart
//msgp:ignore Copy
//msgp:limit arrays:4096 maps:0

// Bounds of a message; longer ones are refused.
const (
	// MaxRequestBytes bounds a request: a group of the ledger and its frame.
	MaxRequestBytes = 1<<20 + 4096
	// MaxAnswerBytes bounds an answer: the tickets that a router lacks.
	MaxAnswerBytes = 4 << 20
)

// Copy is a group of the ledger on its way to the log.
type Copy struct {
	// Partition of the ledger.
	Partition int
	// Payload is the encoded group, exactly as its writer appends it.
	Payload []byte
}

// messageKind tells the kinds of requests apart.
type messageKind uint8

const (
	copyMessage messageKind = iota + 1
	configurationMessage
	tokenRequestMessage
	tokenTransferMessage
	loanRequestMessage
	loanRepaymentMessage
	loanVoidMessage
	rosterMessage
)

// request is what a router asks of another; the fields in use depend on the kind.
type request struct {
	Kind      messageKind
	Partition int
	Payload   []byte
	// Next is the first offset of the configuration stream that the sender lacks.
	Next uint64
}

// tokenRequest is the payload of a request for prepaid tokens of a team, and of one that hands some over or repays them.
type tokenRequest struct {
	Team   string
	Tokens int64
	// CutOff says that the sender can't reach the platform itself.
	CutOff bool
}

// answer is what a router answers; an empty Refusal means that the request was accepted.
type answer struct {
	Refusal string
	Entries []entry
}

// tokenAnswer is the payload of an answer to a tokenRequest: the tokens that the sender may use from
// now on, and the receiver no longer.
type tokenAnswer struct {
	Tokens int64
}

// LoanRequest asks for a loan of a team's prepaid tokens. The message that voids one names Team and Identifier only.
type LoanRequest struct {
	Team string
	// Least is the least that pays the borrower's request, Wanted the most that it takes.
	Least, Wanted int64
	// Identifier is one that the borrower's process uses once.
	Identifier uint64
	// Patient says that the lender holds the team's shares for the borrower, so that it looks for tokens elsewhere too. Another
	// one answers at once if it can't reach the platform.
	Patient bool
}

// Loan is what a router lends of a team's prepaid tokens for a request at another one.
type Loan struct {
	// Tokens is what the borrower may use from now on: from the least to the most that it asked for, or nothing.
	Tokens int64
	// Spent says that too few of the team's tokens remain, whoever holds them.
	Spent bool
	// CutOff says that the lender can't reach the platform.
	CutOff bool
}

// singlePayloadAnswer returns an answer with one payload, if that could be encoded.
func singlePayloadAnswer(payload []byte, err error) answer {
	if err != nil {
		return answer{Refusal: ErrMalformed.Error()}
	}
	return answer{Entries: []entry{{Payload: payload}}}
}

// singlePayload returns the only singlePayload of an answer.
func (a *answer) singlePayload() ([]byte, error) {
	if len(a.Entries) != 1 {
		return nil, ErrMalformed
	}
	return a.Entries[0].Payload, nil
}

// entry is an entry of the configuration stream.
type entry struct {
	Offset  uint64
	Payload []byte
}

// Note tells other routers of a prompt that was sent to an engine. Notes may be lost: nothing may depend on them but where
// requests are placed.
type Note struct {
	// Endpoint is the name of the engine.
	Endpoint string
	// Tokens is how many tokens the engine has to read.
	Tokens int64
	// Parts are the pieces of the prompt that other prompts may share.
	Parts []NotePart
}

// NotePart is a piece of a prompt.
type NotePart struct {
	Identifier string
	Tokens     int64
}

// The reasons for which a peer refuses a request.
var (
	// ErrQueueFull reports that the peer holds as many copies as it can.
	ErrQueueFull = errors.New("peer holds as many copies as it can")
	// ErrForeignWriter reports a copy of a group that the sending instance did not write.
	ErrForeignWriter = errors.New("group was written by another instance")
	// ErrMalformed reports a message that can't be read.
	ErrMalformed = errors.New("message can't be read")
	// ErrRefused reports a refusal for a reason that this version doesn't know.
	ErrRefused = errors.New("peer refused the request")
)

// refusals maps the reasons to what stands in an answer.
func refusals() []error { return []error{ErrQueueFull, ErrForeignWriter, ErrMalformed} }

// refusalText returns what an answer says of an error.
func refusalText(err error) string {
	for _, reason := range refusals() {
		if errors.Is(err, reason) {
			return reason.Error()
		}
	}
	return err.Error()
}

// refusalError returns the error that an answer's refusal stands for.
func refusalError(text string) error {
	for _, err := range refusals() {
		if err.Error() == text {
			return err
		}
	}
	return ErrRefused
}

func newEntries(entries []platform.Entry) []entry {
	list := make([]entry, len(entries))
	for i, e := range entries {
		list[i] = entry{Offset: uint64(e.Offset), Payload: e.Payload}
	}
	return list
}

func platformEntries(list []entry) []platform.Entry {
	entries := make([]platform.Entry, len(list))
	for i, e := range list {
		entries[i] = platform.Entry{Offset: platform.Offset(e.Offset), Payload: e.Payload}
	}
	return entries
}
