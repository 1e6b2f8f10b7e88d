package site

import (
	"fmt"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestManyRoutes guards against routes that are not found, or found as others, after a configuration added 1,440 at once.
func TestManyRoutes(t *testing.T) {
	configuration := &Configuration{Routes: []Route{{Name: "all", Host: "a.example", Prefix: "/"}, {Name: "first", Host: "a.example", Prefix: "/first/"}}}
	const added = 1440
	for i := range added {
		name := fmt.Sprintf("added-%d", i)
		configuration.Routes = append(configuration.Routes, Route{Name: name, Host: "a.example", Prefix: "/" + name + "/"})
	}
	configuration.Index()
	find := func(path string) string {
		route, _ := configuration.Route("a.example", path)
		return route.Name
	}
	for i := range added {
		name := fmt.Sprintf("added-%d", i)
		assert.Equal(t, name, find("/"+name+"/x"))
	}
	assert.Equal(t, "first", find("/first/x"))
	assert.Equal(t, "all", find("/added-1440/x"))
	assert.Equal(t, "all", find("/added-1"))
}

func TestRoute(t *testing.T) {
	configuration := &Configuration{Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "api", Host: "a.example", Prefix: "/api/"},
		{Name: "deep", Host: "a.example", Prefix: "/api/v1/"},
		{Name: "other", Host: "b.example", Prefix: "/api/"},
	}}
	configuration.Index()
	for _, r := range []struct{ host, path, want string }{
		{"a.example", "/api/v1/x", "deep"},
		{"a.example", "/api/v1", "api"},
		{"a.example", "/apis", "all"},
		{"b.example", "/api/v1/x", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/api/", ""},
	} {
		t.Run(r.host+r.path, func(t *testing.T) {
			route, ok := configuration.Route(r.host, r.path)
			assert.Equal(t, r.want != "", ok)
			if ok {
				assert.Equal(t, r.want, route.Name)
			}
		})
	}
}

func TestPickService(t *testing.T) {
	route := &Route{Services: []WeightedService{{"a", 90}, {"b", 10}}}
	for point, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		assert.Equal(t, want, route.PickService(point))
	}
	assert.Equal(t, "a", (&Route{Services: []WeightedService{{"a", 0}}}).PickService(0.5))
	assert.Equal(t, "", (&Route{}).PickService(0.5))
}

func TestTeams(t *testing.T) {
	configuration := &Configuration{Teams: []Team{{Name: "studio", Keys: []string{"k1", "k2"}}, {Name: "guild"}}}
	configuration.Index()
	team, ok := configuration.TeamOfKey("k2")
	assert.Equal(t, true, ok)
	assert.Equal(t, "studio", team.Name)
	_, ok = configuration.TeamOfKey("k3")
	assert.Equal(t, false, ok)
	_, ok = configuration.Team("guild")
	assert.Equal(t, true, ok)
}

func TestIsRetryable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{}, false},
		{Route{Kind: Idempotent}, true},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
		{Route{Kind: NonIdempotent, Resumable: true}, false},
	} {
		assert.Equal(t, c.want, c.route.IsRetryable())
	}
}

func TestSubject(t *testing.T) {
	demand := Demand{PromptTokens: 7, MaxOutputTokens: 5, Parts: []Part{{"a", 1}, {"b", 2}, {"c", 4}}}
	assert.Equal(t, "b", demand.LastSharedPart())
	assert.Equal(t, int64(12), demand.MaxTokens())
	assert.Equal(t, "", (&Demand{Parts: []Part{{"a", 1}}}).LastSharedPart())
}
