package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const (
	// handshakeTimeout bounds the opening of a connection.
	handshakeTimeout = 2 * time.Second
	// idleTimeout ends a connection on which nothing arrives, keep-alives included: a path that has
	// gone silent is dialled anew.
	idleTimeout = 6 * time.Second
	// keepAlive is the time between two keep-alives of an idle connection.
	keepAlive = 2 * time.Second
	// messageTimeout bounds the handling of one request by the receiver.
	messageTimeout = 5 * time.Second
	// maxStreams bounds the requests in progress on one connection.
	maxStreams = 64
	// maxConnections bounds the connections that other routers may open.
	maxConnections = 1024
)

// Handler does what other routers ask for.
type Handler interface {
	// AcceptCopy takes over a copy that the named instance sent, or refuses it with one of the errors of message.go.
	AcceptCopy(from string, c Copy) error
	// Configuration returns the entries of the configuration stream from an offset on, as far as they are known.
	Configuration(next platform.Offset) []platform.Entry
}

// Giver hands over prepaid tokens and takes them. A handler that implements it is asked for them.
type Giver interface {
	// TakeTokens lets this router use tokens of a team that the named instance no longer does. It reports whether it will.
	TakeTokens(from, team string, tokens int64) bool
	// GiveTokens returns how many of a team's tokens the named instance may use from now on; this router no longer does.
	// An instance that is cut off from the platform can't draw any itself.
	GiveTokens(from, team string, wanted int64, cutOff bool) int64
	// LendTokens lends the named instance what a request needs at least, and more if that is free. It may take some time; an
	// error says that nothing was lent.
	LendTokens(ctx context.Context, from string, r LoanRequest) (Loan, error)
	// VoidLoan takes back a loan that the named instance did not get and never uses, and lends nothing for it any more.
	VoidLoan(from, team string, identifier uint64) bool
	// RepayTokens takes back what the named instance did not use of its loans.
	RepayTokens(from, team string, tokens int64) bool
}

// Lister tells what it knows of the site's routers. A handler that implements it is asked for them.
type Lister interface {
	// ListRouters returns the routers; false if this router can't read the newest entries itself.
	ListRouters() ([]Router, bool)
}

// Listener takes notes in. A handler that implements it is told of them.
type Listener interface {
	TakeNote(from string, note Note)
}

// Node is this router's end of the connections to other routers.
type Node struct {
	address     string
	credentials Identity
	handler     Handler
	counters    metrics.Registry

	mutex     sync.Mutex
	transport *quic.Transport
	listener  *quic.Listener
	dialled   map[Address]*quic.Conn
	accepted  int
}

// Address is where a router is reached and the instance that has to answer there.
type Address struct {
	Instance string
	// Address is an IP address with a port.
	Address string
}

// NewNode returns a node that will listen at an IP address with a UDP port.
func NewNode(address string, credentials Identity, handler Handler, counters metrics.Registry) *Node {
	return &Node{address: address, credentials: credentials, handler: handler, counters: counters}
}

// Listen opens the socket. It returns the address in use.
func (n *Node) Listen(ctx context.Context) (string, error) {
	if _, err := n.credentials.check(); err != nil {
		return "", err
	}
	socket, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", n.address)
	if err != nil {
		return "", fmt.Errorf("opening the peers' socket: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(n.credentials.serverConfig(), quicConfig())
	if err != nil {
		return "", errors.Join(fmt.Errorf("listening for peers: %w", err), socket.Close())
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.transport, n.listener = transport, listener
	return socket.LocalAddr().String(), nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		EnableDatagrams:       true,
		Allow0RTT:             false,
	}
}

// Run answers other routers until ctx ends. Listen comes first.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	var served sync.WaitGroup
	defer served.Wait()
	for {
		connection, err := n.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accepting a peer: %w", err)
		}
		if !n.enter() {
			n.count(connectionsRefused)
			_ = connection.CloseWithError(0, "too many connections")
			continue
		}
		s := &session{node: n, connection: connection}
		served.Go(func() { s.run(ctx) })
	}
}

func (n *Node) enter() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.accepted >= maxConnections {
		return false
	}
	n.accepted++
	return true
}

func (n *Node) leave() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.accepted--
}

func (n *Node) close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, c := range n.dialled {
		_ = c.CloseWithError(0, "router ends")
	}
	_ = n.listener.Close()
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
}

// session answers one router that has connected.
type session struct {
	node       *Node
	connection *quic.Conn
}

func (s *session) run(ctx context.Context) {
	defer s.node.leave()
	stop := context.AfterFunc(ctx, func() { _ = s.connection.CloseWithError(0, "router ends") })
	defer stop()
	name, err := peerName(s.connection.ConnectionState().TLS)
	if err != nil {
		s.node.count(connectionsRefused)
		_ = s.connection.CloseWithError(0, err.Error())
		return
	}
	var answered sync.WaitGroup
	defer answered.Wait()
	if listener, ok := s.node.handler.(Listener); ok {
		notes := &notes{connection: s.connection, from: name, listener: listener}
		answered.Go(func() { notes.run(ctx) })
	}
	for {
		stream, err := s.connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		x := &exchange{node: s.node, from: name, stream: stream}
		answered.Go(x.run)
	}
}

