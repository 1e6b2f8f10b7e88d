package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/tinylib/msgp/msgp"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// SendCopy sends a copy of a ledger group to another router. It returns nil once that router has accepted the copy.
func (n *Node) SendCopy(ctx context.Context, to Address, c Copy) error {
	_, err := n.roundTrip(ctx, to, request{Kind: copyMessage, Partition: c.Partition, Payload: c.Payload})
	if err != nil {
		n.increment(copiesFailed)
		return fmt.Errorf("sending a copy to %s: %w", to.Instance, err)
	}
	n.increment(copiesSent)
	return nil
}

// FetchConfiguration returns the configuration stream's entries from offset next on, as far as another router has them.
func (n *Node) FetchConfiguration(ctx context.Context, to Address, next platform.Offset) ([]platform.Entry, error) {
	a, err := n.roundTrip(ctx, to, request{Kind: configurationMessage, Next: uint64(next)})
	if err != nil {
		n.increment(configurationFetchesFailed)
		return nil, fmt.Errorf("fetching the configuration from %s: %w", to.Instance, err)
	}
	return platformEntries(a.Entries), nil
}

// RequestTokens asks another router to transfer prepaid tokens of a team and returns the transferred amount. After an
// error the other router may have given up tokens that no router uses. With cutOff, which means that this router can't
// reach the platform, the other router may draw tokens for it.
func (n *Node) RequestTokens(ctx context.Context, to Address, team string, wanted int64, cutOff bool) (int64, error) {
	a, err := n.sendTokenMessage(ctx, to, tokenRequestMessage, &tokenRequest{Team: team, Tokens: wanted, CutOff: cutOff})
	if err != nil {
		return 0, fmt.Errorf("asking %s for tokens: %w", to.Instance, err)
	}
	granted := tokenAnswer{}
	if err := a.decodePayload(&granted); err != nil {
		return 0, err
	}
	if granted.Tokens < 0 || granted.Tokens > wanted {
		return 0, ErrMalformed
	}
	return granted.Tokens, nil
}

// BorrowTokens asks another router for a loan of at least r.Minimum tokens, and of up to r.Maximum if the lender has so many
// free. After an error the lender may have lent tokens that this router doesn't know of; VoidLoan returns them.
func (n *Node) BorrowTokens(ctx context.Context, to Address, r LoanRequest) (Loan, error) {
	a, err := n.sendTokenMessage(ctx, to, loanRequestMessage, &r)
	if err != nil {
		return Loan{}, fmt.Errorf("asking %s for a loan: %w", to.Instance, err)
	}
	loan := Loan{}
	if err := a.decodePayload(&loan); err != nil {
		return Loan{}, err
	}
	if loan.Tokens != 0 && (loan.Tokens < r.Minimum || loan.Tokens > r.Maximum) {
		return Loan{}, ErrMalformed
	}
	return loan, nil
}

// VoidLoan cancels a loan that BorrowTokens failed to receive. The caller guarantees that this router never uses its tokens.
func (n *Node) VoidLoan(ctx context.Context, to Address, team string, identifier uint64) error {
	if _, err := n.sendTokenMessage(ctx, to, loanVoidMessage, &LoanRequest{Team: team, Identifier: identifier}); err != nil {
		return fmt.Errorf("voiding a loan from %s: %w", to.Instance, err)
	}
	return nil
}

// RepayTokens returns unused borrowed tokens to the lender. After an error the lender may or may not have received them.
func (n *Node) RepayTokens(ctx context.Context, to Address, team string, tokens int64) error {
	if _, err := n.sendTokenMessage(ctx, to, loanRepaymentMessage, &tokenRequest{Team: team, Tokens: tokens}); err != nil {
		return fmt.Errorf("repaying tokens to %s: %w", to.Instance, err)
	}
	return nil
}

// sendTokenMessage sends a request about tokens or a loan with r as its payload, and counts failures.
func (n *Node) sendTokenMessage(ctx context.Context, to Address, kind messageKind, r msgp.Marshaler) (answer, error) {
	payload, err := r.MarshalMsg(nil)
	if err != nil {
		return answer{}, err
	}
	a, err := n.roundTrip(ctx, to, request{Kind: kind, Payload: payload})
	if err != nil {
		n.increment(prepaidRequestsFailed)
	}
	return a, err
}

