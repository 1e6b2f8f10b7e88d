package places

import "testing"

// BenchmarkPolicy measures what the check of a request's regions costs, before and after a change of the configuration.
func BenchmarkPolicy(b *testing.B) {
	p := newPlacesTest()
	c := configurationWith(1, []string{"north", "east"}, []string{"north"})
	p.gate.Configuration.Store(c)
	r := &Request{Configuration: c, Route: &c.Routes[0], Team: &c.Teams[0], Host: "h", Path: "/x", TeamName: "t"}
	b.Run("same configuration", func(b *testing.B) {
		for b.Loop() {
			p.gate.AllowsEndpoint(r, "n-1")
		}
	})
	p.gate.Configuration.Store(configurationWith(2, []string{"north", "east"}, []string{"north"}))
	b.Run("newer configuration", func(b *testing.B) {
		for b.Loop() {
			p.gate.AllowsEndpoint(r, "n-1")
		}
	})
}