// notes takes the notes of one router in.
type notes struct {
	connection *quic.Conn
	from       string
	listener   Listener
}

func (n *notes) run(ctx context.Context) {
	for {
		data, err := n.connection.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		note := Note{}
		if rest, err := note.UnmarshalMsg(data); err == nil && len(rest) == 0 && note.Tokens > 0 {
			n.listener.TakeNote(n.from, note)
		}
	}
}

func peerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", ErrNoName
	}
	return nameOf(state.PeerCertificates[0])
}

// exchange answers one request.
type exchange struct {
	node   *Node
	from   string
	stream *quic.Stream
}

func (x *exchange) run() {
	defer func() { _ = x.stream.Close() }()
	_ = x.stream.SetDeadline(time.Now().Add(messageTimeout))
	data, err := readBounded(x.stream, MaxRequestBytes)
	a := answer{Refusal: ErrMalformed.Error()}
	if err == nil {
		a = x.node.answer(x.stream.Context(), x.from, data)
	}
	if a.Refusal != "" {
		x.node.count(requestsRefused)
	}
	encoded, err := a.MarshalMsg(nil)
	if err != nil {
		x.stream.CancelWrite(0)
		return
	}
	_, _ = x.stream.Write(encoded)
}

// answer does what a request asks for. Nothing of a request is trusted but the name of its sender.
func (n *Node) answer(ctx context.Context, from string, data []byte) answer {
	r := request{}
	if rest, err := r.UnmarshalMsg(data); err != nil || len(rest) > 0 {
		return answer{Refusal: ErrMalformed.Error()}
	}
	switch r.Kind {
	case copyMessage:
		if err := n.handler.AcceptCopy(from, Copy{Partition: r.Partition, Payload: r.Payload}); err != nil {
			return answer{Refusal: refusalText(err)}
		}
		n.count(copiesAccepted)
		return answer{}
	case configurationMessage:
		return answer{Entries: newEntries(n.handler.Configuration(platform.Offset(r.Next)))}
	case tokensMessage:
		return n.giveTokens(from, r.Payload)
	case giftMessage:
		return n.takeTokens(r.Payload, func(g Giver, gift tokenRequest) bool { return g.TakeTokens(from, gift.Team, gift.Tokens) })
	case repaymentMessage:
		return n.takeTokens(r.Payload, func(g Giver, gift tokenRequest) bool { return g.RepayTokens(from, gift.Team, gift.Tokens) })
	case rosterMessage:
		return n.listRouters()
	case voidMessage:
		return n.voidLoan(from, r.Payload)
	case loanMessage:
		return n.lendTokens(ctx, from, r.Payload)
	default:
		return answer{Refusal: ErrMalformed.Error()}
	}
}

func (n *Node) listRouters() answer {
	lister, ok := n.handler.(Lister)
	if !ok {
		return answer{Refusal: ErrMalformed.Error()}
	}
	routers, ok := lister.ListRouters()
	if !ok {
		return answer{Refusal: ErrRefused.Error()}
	}
	return single(json.Marshal(routers))
}

// readTokens returns the handler and the request of a message about tokens.
func (n *Node) readTokens(payload []byte) (Giver, tokenRequest, bool) {
	giver, ok := n.handler.(Giver)
	r := tokenRequest{}
	rest, err := r.UnmarshalMsg(payload)
	return giver, r, ok && err == nil && len(rest) == 0 && r.Tokens > 0
}

func (n *Node) giveTokens(from string, payload []byte) answer {
	giver, asked, ok := n.readTokens(payload)
	if !ok {
		return answer{Refusal: ErrMalformed.Error()}
	}
	given := tokenAnswer{Tokens: giver.GiveTokens(from, asked.Team, asked.Tokens, asked.CutOff)}
	return single(given.MarshalMsg(nil))
}

// readLoan returns the handler and the request of a message about a loan.
func (n *Node) readLoan(payload []byte) (Giver, LoanRequest, bool) {
	giver, ok := n.handler.(Giver)
	r := LoanRequest{}
	rest, err := r.UnmarshalMsg(payload)
	return giver, r, ok && err == nil && len(rest) == 0
}

func (n *Node) lendTokens(ctx context.Context, from string, payload []byte) answer {
	giver, asked, ok := n.readLoan(payload)
	if !ok || asked.Least <= 0 || asked.Least > asked.Wanted {
		return answer{Refusal: ErrMalformed.Error()}
	}
	loan, err := giver.LendTokens(ctx, from, asked)
	if err != nil {
		return answer{Refusal: refusalText(err)}
	}
	return single(loan.MarshalMsg(nil))
}

func (n *Node) voidLoan(from string, payload []byte) answer {
	giver, void, ok := n.readLoan(payload)
	if !ok || !giver.VoidLoan(from, void.Team, void.Identifier) {
		return answer{Refusal: ErrMalformed.Error()}
	}
	return answer{}
}

// takeTokens lets a handler take what a message hands over.
func (n *Node) takeTokens(payload []byte, take func(Giver, tokenRequest) bool) answer {
	taker, gift, ok := n.readTokens(payload)
	if !ok || !take(taker, gift) {
		return answer{Refusal: ErrMalformed.Error()}
	}
	return answer{}
}

// readBounded reads to the end of a stream; a longer message than limit is malformed.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrMalformed
	}
	return data, nil
}