// TransferTokens transfers prepaid tokens of a team to another router. After an error that router may or may not have
// received them.
func (n *Node) TransferTokens(ctx context.Context, to Address, team string, tokens int64) error {
	if _, err := n.sendTokenMessage(ctx, to, tokenTransferMessage, &tokenRequest{Team: team, Tokens: tokens}); err != nil {
		return fmt.Errorf("transferring tokens to %s: %w", to.Instance, err)
	}
	return nil
}

// FetchRouters returns the entries of the site's routers that another router has read from the platform.
func (n *Node) FetchRouters(ctx context.Context, to Address) ([]Router, error) {
	a, err := n.roundTrip(ctx, to, request{Kind: rosterMessage})
	if err != nil {
		return nil, fmt.Errorf("fetching the routers from %s: %w", to.Instance, err)
	}
	payload, err := a.singlePayload()
	if err != nil {
		return nil, err
	}
	var routers []Router
	if json.Unmarshal(payload, &routers) != nil {
		return nil, ErrMalformed
	}
	return routers, nil
}

// ClockReading is a reading of another router's wall clock.
type ClockReading struct {
	Wall time.Time
	// RoundTrip is the duration of the exchange. The clock was read at some time within it.
	RoundTrip time.Duration
}

// FetchClock returns a reading of another router's wall clock. It uses a connection of its own and asks twice, as the first
// exchange on a connection takes longer.
func (n *Node) FetchClock(ctx context.Context, to Address) (ClockReading, error) {
	connection, err := n.dial(ctx, to)
	if err != nil {
		return ClockReading{}, fmt.Errorf("fetching the wall clock of %s: %w", to.Instance, err)
	}
	defer func() { _ = connection.CloseWithError(0, "clock read") }()
	question := request{Kind: clockMessage}
	data, err := question.MarshalMsg(nil)
	if err != nil {
		return ClockReading{}, err
	}
	reading := ClockReading{}
	for range 2 {
		if reading, err = readClock(ctx, connection, data); err != nil {
			return ClockReading{}, fmt.Errorf("fetching the wall clock of %s: %w", to.Instance, err)
		}
	}
	return reading, nil
}

func readClock(ctx context.Context, connection *quic.Conn, question []byte) (ClockReading, error) {
	start := time.Now()
	reply, err := roundTripOn(ctx, connection, question)
	roundTrip := time.Since(start)
	if err != nil {
		return ClockReading{}, err
	}
	a, err := decodeAnswer(reply)
	if err != nil {
		return ClockReading{}, err
	}
	reading := clockAnswer{}
	if err := a.decodePayload(&reading); err != nil {
		return ClockReading{}, err
	}
	return ClockReading{Wall: time.UnixMilli(reading.Milliseconds), RoundTrip: roundTrip}, nil
}

// SendVersions makes another router keep the versions of streams.
func (n *Node) SendVersions(ctx context.Context, to Address, list []StreamVersion) error {
	payload, err := (&streamVersions{List: list}).MarshalMsg(nil)
	if err != nil {
		return err
	}
	if _, err := n.roundTrip(ctx, to, request{Kind: streamVersionsMessage, Payload: payload}); err != nil {
		return fmt.Errorf("sending versions of streams to %s: %w", to.Instance, err)
	}
	return nil
}

// FetchVersion asks another router for the version of a stream of a service. It returns what StreamKeeper.Version returns there.
func (n *Node) FetchVersion(ctx context.Context, to Address, stream uint64, service string) (StreamVersion, bool, error) {
	known := StreamVersion{Stream: stream, Service: service}
	payload, err := known.MarshalMsg(nil)
	if err != nil {
		return known, false, err
	}
	a, err := n.roundTrip(ctx, to, request{Kind: streamLookupMessage, Payload: payload})
	if err != nil {
		return known, false, fmt.Errorf("asking %s for the version of a stream: %w", to.Instance, err)
	}
	if len(a.Entries) == 0 {
		return known, false, nil
	}
	if err := a.decodePayload(&known); err != nil {
		return known, false, err
	}
	return known, known.Stream == stream || known.Stream == 0 && known.Service == service, nil
}

// FetchNumberings asks another router what it has observed of how versions of services number the events of their streams.
func (n *Node) FetchNumberings(ctx context.Context, to Address) ([]VersionNumbering, error) {
	a, err := n.roundTrip(ctx, to, request{Kind: numberingsMessage})
	if err != nil {
		return nil, fmt.Errorf("asking %s for numberings: %w", to.Instance, err)
	}
	observed := versionNumberings{}
	if err := a.decodePayload(&observed); err != nil {
		return nil, err
	}
	return observed.List, nil
}

