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
	// handshakeTimeout bounds the QUIC handshake of a new connection.
	handshakeTimeout = 2 * time.Second
	// idleTimeout is how long a connection may receive no packets, keep-alives included, before it is closed, so that the
	// next request to the unresponsive router dials a new one.
	idleTimeout = 6 * time.Second
	// keepAliveInterval is the interval of keep-alives on an idle connection.
	keepAliveInterval = 2 * time.Second
	// requestTimeout bounds the handling of a request by its receiver, and the wait of a sender whose context has no deadline.
	requestTimeout = 5 * time.Second
	// maxStreamsPerConnection is the maximum number of requests in progress on a connection that another router opened.
	maxStreamsPerConnection = 256
	// streamWindow and connectionWindow bound the bytes that a router holds for a stream, or a connection, whose data it hasn't read.
	streamWindow     = 256 << 10
	connectionWindow = 8 << 20
	// maxAcceptedConnections is the maximum number of open connections from other routers.
	maxAcceptedConnections = 1024
)

// Handler handles the requests of other routers.
type Handler interface {
	// AcceptCopy stores a copy of a ledger group, which the router on the given instance sent, or refuses it with
	// ErrQueueFull, ErrForeignWriter or ErrMalformed.
	AcceptCopy(from string, c Copy) error
	// Configuration returns the configuration stream's entries from offset next on, as far as this router has them.
	Configuration(next platform.Offset) []platform.Entry
}

// TokenHandler is implemented by a Handler that also handles requests about prepaid tokens. Each method gets the
// authenticated instance of the router that sent the request, the sender.
type TokenHandler interface {
	// AcceptTokens accepts a team's tokens that the sender transfers to this router. It returns false if it rejects
	// them.
	AcceptTokens(from, team string, tokens int64) bool
	// GrantTokens transfers up to the wanted number of a team's tokens to the sender and returns the amount, which this
	// router must no longer use. With cutOff the sender can't reach the platform, and so can't draw tokens itself.
	GrantTokens(from, team string, wanted int64, cutOff bool) int64
	// LendTokens lends the sender at least the minimum of the loan request, and up to its maximum if so many tokens are free.
	// It may block until it has enough tokens. After an error nothing is lent.
	LendTokens(ctx context.Context, from string, r LoanRequest) (Loan, error)
	// VoidLoan cancels a loan whose answer the sender did not receive and whose tokens it will never use. If the loan has not
	// been granted yet, it must not be granted later. It returns false if it could not cancel the loan.
	VoidLoan(from, team string, identifier uint64) bool
	// AcceptRepayment accepts tokens that the sender had borrowed from this router and did not use. It returns false if
	// it rejects them.
	AcceptRepayment(from, team string, tokens int64) bool
}

// RouterLister is implemented by a Handler that also answers requests for the site's routers.
type RouterLister interface {
	// ListRouters returns the entries of the site's routers, or false if this router can't currently read them from the
	// platform.
	ListRouters() ([]Router, bool)
}

// NoticeHandler is implemented by a Handler that also receives placement notices.
type NoticeHandler interface {
	// HandleNotice applies a placement notice that the router on the given instance sent.
	HandleNotice(from string, notice PlacementNotice)
}

// StreamKeeper is implemented by a Handler that also keeps the software versions of other routers' streams.
type StreamKeeper interface {
	// KeepVersions keeps the versions of streams.
	KeepVersions(list []StreamVersion)
	// Version returns the version of a stream. If that isn't known, it returns the only version of the service that has served lately, with
	// a Stream of zero, or false if there were several.
	Version(stream uint64, service string) (StreamVersion, bool)
}

// NumberingObserver is implemented by a Handler that also tells how the versions of services number the events of their streams.
type NumberingObserver interface {
	// ObservedNumberings returns what this router has observed itself.
	ObservedNumberings() []VersionNumbering
}

// Node accepts connections of other routers, handles their requests, and sends requests to them over connections that it
// dials and reuses. The methods that send requests are safe for concurrent use.
type Node struct {
	address  string
	identity Identity
	handler  Handler
	counters metrics.Registry

	handshakes handshakes

	mutex               sync.Mutex
	transport           *quic.Transport
	listener            *quic.Listener
	dialled             map[Address]*quic.Conn
	acceptedConnections int
	// exchanges counts the exchanges in progress by dialled connection.
	exchanges map[*quic.Conn]int
}

// Address is the network address of a router, and the instance that the router there must prove to be.
type Address struct {
	Instance string
	// Address is an IP address with a port.
	Address string
}

// NewNode returns a node for an address of the form IP:port, on which Listen opens a UDP socket.
func NewNode(address string, identity Identity, handler Handler, counters metrics.Registry) *Node {
	return &Node{address: address, identity: identity, handler: handler, counters: counters}
}

