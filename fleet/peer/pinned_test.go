package peer

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// tokenStore is a Handler and TokenHandler with an amount of tokens that it transfers and lends, whatever the team.
type tokenStore struct {
	copyRecorder
	mu     sync.Mutex
	tokens int64
	// cutOff is the argument of the last GrantTokens.
	cutOff bool
	// newestLoan is the identifier of the newest loan.
	newestLoan uint64
}

// balance returns the remaining tokens, and whether the last requester was cut off from the platform.
func (s *tokenStore) balance() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens, s.cutOff
}

func (s *tokenStore) GrantTokens(_, _ string, wanted int64, cutOff bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := min(s.tokens, wanted)
	s.tokens -= granted
	s.cutOff = cutOff
	return granted
}

func (s *tokenStore) AcceptTokens(_, team string, tokens int64) bool {
	if team == "" {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens += tokens
	return true
}

// LendTokens lends up to the wanted tokens. If fewer than the minimum remain, it lends nothing and sets both flags of the
// loan. It fails for the team "unknown".
func (s *tokenStore) LendTokens(_ context.Context, _ string, r LoanRequest) (Loan, error) {
	if r.Team == "unknown" {
		return Loan{}, errors.New("unknown team")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < r.Minimum {
		return Loan{Spent: true, CutOff: true}, nil
	}
	lent := min(s.tokens, r.Maximum)
	s.newestLoan = r.Identifier
	s.tokens -= lent
	return Loan{Tokens: lent}, nil
}

// VoidLoan returns true for the newest loan only. It doesn't restore the loan's tokens.
func (s *tokenStore) VoidLoan(_, _ string, identifier uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return identifier == s.newestLoan
}

func (s *tokenStore) AcceptRepayment(_, team string, tokens int64) bool {
	return s.AcceptTokens("", team, tokens)
}

// startPinnedNode runs a node, until the test ends, with a PinnedIdentity that uses the roster, and adds it to the
// roster.
func startPinnedNode(t *testing.T, name string, roster *Roster, handler Handler) (*Node, Address) {
	t.Helper()
	identity, err := NewPinned(name, roster)
	assert.Must(t, err)
	node := NewNode("127.0.0.1:0", identity, handler, metrics.NewRegistry())
	address, err := node.Listen(t.Context())
	assert.Must(t, err)
	go func() { _ = node.Run(t.Context()) }()
	roster.Put(Router{Instance: name, Address: address, Fingerprint: identity.Fingerprint})
	return node, Address{Instance: name, Address: address}
}

func TestTokens(t *testing.T) {
	roster := &Roster{}
	store := &tokenStore{tokens: 100}
	requester, _ := startPinnedNode(t, "asker", roster, &tokenStore{})
	_, holder := startPinnedNode(t, "giver", roster, store)
	t.Run("requested tokens", func(t *testing.T) {
		got, err := requester.RequestTokens(t.Context(), holder, "studio", 70, true)
		assert.NoError(t, err)
		assert.Equal(t, int64(70), got)
		_, cutOff := store.balance()
		assert.Equal(t, true, cutOff)
		got, err = requester.RequestTokens(t.Context(), holder, "studio", 70, false)
		assert.NoError(t, err)
		assert.Equal(t, int64(30), got)
	})
	t.Run("transferred tokens", func(t *testing.T) {
		assert.NoError(t, requester.TransferTokens(t.Context(), holder, "studio", 5))
		tokens, _ := store.balance()
		assert.Equal(t, int64(5), tokens)
		assert.Fails(t, requester.TransferTokens(t.Context(), holder, "", 5))
	})
	t.Run("loan, void and repayment", func(t *testing.T) {
		borrow := func(team string, minimum int64) (Loan, error) {
			return requester.BorrowTokens(t.Context(), holder, LoanRequest{Team: team, Minimum: minimum, Maximum: 4, Identifier: 7})
		}
		loan, err := borrow("studio", 3)
		assert.NoError(t, err)
		assert.Equal(t, Loan{Tokens: 4}, loan)
		assert.NoError(t, requester.VoidLoan(t.Context(), holder, "studio", 7))
		assert.Fails(t, requester.VoidLoan(t.Context(), holder, "studio", 8))
		loan, err = borrow("studio", 4)
		assert.NoError(t, err)
		assert.Equal(t, Loan{Spent: true, CutOff: true}, loan)
		assert.NoError(t, requester.RepayTokens(t.Context(), holder, "studio", 3))
		tokens, _ := store.balance()
		assert.Equal(t, int64(4), tokens)
		assert.Fails(t, requester.RepayTokens(t.Context(), holder, "", 3))
		_, err = borrow("unknown", 4)
		assert.ErrorIs(t, err, ErrRefused)
		for _, minimum := range []int64{-4, 0, 5} {
			_, err = borrow("studio", minimum)
			assert.ErrorIs(t, err, ErrMalformed)
		}
	})
	t.Run("malformed", func(t *testing.T) {
		for _, wanted := range []int64{0, -1} {
			_, err := requester.RequestTokens(t.Context(), holder, "studio", wanted, false)
			assert.Fails(t, err)
		}
	})
	t.Run("handler that is no TokenHandler", func(t *testing.T) {
		_, plain := startPinnedNode(t, "plain", roster, &copyRecorder{})
		_, err := requester.RequestTokens(t.Context(), plain, "studio", 1, false)
		assert.ErrorIs(t, err, ErrMalformed)
	})
}

func TestPinnedIdentity(t *testing.T) {
	roster := &Roster{}
	_, known := startPinnedNode(t, "known", roster, &tokenStore{tokens: 10})
	t.Run("requests of an unlisted router are rejected", func(t *testing.T) {
		strangerRoster := &Roster{}
		listed, _ := roster.Router("known")
		strangerRoster.Put(listed)
		unlisted, _ := startPinnedNode(t, "stranger", strangerRoster, &tokenStore{})
		_, err := unlisted.RequestTokens(t.Context(), known, "studio", 1, false)
		assert.Fails(t, err)
	})
	t.Run("requests of a router with another one's instance name are rejected", func(t *testing.T) {
		impostorRoster := &Roster{}
		listed, _ := roster.Router("known")
		impostorRoster.Put(listed)
		_, _ = startPinnedNode(t, "real", roster, &tokenStore{})
		impostor, _ := startPinnedNode(t, "real", impostorRoster, &tokenStore{})
		_, err := impostor.RequestTokens(t.Context(), known, "studio", 1, false)
		assert.Fails(t, err)
	})
	t.Run("another router at a listed address is not trusted", func(t *testing.T) {
		requester, _ := startPinnedNode(t, "asker", roster, &tokenStore{})
		_, other := startPinnedNode(t, "other", roster, &tokenStore{tokens: 10})
		_, err := requester.RequestTokens(t.Context(), Address{Instance: "known", Address: other.Address}, "studio", 1, false)
		assert.Fails(t, err)
	})
	t.Run("no connection is opened to an unlisted instance", func(t *testing.T) {
		requester, _ := startPinnedNode(t, "asker-2", roster, &tokenStore{})
		_, err := requester.RequestTokens(t.Context(), Address{Instance: "nobody", Address: known.Address}, "studio", 1, false)
		assert.Equal(t, true, errors.Is(err, ErrUntrusted))
	})
	t.Run("an identity without an instance is invalid", func(t *testing.T) {
		_, err := (&PinnedIdentity{}).validate()
		assert.ErrorIs(t, err, ErrNoName)
	})
}
