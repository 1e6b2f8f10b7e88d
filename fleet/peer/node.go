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
	// keepAliveInterval is the time between two keep-alives of an idle connection.
	keepAliveInterval = 2 * time.Second
	// requestTimeout bounds the handling of one request by the receiver.
	requestTimeout = 5 * time.Second
	// maxStreamsPerConnection bounds the requests in progress on one connection.
	maxStreamsPerConnection = 64
	// maxAcceptedConnections bounds the connections that other routers may open.
	maxAcceptedConnections = 1024
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
	address  string
	identity Identity
	handler  Handler
	counters metrics.Registry

	mutex               sync.Mutex
	transport           *quic.Transport
	listener            *quic.Listener
	dialled             map[Address]*quic.Conn
	acceptedConnections int
}

// Address is where a router is reached and the instance that has to answer there.
type Address struct {
	Instance string
	// Address is an IP address with a port.
	Address string
}

// NewNode returns a node that will listen at an IP address with a UDP port.
func NewNode(address string, identity Identity, handler Handler, counters metrics.Registry) *Node {
	return &Node{address: address, identity: identity, handler: handler, counters: counters}
}

// Listen opens the socket. It returns the address in use.
func (n *Node) Listen(ctx context.Context) (string, error) {
	if _, err := n.identity.validate(); err != nil {
		return "", err
	}
	socket, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", n.address)
	if err != nil {
		return "", fmt.Errorf("opening the peers' socket: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(n.identity.serverConfig(), quicConfig())
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
		KeepAlivePeriod:       keepAliveInterval,
		MaxIncomingStreams:    maxStreamsPerConnection,
		MaxIncomingUniStreams: -1,
		EnableDatagrams:       true,
		Allow0RTT:             false,
	}
}

// Run answers other routers until ctx ends. Listen comes first.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	for {
		connection, err := n.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accepting a peer: %w", err)
		}
		if !n.admitConnection() {
			n.increment(connectionsRefused)
			_ = connection.CloseWithError(0, "too many connections")
			continue
		}
		s := &session{node: n, connection: connection}
		sessions.Go(func() { s.run(ctx) })
	}
}

func (n *Node) admitConnection() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.acceptedConnections >= maxAcceptedConnections {
		return false
	}
	n.acceptedConnections++
	return true
}

func (n *Node) releaseConnection() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.acceptedConnections--
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
	defer s.node.releaseConnection()
	stop := context.AfterFunc(ctx, func() { _ = s.connection.CloseWithError(0, "router ends") })
	defer stop()
	name, err := peerName(s.connection.ConnectionState().TLS)
	if err != nil {
		s.node.increment(connectionsRefused)
		_ = s.connection.CloseWithError(0, err.Error())
		return
	}
	var handlers sync.WaitGroup
	defer handlers.Wait()
	if handler, ok := s.node.handler.(Listener); ok {
		receiver := &noticeReceiver{connection: s.connection, from: name, handler: handler}
		handlers.Go(func() { receiver.run(ctx) })
	}
	for {
		stream, err := s.connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		h := &requestHandler{node: s.node, from: name, stream: stream}
		handlers.Go(h.run)
	}
}

// noticeReceiver takes the noticeReceiver of one router in.
type noticeReceiver struct {
	connection *quic.Conn
	from       string
	handler    Listener
}

func (r *noticeReceiver) run(ctx context.Context) {
	for {
		data, err := r.connection.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		notice := Note{}
		if rest, err := notice.UnmarshalMsg(data); err == nil && len(rest) == 0 && notice.Tokens > 0 {
			r.handler.TakeNote(r.from, notice)
		}
	}
}

func peerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", ErrNoName
	}
	return instanceName(state.PeerCertificates[0])
}

// requestHandler answers one request.
type requestHandler struct {
	node   *Node
	from   string
	stream *quic.Stream
}

func (h *requestHandler) run() {
	defer func() { _ = h.stream.Close() }()
	_ = h.stream.SetDeadline(time.Now().Add(requestTimeout))
	data, err := readBounded(h.stream, MaxRequestBytes)
	a := answer{Refusal: ErrMalformed.Error()}
	if err == nil {
		a = h.node.answer(h.stream.Context(), h.from, data)
	}
	if a.Refusal != "" {
		h.node.increment(requestsRefused)
	}
	encoded, err := a.MarshalMsg(nil)
	if err != nil {
		h.stream.CancelWrite(0)
		return
	}
	_, _ = h.stream.Write(encoded)
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
		n.increment(copiesAccepted)
		return answer{}
	case configurationMessage:
		return answer{Entries: newEntries(n.handler.Configuration(platform.Offset(r.Next)))}
	case tokenRequestMessage:
		return n.grantTokens(from, r.Payload)
	case tokenTransferMessage:
		return n.acceptTokens(r.Payload, func(g Giver, transfer tokenRequest) bool { return g.TakeTokens(from, transfer.Team, transfer.Tokens) })
	case loanRepaymentMessage:
		return n.acceptTokens(r.Payload, func(g Giver, repaid tokenRequest) bool { return g.RepayTokens(from, repaid.Team, repaid.Tokens) })
	case rosterMessage:
		return n.listRouters()
	case loanVoidMessage:
		return n.voidLoan(from, r.Payload)
	case loanRequestMessage:
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
	return singlePayloadAnswer(json.Marshal(routers))
}

// decodeTokenRequest returns the handler and the request of a message about tokens.
func (n *Node) decodeTokenRequest(payload []byte) (Giver, tokenRequest, bool) {
	giver, ok := n.handler.(Giver)
	r := tokenRequest{}
	rest, err := r.UnmarshalMsg(payload)
	return giver, r, ok && err == nil && len(rest) == 0 && r.Tokens > 0
}

func (n *Node) grantTokens(from string, payload []byte) answer {
	giver, requested, ok := n.decodeTokenRequest(payload)
	if !ok {
		return answer{Refusal: ErrMalformed.Error()}
	}
	granted := tokenAnswer{Tokens: giver.GiveTokens(from, requested.Team, requested.Tokens, requested.CutOff)}
	return singlePayloadAnswer(granted.MarshalMsg(nil))
}

// decodeLoanRequest returns the handler and the request of a message about a loan.
func (n *Node) decodeLoanRequest(payload []byte) (Giver, LoanRequest, bool) {
	giver, ok := n.handler.(Giver)
	r := LoanRequest{}
	rest, err := r.UnmarshalMsg(payload)
	return giver, r, ok && err == nil && len(rest) == 0
}

func (n *Node) lendTokens(ctx context.Context, from string, payload []byte) answer {
	giver, requested, ok := n.decodeLoanRequest(payload)
	if !ok || requested.Least <= 0 || requested.Least > requested.Wanted {
		return answer{Refusal: ErrMalformed.Error()}
	}
	loan, err := giver.LendTokens(ctx, from, requested)
	if err != nil {
		return answer{Refusal: refusalText(err)}
	}
	return singlePayloadAnswer(loan.MarshalMsg(nil))
}

func (n *Node) voidLoan(from string, payload []byte) answer {
	giver, void, ok := n.decodeLoanRequest(payload)
	if !ok || !giver.VoidLoan(from, void.Team, void.Identifier) {
		return answer{Refusal: ErrMalformed.Error()}
	}
	return answer{}
}

// acceptTokens lets a handler take what a message hands over.
func (n *Node) acceptTokens(payload []byte, accept func(Giver, tokenRequest) bool) answer {
	giver, received, ok := n.decodeTokenRequest(payload)
	if !ok || !accept(giver, received) {
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
