package peer

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// purse hands out tokens.
type purse struct {
	holder
	mu     sync.Mutex
	tokens int64
	cutOff bool
	// loan is the newest loan's identifier.
	loan uint64
}

// contents returns the tokens, and whether the last one that asked was cut off.
func (p *purse) contents() (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens, p.cutOff
}

func (p *purse) GiveTokens(_, _ string, wanted int64, cutOff bool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	given := min(p.tokens, wanted)
	p.tokens -= given
	p.cutOff = cutOff
	return given
}

func (p *purse) TakeTokens(_, team string, tokens int64) bool {
	if team == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens += tokens
	return true
}

// LendTokens lends nothing of a team that it doesn't know.
func (p *purse) LendTokens(_ context.Context, _ string, r LoanRequest) (Loan, error) {
	if r.Team == "unknown" {
		return Loan{}, errors.New("unknown team")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens < r.Least {
		return Loan{Spent: true, CutOff: true}, nil
	}
	lent := min(p.tokens, r.Wanted)
	p.loan = r.Identifier
	p.tokens -= lent
	return Loan{Tokens: lent}, nil
}

// VoidLoan voids the newest loan.
func (p *purse) VoidLoan(_, _ string, identifier uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return identifier == p.loan
}

func (p *purse) RepayTokens(_, team string, tokens int64) bool {
	return p.TakeTokens("", team, tokens)
}

// pinnedEnd starts a router that trusts a roster and lists it there.
func pinnedEnd(t *testing.T, name string, roster *Roster, handler Handler) (*Node, Address) {
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
	rich := &purse{tokens: 100}
	asker, _ := pinnedEnd(t, "asker", roster, &purse{})
	_, giver := pinnedEnd(t, "giver", roster, rich)
	t.Run("asked for", func(t *testing.T) {
		got, err := asker.AskTokens(t.Context(), giver, "studio", 70, true)
		assert.NoError(t, err)
		assert.Equal(t, int64(70), got)
		_, cutOff := rich.contents()
		assert.Equal(t, true, cutOff)
		got, err = asker.AskTokens(t.Context(), giver, "studio", 70, false)
		assert.NoError(t, err)
		assert.Equal(t, int64(30), got)
	})
	t.Run("handed over", func(t *testing.T) {
		assert.NoError(t, asker.GiveTokens(t.Context(), giver, "studio", 5))
		tokens, _ := rich.contents()
		assert.Equal(t, int64(5), tokens)
		assert.Fails(t, asker.GiveTokens(t.Context(), giver, "", 5))
	})
	t.Run("lent and repaid", func(t *testing.T) {
		borrow := func(team string, least int64) (Loan, error) {
			return asker.BorrowTokens(t.Context(), giver, LoanRequest{Team: team, Least: least, Wanted: 4, Identifier: 7})
		}
		loan, err := borrow("studio", 3)
		assert.NoError(t, err)
		assert.Equal(t, Loan{Tokens: 4}, loan)
		assert.NoError(t, asker.VoidLoan(t.Context(), giver, "studio", 7))
		assert.Fails(t, asker.VoidLoan(t.Context(), giver, "studio", 8))
		loan, err = borrow("studio", 4)
		assert.NoError(t, err)
		assert.Equal(t, Loan{Spent: true, CutOff: true}, loan)
		assert.NoError(t, asker.RepayTokens(t.Context(), giver, "studio", 3))
		tokens, _ := rich.contents()
		assert.Equal(t, int64(4), tokens)
		assert.Fails(t, asker.RepayTokens(t.Context(), giver, "", 3))
		_, err = borrow("unknown", 4)
		assert.ErrorIs(t, err, ErrRefused)
		for _, least := range []int64{-4, 0, 5} {
			_, err = borrow("studio", least)
			assert.ErrorIs(t, err, ErrMalformed)
		}
	})
	t.Run("malformed", func(t *testing.T) {
		for _, wanted := range []int64{0, -1} {
			_, err := asker.AskTokens(t.Context(), giver, "studio", wanted, false)
			assert.Fails(t, err)
		}
	})
	t.Run("not by a handler without tokens", func(t *testing.T) {
		_, plain := pinnedEnd(t, "plain", roster, &holder{})
		_, err := asker.AskTokens(t.Context(), plain, "studio", 1, false)
		assert.ErrorIs(t, err, ErrMalformed)
	})
}

func TestPinned(t *testing.T) {
	roster := &Roster{}
	_, known := pinnedEnd(t, "known", roster, &purse{tokens: 10})
	t.Run("a router that is not listed is not served", func(t *testing.T) {
		own := &Roster{}
		listed, _ := roster.Router("known")
		own.Put(listed)
		stranger, _ := pinnedEnd(t, "stranger", own, &purse{})
		_, err := stranger.AskTokens(t.Context(), known, "studio", 1, false)
		assert.Fails(t, err)
	})
	t.Run("a router that took another one's name is not served", func(t *testing.T) {
		own := &Roster{}
		listed, _ := roster.Router("known")
		own.Put(listed)
		_, _ = pinnedEnd(t, "real", roster, &purse{})
		fake, _ := pinnedEnd(t, "real", own, &purse{})
		_, err := fake.AskTokens(t.Context(), known, "studio", 1, false)
		assert.Fails(t, err)
	})
	t.Run("an address that another router has by now is not trusted", func(t *testing.T) {
		asker, _ := pinnedEnd(t, "asker", roster, &purse{})
		_, other := pinnedEnd(t, "other", roster, &purse{tokens: 10})
		_, err := asker.AskTokens(t.Context(), Address{Instance: "known", Address: other.Address}, "studio", 1, false)
		assert.Fails(t, err)
	})
	t.Run("an instance that is not listed is not called", func(t *testing.T) {
		asker, _ := pinnedEnd(t, "asker-2", roster, &purse{})
		_, err := asker.AskTokens(t.Context(), Address{Instance: "nobody", Address: known.Address}, "studio", 1, false)
		assert.Equal(t, true, errors.Is(err, ErrUntrusted))
	})
	t.Run("a name is needed", func(t *testing.T) {
		_, err := (&Pinned{}).check()
		assert.ErrorIs(t, err, ErrNoName)
	})
}
