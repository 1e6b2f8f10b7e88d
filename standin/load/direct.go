package load

import (
	"errors"
	"slices"
)

// directSuffix ends the key prefix of a direct load, so that endpoints count its runs apart.
const directSuffix = "-direct"

// Direct returns the settings of a load that sends the same requests straight to endpoints.
func (s Settings) Direct(engines, services []string) (Settings, error) {
	switch {
	case s.Mix[Stream]+s.Mix[Whole] > 0 && len(engines) == 0:
		return s, errors.New("a mix with model calls has to be measured at an engine too")
	case s.Mix[Plain]+s.Mix[NonIdempotent] > 0 && len(services) == 0:
		return s, errors.New("a mix with plain calls has to be measured at a service too")
	}
	s.Targets = slices.Concat(engines, services)
	s.EngineTargets = engines
	s.ServiceTargets = services
	s.KeyPrefix += directSuffix
	return s, nil
}

// targetsOf returns the targets that take requests of a kind.
func (s Settings) targetsOf(kind Kind) []string {
	targets := s.EngineTargets
	if kind == Plain || kind == NonIdempotent {
		targets = s.ServiceTargets
	}
	if len(targets) == 0 {
		return s.Targets
	}
	return targets
}

// AddDirect puts what the same requests met at the endpoints themselves into the report. Its latency and first token are
// those of the requests that completed through the routers: refused ones would leave other kinds of answers to compare.
func (r *Report) AddDirect(direct *Report) {
	completed := make(map[int]bool)
	for i := range r.Requests {
		completed[r.Requests[i].index] = r.Requests[i].Outcome == Completed
	}
	latency, firstToken := newDistribution(), newDistribution()
	for i := range direct.Requests {
		request := &direct.Requests[i]
		if request.Outcome != Completed || !completed[request.index] {
			continue
		}
		latency.add(request.Latency.duration())
		if request.FirstToken > 0 {
			firstToken.add(request.FirstToken.duration())
		}
	}
	summary := *direct
	summary.Requests = nil
	summary.Latency, summary.FirstToken = latency.percentiles(), firstToken.percentiles()
	r.Direct = &summary
}

// minus returns how much longer each percentile is.
func (p Percentiles) minus(base Percentiles) Percentiles {
	return Percentiles{
		Count: p.Count,
		Mean:  p.Mean - base.Mean,
		P50:   p.P50 - base.P50,
		P90:   p.P90 - base.P90,
		P95:   p.P95 - base.P95,
		P99:   p.P99 - base.P99,
		P999:  p.P999 - base.P999,
		Max:   p.Max - base.Max,
	}
}
