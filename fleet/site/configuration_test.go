package site

import (
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestRoute(t *testing.T) {
	c := &Configuration{Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "api", Host: "a.example", Prefix: "/api/"},
		{Name: "deep", Host: "a.example", Prefix: "/api/v1/"},
		{Name: "other", Host: "b.example", Prefix: "/api/"},
	}}
	c.Index()
	for _, r := range []struct{ host, path, want string }{
		{"a.example", "/api/v1/x", "deep"},
		{"a.example", "/api/v1", "api"},
		{"a.example", "/apis", "all"},
		{"b.example", "/api/v1/x", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/api/", ""},
	} {
		t.Run(r.host+r.path, func(t *testing.T) {
			route, ok := c.Route(r.host, r.path)
			assert.Equal(t, r.want != "", ok)
			if ok {
				assert.Equal(t, r.want, route.Name)
			}
		})
	}
}

func TestPick(t *testing.T) {
	route := &Route{Services: []Share{{"a", 90}, {"b", 10}}}
	for at, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		assert.Equal(t, want, route.Pick(at))
	}
	assert.Equal(t, "a", (&Route{Services: []Share{{"a", 0}}}).Pick(0.5))
	assert.Equal(t, "", (&Route{}).Pick(0.5))
}

func TestTeams(t *testing.T) {
	c := &Configuration{Teams: []Team{{Name: "studio", Keys: []string{"k1", "k2"}}, {Name: "guild"}}}
	c.Index()
	team, ok := c.TeamOfKey("k2")
	assert.Equal(t, true, ok)
	assert.Equal(t, "studio", team.Name)
	_, ok = c.TeamOfKey("k3")
	assert.Equal(t, false, ok)
	_, ok = c.Team("guild")
	assert.Equal(t, true, ok)
}

func TestRepeatable(t *testing.T) {
	for _, r := range []struct {
		route Route
		want  bool
	}{
		{Route{}, false},
		{Route{Kind: Idempotent}, true},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
		{Route{Kind: NonIdempotent, Resumable: true}, false},
	} {
		assert.Equal(t, r.want, r.route.Repeatable())
	}
}

func TestSubject(t *testing.T) {
	d := Demand{Prompt: 7, Output: 5, Parts: []Part{{"a", 1}, {"b", 2}, {"c", 4}}}
	assert.Equal(t, "b", d.Subject())
	assert.Equal(t, int64(12), d.Most())
	assert.Equal(t, "", (&Demand{Parts: []Part{{"a", 1}}}).Subject())
}
