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

// SendCopy hands a copy to another router. It returns nil once that router has taken it over.
func (n *Node) SendCopy(ctx context.Context, to Address, c Copy) error {
	_, err := n.ask(ctx, to, request{Kind: copyMessage, Partition: c.Partition, Payload: c.Payload})
	if err != nil {
		n.count(copiesFailed)
		return fmt.Errorf("handing a copy to %s: %w", to.Instance, err)
	}
	n.count(copiesSent)
	return nil
}

// FetchConfiguration returns the entries of the configuration stream from an offset on that another router knows.
func (n *Node) FetchConfiguration(ctx context.Context, to Address, next platform.Offset) ([]platform.Entry, error) {
	a, err := n.ask(ctx, to, request{Kind: configurationMessage, Next: uint64(next)})
	if err != nil {
		n.count(configurationFailed)
		return nil, fmt.Errorf("fetching the configuration from %s: %w", to.Instance, err)
	}
	return platformEntries(a.Entries), nil
}

// AskTokens asks another router for prepaid tokens of a team and returns how many it handed over. After an error it may
// have handed over tokens that nobody uses. A router that is cut off from the platform asks the other one to draw.
func (n *Node) AskTokens(ctx context.Context, to Address, team string, wanted int64, cutOff bool) (int64, error) {
	a, err := n.sendTokens(ctx, to, tokensMessage, &tokenRequest{Team: team, Tokens: wanted, CutOff: cutOff})
	if err != nil {
		return 0, fmt.Errorf("asking %s for tokens: %w", to.Instance, err)
	}
	payload, err := a.payload()
	if err != nil {
		return 0, err
	}
	given := tokenAnswer{}
	if rest, err := given.UnmarshalMsg(payload); err != nil || len(rest) > 0 || given.Tokens < 0 || given.Tokens > wanted {
		return 0, ErrMalformed
	}
	return given.Tokens, nil
}

// BorrowTokens asks another router to pay a request, and for more if that is free. After an error it may have lent tokens
// that nobody uses; VoidLoan gives them back.
func (n *Node) BorrowTokens(ctx context.Context, to Address, r LoanRequest) (Loan, error) {
	a, err := n.sendTokens(ctx, to, loanMessage, &r)
	if err != nil {
		return Loan{}, fmt.Errorf("asking %s for a loan: %w", to.Instance, err)
	}
	payload, err := a.payload()
	if err != nil {
		return Loan{}, err
	}
	lent := Loan{}
	if rest, err := lent.UnmarshalMsg(payload); err != nil || len(rest) > 0 || lent.Tokens != 0 && (lent.Tokens < r.Least || lent.Tokens > r.Wanted) {
		return Loan{}, ErrMalformed
	}
	return lent, nil
}

// VoidLoan tells another router that this one did not get a loan and never uses it.
func (n *Node) VoidLoan(ctx context.Context, to Address, team string, identifier uint64) error {
	if _, err := n.sendTokens(ctx, to, voidMessage, &LoanRequest{Team: team, Identifier: identifier}); err != nil {
		return fmt.Errorf("voiding a loan of %s: %w", to.Instance, err)
	}
	return nil
}

// RepayTokens hands back what was not used of loans. After an error the other router may or may not have it.
func (n *Node) RepayTokens(ctx context.Context, to Address, team string, tokens int64) error {
	if _, err := n.sendTokens(ctx, to, repaymentMessage, &tokenRequest{Team: team, Tokens: tokens}); err != nil {
		return fmt.Errorf("repaying %s: %w", to.Instance, err)
	}
	return nil
}

// sendTokens sends a message about tokens.
func (n *Node) sendTokens(ctx context.Context, to Address, kind messageKind, r msgp.Marshaler) (answer, error) {
	payload, err := r.MarshalMsg(nil)
	if err != nil {
		return answer{}, err
	}
	a, err := n.ask(ctx, to, request{Kind: kind, Payload: payload})
	if err != nil {
		n.count(handoverFailed)
	}
	return a, err
}