// Listen validates the identity and opens the UDP socket. It returns the actual address, which has the port that the system
// chose if the node's address has port 0.
func (n *Node) Listen(ctx context.Context) (string, error) {
	if _, err := n.identity.validate(); err != nil {
		return "", err
	}
	socket, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", n.address)
	if err != nil {
		return "", fmt.Errorf("opening the UDP socket for peers: %w", err)
	}
	n.handshakes.refused = func() { n.increment(handshakesRefused) }
	transport := &quic.Transport{Conn: socket, VerifySourceAddress: n.handshakes.needsProof, ConnContext: n.handshakes.begin}
	listener, err := transport.Listen(n.identity.serverConfig(), quicConfig())
	if err != nil {
		return "", errors.Join(fmt.Errorf("listening for peers: %w", err), socket.Close())
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.transport, n.listener = transport, listener
	return socket.LocalAddr().String(), nil
}

// quicConfig returns the QUIC settings of accepted and dialled connections. They enable datagrams for placement notices and
// disable unidirectional streams.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxStreamsPerConnection,

		InitialStreamReceiveWindow: streamWindow,
		MaxStreamReceiveWindow:     streamWindow,
		MaxConnectionReceiveWindow: connectionWindow,

		MaxIncomingUniStreams: -1,
		EnableDatagrams:       true,
		Allow0RTT:             false,
	}
}

// Run accepts connections and handles requests of other routers until ctx ends. It must be called after Listen.
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
			return fmt.Errorf("accepting a peer connection: %w", err)
		}
		n.handshakes.complete(connection.Context())
		if !n.admitConnection() {
			n.increment(connectionsRefused)
			_ = connection.CloseWithError(0, "too many connections")
			continue
		}
		s := &session{node: n, connection: connection}
		sessions.Go(func() { s.run(ctx) })
	}
}

// admitConnection counts a new accepted connection. It returns false if there are already maxAcceptedConnections.
func (n *Node) admitConnection() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.acceptedConnections >= maxAcceptedConnections {
		return false
	}
	n.acceptedConnections++
	return true
}

// releaseConnection decrements the number of accepted connections when the session of one of them ends.
func (n *Node) releaseConnection() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.acceptedConnections--
}

// close closes the node's dialled connections, its listener and its UDP socket.
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

// session handles the requests and placement notices on one accepted connection.
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
	if handler, ok := s.node.handler.(NoticeHandler); ok {
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

// noticeReceiver passes the placement notices that arrive on one connection to the handler.
type noticeReceiver struct {
	connection *quic.Conn
	from       string
	handler    NoticeHandler
}

// run receives datagrams until the connection or the context ends. It ignores datagrams that are not valid notices.
func (r *noticeReceiver) run(ctx context.Context) {
	for {
		data, err := r.connection.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		notice := PlacementNotice{}
		if rest, err := notice.UnmarshalMsg(data); err == nil && len(rest) == 0 && notice.Tokens > 0 {
			r.handler.HandleNotice(r.from, notice)
		}
	}
}

// peerName returns the instance in the certificate of the router at the other end of a connection.
func peerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", ErrNoName
	}
	return instanceName(state.PeerCertificates[0])
}

// requestHandler reads one request from its stream and writes the answer.
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
		if isExchange(data) {
			h.serveExchange(data)
			return
		}
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

// answer decodes a request, handles it and returns the answer. Only the instance of the request's sender is authenticated; the
// contents of the request are untrusted.
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
		return n.acceptTokens(r.Payload, func(h TokenHandler, t tokenRequest) bool { return h.AcceptTokens(from, t.Team, t.Tokens) })
	case loanRepaymentMessage:
		return n.acceptTokens(r.Payload, func(h TokenHandler, t tokenRequest) bool { return h.AcceptRepayment(from, t.Team, t.Tokens) })
	case rosterMessage:
		return n.listRouters()
	case clockMessage:
		reading := clockAnswer{Milliseconds: time.Now().UnixMilli()}
		return singlePayloadAnswer(reading.MarshalMsg(nil))
	case loanVoidMessage:
		return n.voidLoan(from, r.Payload)
	case loanRequestMessage:
		return n.lendTokens(ctx, from, r.Payload)
	case streamVersionsMessage, streamLookupMessage, numberingsMessage:
		return n.answerAboutStreams(r)
	default:
		return answer{Refusal: ErrMalformed.Error()}
	}
}

// answerAboutStreams answers a request about the versions of streams.
func (n *Node) answerAboutStreams(r request) answer {
	switch r.Kind {
	case streamVersionsMessage:
		return n.keepVersions(r.Payload)
	case streamLookupMessage:
		return n.lookUpVersion(r.Payload)
	default:
		return n.listNumberings()
	}
}

