package caller

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/bodies"
)

// authenticatedCaller is the team that owns a request's bearer key, and the configuration in which the key was found. The
// whole request is served under that configuration, even if a newer one comes into force meanwhile.
type authenticatedCaller struct {
	team          operator.Team
	configuration *operator.Configuration
	// body is the body of the request once it has been read. Its memory is given back when the request has ended.
	body *bodies.Body
}

// authenticate looks up the team of the request's bearer key. Its errors never contain the key.
func (s *Server) authenticate(r *http.Request) (*authenticatedCaller, error) {
	scheme, key, found := strings.Cut(r.Header.Get(HeaderAuthorization), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return nil, verdict.Refuse(verdict.InvalidKey, "send the key as Authorization: Bearer KEY")
	}
	configuration := s.board.Configuration.Load()
	team, found := configuration.TeamForKey(strings.TrimSpace(key))
	if !found {
		return nil, verdict.Refuse(verdict.InvalidKey, "")
	}
	return &authenticatedCaller{team: team, configuration: configuration}, nil
}

// budget returns the budget that the request names in HeaderBudget, or the team's only budget if the header is absent. It
// refuses budgets that are unknown, frozen or owned by another team.
func (c *authenticatedCaller) budget(r *http.Request) (operator.NumberedBudget, error) {
	name := r.Header.Get(HeaderBudget)
	if name == "" {
		return c.onlyBudget()
	}
	budget, found := c.configuration.Budgets[name]
	if !found {
		return budget, verdict.Refuse(verdict.BudgetUnknown, fmt.Sprintf("%s: %q", HeaderBudget, name))
	}
	if budget.Team != c.team.Name {
		return budget, verdict.Refuse(verdict.BudgetForbidden, fmt.Sprintf("%s: %q", HeaderBudget, name))
	}
	return budget, checkFrozen(budget)
}

func (c *authenticatedCaller) onlyBudget() (operator.NumberedBudget, error) {
	budgets := c.configuration.BudgetsOfTeam(c.team.Name)
	switch len(budgets) {
	case 0:
		return operator.NumberedBudget{}, verdict.Refuse(verdict.BudgetUnknown, "the team has no budget")
	case 1:
		return budgets[0], checkFrozen(budgets[0])
	default:
		return operator.NumberedBudget{}, verdict.Refuse(verdict.BudgetAmbiguous, "name one in "+HeaderBudget)
	}
}

func checkFrozen(budget operator.NumberedBudget) error {
	if budget.Frozen {
		return verdict.Refuse(verdict.BudgetFrozen, "")
	}
	return nil
}
