// Package peer exchanges messages between the routers of a fleet over QUIC. Routers that can't reach the
// log send copies of their ledger groups to other routers and fetch configuration entries from them. Routers
// also transfer and lend prepaid tokens, send placement notices, keep the software versions of each other's streams, and fetch each
// other's list of routers, wall clock and observations of how events are numbered. A router that is cut off from endpoints has
// other routers carry out its exchanges with them, see Exchange.
//
// Each request uses one QUIC stream: the sender writes the request and closes its side, then the receiver
// writes the answer and closes the other side. Placement notices are QUIC datagrams without an answer. Both
// ends authenticate with TLS certificates, see Identity.
package peer

import (
	"errors"

	"github.com/tinylib/msgp/msgp"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -unexported -io=false -tests=false -file message.go -o message_gen.go

//msgp:tuple request answer entry tokenRequest tokenAnswer clockAnswer LoanRequest Loan PlacementNotice PlacementPart StreamVersion streamVersions VersionNumbering versionNumberings
//msgp:ignore Copy
//msgp:limit arrays:4096 maps:0

// Maximum lengths of messages. Longer messages are rejected as malformed.
const (
	// MaxRequestBytes is the maximum length of a request: 1 MiB for an encoded ledger group and 4 KiB for the other fields.
	MaxRequestBytes = 1<<20 + 4096
	// MaxAnswerBytes is the maximum length of an answer. The longest answers hold the change tickets that a router lacks.
	MaxAnswerBytes = 4 << 20
)

// Copy is a copy of a ledger group that its writer could not append to the log yet.
type Copy struct {
	// Partition is the ledger partition that the group belongs to.
	Partition int
	// Payload is the encoded group, byte for byte as its writer appends it to the log.
	Payload []byte
}

// messageKind is the type of a request to another router. The values are part of the protocol between routers.
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
	clockMessage
	streamVersionsMessage
	streamLookupMessage
	exchangeMessage
	numberingsMessage
)

// request is the encoded form of a request to another router. The kind determines which of the other fields are used.
type request struct {
	Kind      messageKind
	Partition int
	Payload   []byte `msg:"Payload,limit=1052672"`
	// Next is the offset of the first entry of the configuration stream that the sender lacks.
	Next uint64
}

// tokenRequest is the payload of requests that ask for, transfer or repay prepaid tokens of a team.
type tokenRequest struct {
	Team   string
	Tokens int64
	// CutOff is true if the sender can't reach the platform.
	CutOff bool
}

// answer is the encoded form of the answer to a request. Refusal is the text of the error, or empty if the receiver accepted
// the request.
type answer struct {
	Refusal string
	Entries []entry
}

// tokenAnswer is the payload of the answer to a request for tokens. Tokens is the amount that the answering router transfers
// to the requesting one, and must itself no longer use.
type tokenAnswer struct {
	Tokens int64
}

// clockAnswer is the payload of the answer to a request for the wall clock, in milliseconds since the Unix epoch.
type clockAnswer struct {
	Milliseconds int64
}

// LoanRequest asks another router, the lender, for a loan of a team's prepaid tokens. It is also the payload of the message
// that voids a loan, which sets only Team and Identifier.
type LoanRequest struct {
	Team string
	// Minimum is the least number of tokens that covers the client's request at the borrower. Maximum is the largest number
	// of tokens that the borrower accepts.
	Minimum, Maximum int64
	// Identifier identifies the loan. The borrower's process uses each value once.
	Identifier uint64
	// MayWait is true if the lender is an assigned holder of the team's shares for the borrower. Such a lender waits
	// for tokens from other sources if it has too few. Any other lender answers at once if it can't reach the platform.
	MayWait bool
}

// Loan is a lender's answer to a LoanRequest.
type Loan struct {
	// Tokens is the amount lent, which the borrower may use from now on. It is zero, or from Minimum to Maximum of the
	// request.
	Tokens int64
	// Spent is true if the team's remaining tokens can't cover Minimum, counted over all routers.
	Spent bool
	// CutOff is true if the lender can't reach the platform.
	CutOff bool
}

