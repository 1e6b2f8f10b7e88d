package caller

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// teamLimits holds each team's use of this router. Its zero value is ready for use.
type teamLimits struct {
	mutex sync.Mutex
	teams map[string]*teamUse
}

// teamUse is one team's use under the limits that were last in force.
type teamUse struct {
	limits     operator.TeamLimits
	requests   *rate.Limiter
	tokens     *rate.Limiter
	inProgress int
}

// enter admits a request of the given cost or refuses it. The returned function ends the request.
func (l *teamLimits) enter(team operator.Team, cost ledger.Tokens) (func(), error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	use := l.use(team)
	if limit := team.Limits.Concurrency; limit > 0 && use.inProgress >= limit {
		return nil, verdict.Refuse(verdict.ConcurrencyLimited, "")
	}
	now := time.Now()
	if !use.requests.AllowN(now, 1) {
		return nil, verdict.Refuse(verdict.RateLimited, "requests a second")
	}
	if !use.tokens.AllowN(now, min(int(cost), use.tokens.Burst())) {
		return nil, verdict.Refuse(verdict.RateLimited, "tokens a second")
	}
	use.inProgress++
	return func() { l.leave(use) }, nil
}

func (l *teamLimits) leave(use *teamUse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	use.inProgress--
}

// use returns a team's use, with limiters that follow the limits in force.
func (l *teamLimits) use(team operator.Team) *teamUse {
	if l.teams == nil {
		l.teams = make(map[string]*teamUse)
	}
	use, found := l.teams[team.Name]
	if !found {
		use = &teamUse{}
		l.teams[team.Name] = use
	}
	if !found || use.limits != team.Limits {
		use.limits = team.Limits
		use.requests = newLimiter(team.Limits.RequestsPerSecond)
		use.tokens = newLimiter(team.Limits.TokensPerSecond)
	}
	return use
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