// listNumberings answers with what the handler has observed of the numbers of events.
func (n *Node) listNumberings() answer {
	observer, ok := n.handler.(NumberingObserver)
	if !ok {
		return answer{Refusal: ErrMalformed.Error()}
	}
	return singlePayloadAnswer((&versionNumberings{List: observer.ObservedNumberings()}).MarshalMsg(nil))
}

// keepVersions has the handler keep the versions of streams.
func (n *Node) keepVersions(payload []byte) answer {
	keeper, ok := n.handler.(StreamKeeper)
	received := streamVersions{}
	if rest, err := received.UnmarshalMsg(payload); !ok || err != nil || len(rest) > 0 {
		return answer{Refusal: ErrMalformed.Error()}
	}
	keeper.KeepVersions(received.List)
	return answer{}
}

// lookUpVersion answers with the version of a stream, or with no payload if the handler doesn't know it.
func (n *Node) lookUpVersion(payload []byte) answer {
	keeper, ok := n.handler.(StreamKeeper)
	requested := StreamVersion{}
	if rest, err := requested.UnmarshalMsg(payload); !ok || err != nil || len(rest) > 0 {
		return answer{Refusal: ErrMalformed.Error()}
	}
	known, isKnown := keeper.Version(requested.Stream, requested.Service)
	if !isKnown {
		return answer{}
	}
	return singlePayloadAnswer(known.MarshalMsg(nil))
}

// listRouters answers a request for the site's routers with one payload, their JSON encoding.
func (n *Node) listRouters() answer {
	lister, ok := n.handler.(RouterLister)
	if !ok {
		return answer{Refusal: ErrMalformed.Error()}
	}
	routers, ok := lister.ListRouters()
	if !ok {
		return answer{Refusal: ErrRefused.Error()}
	}
	return singlePayloadAnswer(json.Marshal(routers))
}

// decodeTokenRequest decodes the payload of a request about tokens. It returns the handler as a TokenHandler, and false
// if the handler doesn't implement TokenHandler or the payload is invalid.
func (n *Node) decodeTokenRequest(payload []byte) (TokenHandler, tokenRequest, bool) {
	handler, ok := n.handler.(TokenHandler)
	r := tokenRequest{}
	rest, err := r.UnmarshalMsg(payload)
	return handler, r, ok && err == nil && len(rest) == 0 && r.Tokens > 0
}

// grantTokens answers a request for tokens with the amount that the handler transfers.
func (n *Node) grantTokens(from string, payload []byte) answer {
	handler, requested, ok := n.decodeTokenRequest(payload)
	if !ok {
		return answer{Refusal: ErrMalformed.Error()}
	}
	granted := tokenAnswer{Tokens: handler.GrantTokens(from, requested.Team, requested.Tokens, requested.CutOff)}
	return singlePayloadAnswer(granted.MarshalMsg(nil))
}

// decodeLoanRequest decodes the payload of a request about a loan. It returns the handler as a TokenHandler, and false
// if the handler doesn't implement TokenHandler or the payload is invalid.
func (n *Node) decodeLoanRequest(payload []byte) (TokenHandler, LoanRequest, bool) {
	handler, ok := n.handler.(TokenHandler)
	r := LoanRequest{}
	rest, err := r.UnmarshalMsg(payload)
	return handler, r, ok && err == nil && len(rest) == 0
}

// lendTokens answers a request for a loan with the Loan that the handler grants.
func (n *Node) lendTokens(ctx context.Context, from string, payload []byte) answer {
	handler, requested, ok := n.decodeLoanRequest(payload)
	if !ok || requested.Minimum <= 0 || requested.Minimum > requested.Maximum {
		return answer{Refusal: ErrMalformed.Error()}
	}
	loan, err := handler.LendTokens(ctx, from, requested)
	if err != nil {
		return answer{Refusal: refusalText(err)}
	}
	return singlePayloadAnswer(loan.MarshalMsg(nil))
}

// voidLoan has the handler void a loan.
func (n *Node) voidLoan(from string, payload []byte) answer {
	handler, void, ok := n.decodeLoanRequest(payload)
	if !ok || !handler.VoidLoan(from, void.Team, void.Identifier) {
		return answer{Refusal: ErrMalformed.Error()}
	}
	return answer{}
}

// acceptTokens passes a transfer or repayment of tokens to accept. If accept returns false, the answer is a refusal with
// ErrMalformed.
func (n *Node) acceptTokens(payload []byte, accept func(TokenHandler, tokenRequest) bool) answer {
	handler, received, ok := n.decodeTokenRequest(payload)
	if !ok || !accept(handler, received) {
		return answer{Refusal: ErrMalformed.Error()}
	}
	return answer{}
}

// readBounded reads a message to the end of a stream. It fails with ErrMalformed if the message is longer than limit bytes.
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