// singlePayloadAnswer returns an answer with one payload. It takes the results of an encoding and returns a refusal with
// ErrMalformed if the encoding failed.
func singlePayloadAnswer(payload []byte, err error) answer {
	if err != nil {
		return answer{Refusal: ErrMalformed.Error()}
	}
	return answer{Entries: []entry{{Payload: payload}}}
}

// singlePayload returns the payload of an answer that must have exactly one, else ErrMalformed.
func (a *answer) singlePayload() ([]byte, error) {
	if len(a.Entries) != 1 {
		return nil, ErrMalformed
	}
	return a.Entries[0].Payload, nil
}

// decodePayload decodes the single payload of an answer, or returns ErrMalformed.
func (a *answer) decodePayload(into msgp.Unmarshaler) error {
	payload, err := a.singlePayload()
	if err != nil {
		return err
	}
	if rest, err := into.UnmarshalMsg(payload); err != nil || len(rest) > 0 {
		return ErrMalformed
	}
	return nil
}

// entry is an element of an answer: an entry of the configuration stream, or with offset 0 a single payload of another kind.
type entry struct {
	Offset  uint64
	Payload []byte `msg:"Payload,limit=4194304"`
}

// PlacementNotice informs other routers of a prompt that the sender has placed on an engine. Notices may be lost, so that
// routers use them only to choose endpoints.
type PlacementNotice struct {
	// Endpoint is the name of the engine's endpoint.
	Endpoint string
	// Tokens is the number of prompt tokens that the engine must process, without those from its cache.
	Tokens int64
	// Parts are the sections of the prompt that other prompts may share.
	Parts []PlacementPart
}

// PlacementPart is a section of the prompt of a placement notice, with its length in tokens. Identifiers are equal for
// equal contents.
type PlacementPart struct {
	Identifier string
	Tokens     int64
}

// VersionNumbering is what a router has observed of how a version of a service numbers the events of its streams, see eventstream.Numbering.
type VersionNumbering struct {
	Service, Version        string
	ByOne, Uneven, Certain  int
	OpenByOne, InProgress   int
	StepsByOne, LargerSteps int
}

// versionNumberings is the payload of the answer to a request for a router's observations.
type versionNumberings struct {
	List []VersionNumbering
}

// StreamVersion is the service and the software version of the endpoint that began a stream. It is also the payload of the request that
// asks for the version, without the version. In an answer with a Stream of zero, Version is the only one of the service that has
// served lately.
type StreamVersion struct {
	// Stream identifies the stream by a hash of its team and the identifier of the request that brought its first event.
	Stream           uint64
	Service, Version string
}

// streamVersions is the payload of the message that makes another router keep the versions of streams.
type streamVersions struct {
	List []StreamVersion
}

// Errors of requests to other routers. The texts of all but ErrRefused are part of the protocol: answers carry them.
var (
	// ErrQueueFull means that the other router already holds its maximum number of copies.
	ErrQueueFull = errors.New("peer holds as many copies as it can")
	// ErrForeignWriter means that another instance than the sender of a copy wrote the group.
	ErrForeignWriter = errors.New("group was written by another instance")
	// ErrRetrySoon means that a lender has the tokens for a loan, but may lend them only some hundred milliseconds later.
	ErrRetrySoon = errors.New("tokens may be lent soon")
	// ErrMalformed means that a request or an answer could not be decoded or had invalid values.
	ErrMalformed = errors.New("message can't be read")
	// ErrRefused means that the other router refused a request for a reason that this version doesn't know.
	ErrRefused = errors.New("peer refused the request")
)

// refusals returns the errors that answers carry by their texts. The texts must not change, because routers of other
// versions compare them.
func refusals() []error { return []error{ErrQueueFull, ErrForeignWriter, ErrRetrySoon, ErrMalformed} }

// refusalText returns the text that an answer carries for an error. If the error wraps one that refusals returns, the text is
// that of the wrapped error alone.
func refusalText(err error) string {
	for _, reason := range refusals() {
		if errors.Is(err, reason) {
			return reason.Error()
		}
	}
	return err.Error()
}

// refusalError returns the error for the refusal text of an answer, or ErrRefused if refusals has no error with this text.
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