// GiveTokens hands prepaid tokens of a team to another router. After an error it may or may not have them.
func (n *Node) GiveTokens(ctx context.Context, to Address, team string, tokens int64) error {
	if _, err := n.sendTokens(ctx, to, giftMessage, &tokenRequest{Team: team, Tokens: tokens}); err != nil {
		return fmt.Errorf("handing tokens to %s: %w", to.Instance, err)
	}
	return nil
}

// FetchRouters returns the entries of the site's routers as another one reads them.
func (n *Node) FetchRouters(ctx context.Context, to Address) ([]Router, error) {
	a, err := n.ask(ctx, to, request{Kind: rosterMessage})
	if err != nil {
		return nil, fmt.Errorf("fetching the routers from %s: %w", to.Instance, err)
	}
	payload, err := a.payload()
	if err != nil {
		return nil, err
	}
	var routers []Router
	if json.Unmarshal(payload, &routers) != nil {
		return nil, ErrMalformed
	}
	return routers, nil
}

// SendNote tells another router of a prompt. It may be lost.
func (n *Node) SendNote(ctx context.Context, to Address, note Note) error {
	data, err := note.MarshalMsg(nil)
	if err != nil {
		return err
	}
	connection, err := n.connection(ctx, to)
	if err != nil {
		return err
	}
	return connection.SendDatagram(data)
}

// ask sends a request and returns its answer. A connection on which that fails is dropped, so that the
// next request dials anew.
func (n *Node) ask(ctx context.Context, to Address, r request) (answer, error) {
	data, err := r.MarshalMsg(nil)
	if err != nil {
		return answer{}, err
	}
	connection, err := n.connection(ctx, to)
	if err != nil {
		return answer{}, err
	}
	reply, err := exchangeOn(ctx, connection, data)
	if err != nil {
		n.drop(to, connection)
		return answer{}, err
	}
	a := answer{}
	if rest, err := a.UnmarshalMsg(reply); err != nil || len(rest) > 0 {
		return answer{}, ErrMalformed
	}
	if a.Refusal != "" {
		return answer{}, refusalError(a.Refusal)
	}
	return a, nil
}

func exchangeOn(ctx context.Context, connection *quic.Conn, data []byte) ([]byte, error) {
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(messageTimeout)
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

// connection returns the open connection to a router, or dials one.
func (n *Node) connection(ctx context.Context, to Address) (*quic.Conn, error) {
	n.mutex.Lock()
	known, transport := n.dialled[to], n.transport
	n.mutex.Unlock()
	if known != nil && known.Context().Err() == nil {
		return known, nil
	}
	if transport == nil {
		return nil, fmt.Errorf("dialling %s: %w", to.Instance, net.ErrClosed)
	}
	address, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, err
	}
	config, err := n.credentials.clientConfig(to.Instance)
	if err != nil {
		return nil, err
	}
	connection, err := transport.Dial(ctx, address, config, quicConfig())
	if err != nil {
		n.count(dialsFailed)
		return nil, fmt.Errorf("dialling %s: %w", to.Instance, err)
	}
	return n.keep(to, connection), nil
}

// keep remembers a connection; of two that were dialled at once, the first stays.
func (n *Node) keep(to Address, connection *quic.Conn) *quic.Conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if known := n.dialled[to]; known != nil && known.Context().Err() == nil {
		_ = connection.CloseWithError(0, "second connection")
		return known
	}
	if n.dialled == nil {
		n.dialled = make(map[Address]*quic.Conn)
	}
	n.forgetClosed()
	n.dialled[to] = connection
	return connection
}

// forgetClosed removes connections that have ended, so that replaced routers leave nothing behind.
func (n *Node) forgetClosed() {
	for address, c := range n.dialled {
		if c.Context().Err() != nil {
			delete(n.dialled, address)
		}
	}
}

func (n *Node) drop(to Address, connection *quic.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.dialled[to] == connection {
		delete(n.dialled, to)
	}
	_ = connection.CloseWithError(0, "request failed")
}
