package caller

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// authenticatedCaller is an authenticated caller, with the configuration under which its request is served.
type authenticatedCaller struct {
	team          operator.Team
	configuration *operator.Configuration
}

// authenticate finds the team of the bearer key. The key appears in no error.
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

// budget returns the budget that pays for a request.
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