// SendNotice sends a placement notice to another router as a datagram, which may be lost without an error.
func (n *Node) SendNotice(ctx context.Context, to Address, notice PlacementNotice) error {
	data, err := notice.MarshalMsg(nil)
	if err != nil {
		return err
	}
	connection, err := n.connection(ctx, to)
	if err != nil {
		return err
	}
	return connection.SendDatagram(data)
}

// roundTrip sends a request to another router and returns its answer, or an error if the answer is a refusal. If the exchange
// fails, it closes the connection, so that the next request dials again.
func (n *Node) roundTrip(ctx context.Context, to Address, r request) (answer, error) {
	data, err := r.MarshalMsg(nil)
	if err != nil {
		return answer{}, err
	}
	connection, err := n.connection(ctx, to)
	if err != nil {
		return answer{}, err
	}
	reply, err := roundTripOn(ctx, connection, data)
	if err != nil {
		n.dropConnection(to, connection)
		return answer{}, err
	}
	return decodeAnswer(reply)
}

// decodeAnswer decodes an answer and returns an error if it is a refusal.
func decodeAnswer(reply []byte) (answer, error) {
	a := answer{}
	if rest, err := a.UnmarshalMsg(reply); err != nil || len(rest) > 0 {
		return answer{}, ErrMalformed
	}
	if a.Refusal != "" {
		return answer{}, refusalError(a.Refusal)
	}
	return a, nil
}

// roundTripOn sends an encoded request on a new stream of a connection and returns the encoded answer. Without a deadline of
// the context, requestTimeout applies.
func roundTripOn(ctx context.Context, connection *quic.Conn, data []byte) ([]byte, error) {
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(requestTimeout)
	}
	_ = stream.SetDeadline(deadline)
	if _, err := stream.Write(data); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return readBounded(stream, MaxAnswerBytes)
}

// connection returns the open connection to another router, or dials one if there is none.
func (n *Node) connection(ctx context.Context, to Address) (*quic.Conn, error) {
	n.mutex.Lock()
	existing := n.dialled[to]
	n.mutex.Unlock()
	if existing != nil && existing.Context().Err() == nil {
		return existing, nil
	}
	connection, err := n.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return n.storeConnection(to, connection), nil
}

// dial opens a new connection to another router.
func (n *Node) dial(ctx context.Context, to Address) (*quic.Conn, error) {
	n.mutex.Lock()
	transport := n.transport
	n.mutex.Unlock()
	if transport == nil {
		return nil, fmt.Errorf("dialling %s: %w", to.Instance, net.ErrClosed)
	}
	address, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, err
	}
	config, err := n.identity.clientConfig(to.Instance)
	if err != nil {
		return nil, err
	}
	connection, err := transport.Dial(ctx, address, config, quicConfig())
	if err != nil {
		n.increment(dialsFailed)
		return nil, fmt.Errorf("dialling %s: %w", to.Instance, err)
	}
	return connection, nil
}

// storeConnection stores a dialled connection for reuse and returns it. If a concurrent call has already stored an open one
// for the address, it closes the new connection and returns the stored one.
func (n *Node) storeConnection(to Address, connection *quic.Conn) *quic.Conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if existing := n.dialled[to]; existing != nil && existing.Context().Err() == nil {
		_ = connection.CloseWithError(0, "second connection")
		return existing
	}
	if n.dialled == nil {
		n.dialled = make(map[Address]*quic.Conn)
	}
	n.removeClosedConnections()
	n.dialled[to] = connection
	return connection
}

// removeClosedConnections deletes closed connections from the map, which would otherwise grow with each router that is
// replaced. The caller must hold the mutex.
func (n *Node) removeClosedConnections() {
	for address, c := range n.dialled {
		if c.Context().Err() != nil {
			delete(n.dialled, address)
		}
	}
}

// dropConnection removes a connection on which a request failed unless another has replaced it, and closes it after its exchanges.
func (n *Node) dropConnection(to Address, connection *quic.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.dialled[to] == connection {
		delete(n.dialled, to)
	}
	if n.exchanges[connection] == 0 {
		_ = connection.CloseWithError(0, "request failed")
	}
}
