package caller

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// teamLimiter enforces the teams' limits of requests per second, tokens per second and concurrency. Each router enforces
// them separately for its own traffic. The zero value is ready for use.
type teamLimiter struct {
	mutex  sync.Mutex
	usages map[string]*teamUsage
}

// teamUsage holds the rate limiters of one team and its number of requests in progress. limits are the team's limits at its
// latest request, for which the rate limiters were created.
type teamUsage struct {
	limits     operator.TeamLimits
	requests   *rate.Limiter
	tokens     *rate.Limiter
	inProgress int
}

// acquire admits a request whose maximum cost in tokens is given, or refuses it with RateLimited or ConcurrencyLimited. A cost
// above the burst counts as the full burst, because a rate limiter never admits more than its burst. The returned function must
// be called when the request ends.
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

func (l *teamLimiter) release(usage *teamUsage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	usage.inProgress--
}

// usageOf returns the usage of a team. New limits replace both rate limiters, with full bursts; requests in progress stay
// counted. The mutex must be held.
func (l *teamLimiter) usageOf(team operator.Team) *teamUsage {
	if l.usages == nil {
		l.usages = make(map[string]*teamUsage)
	}
	usage, found := l.usages[team.Name]
	if !found {
		usage = &teamUsage{}
		l.usages[team.Name] = usage
	}
	if !found || usage.limits != team.Limits {
		usage.limits = team.Limits
		usage.requests = newLimiter(team.Limits.RequestsPerSecond)
		usage.tokens = newLimiter(team.Limits.TokensPerSecond)
	}
	return usage
}

// newLimiter returns a rate limiter for requests or tokens per second. The burst is the number that one second admits.
// Zero means no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, unlimitedBurst)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// unlimitedBurst is the burst of a limiter without a limit, in tokens. It exceeds the cost of any request.
const unlimitedBurst = 1 << 40
