package caller

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// teamLimiter holds each team's use of this router. Its zero value is ready for use.
type teamLimiter struct {
	mutex  sync.Mutex
	usages map[string]*teamUse
}

// teamUse is one team's use under the limits that were last in force.
type teamUse struct {
	limits     operator.TeamLimits
	requests   *rate.Limiter
	tokens     *rate.Limiter
	inProgress int
}

// acquire admits a request of the given cost or refuses it. The returned function ends the request.
func (l *teamLimiter) acquire(team operator.Team, cost ledger.Tokens) (func(), error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	usage := l.usageOf(team)
	if limit := team.Limits.Concurrency; limit > 0 && usage.inProgress >= limit {
		return nil, verdict.Refuse(verdict.ConcurrencyLimited, "")
	}
	now := time.Now()
	if !usage.requests.AllowN(now, 1) {
		return nil, verdict.Refuse(verdict.RateLimited, "requests a second")
	}
	if !usage.tokens.AllowN(now, min(int(cost), usage.tokens.Burst())) {
		return nil, verdict.Refuse(verdict.RateLimited, "tokens a second")
	}
	usage.inProgress++
	return func() { l.release(usage) }, nil
}

func (l *teamLimiter) release(usage *teamUse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	usage.inProgress--
}

// usageOf returns a team's usageOf, with limiters that follow the limits in force.
func (l *teamLimiter) usageOf(team operator.Team) *teamUse {
	if l.usages == nil {
		l.usages = make(map[string]*teamUse)
	}
	usage, found := l.usages[team.Name]
	if !found {
		usage = &teamUse{}
		l.usages[team.Name] = usage
	}
	if !found || usage.limits != team.Limits {
		usage.limits = team.Limits
		usage.requests = newLimiter(team.Limits.RequestsPerSecond)
		usage.tokens = newLimiter(team.Limits.TokensPerSecond)
	}
	return usage
}

// newLimiter returns a limiter with a burst of one second's allowance; zero means no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, unlimitedBurst)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// unlimitedBurst is above the cost of any request, in tokens.
const unlimitedBurst = 1 << 40
