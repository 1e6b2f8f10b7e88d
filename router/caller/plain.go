package caller

import (
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// readPlainRequest reads and checks a request to a plain service. The reserved amount is the route's CallCost, which does not
// depend on the answer.
func (s *Server) readPlainRequest(w http.ResponseWriter, r *http.Request, c *authenticatedCaller) (*checkedRequest, error) {
	route, found := c.configuration.RouteForPath(r.URL.Path)
	if !found {
		return nil, verdict.Refuse(verdict.RouteUnknown, r.URL.Path)
	}
	body, err := s.readBody(w, r, c, route.Limits.WithDefaults().BodyBytes)
	if err != nil {
		return nil, err
	}
	checked, err := s.newCheckedRequest(r, c, route, body)
	if err != nil {
		return nil, err
	}
	checked.demand.Amount = checked.call.Route.Limits.CallCost
	return checked, nil
}
