package load

import (
	"errors"
	"slices"
)

// directSuffix is appended to the key prefix of a direct load, so that endpoints count its runs under keys of their own.
const directSuffix = "-direct"

// Direct returns the settings of a load that sends the same requests straight to the given engines and plain services. It
// fails if the mix contains a kind of request that none of them serves.
func (s Settings) Direct(engines, services []string) (Settings, error) {
	switch {
	case s.Mix[Stream]+s.Mix[Whole] > 0 && len(engines) == 0:
		return s, errors.New("the mix contains model calls, but no engine is given for the direct load")
	case s.Mix[Plain]+s.Mix[NonIdempotent] > 0 && len(services) == 0:
		return s, errors.New("the mix contains plain calls, but no plain service is given for the direct load")
	}
	s.Targets = slices.Concat(engines, services)
	s.EngineTargets = engines
	s.ServiceTargets = services
	s.KeyPrefix += directSuffix
	return s, nil
}

// targetsFor returns the targets to which requests of a kind are sent.
func (s Settings) targetsFor(kind Kind) []string {
	targets := s.EngineTargets
	if kind == Plain || kind == NonIdempotent {
		targets = s.ServiceTargets
	}
	if len(targets) == 0 {
		return s.Targets
	}
	return targets
}

// AddDirect adds the summary of a direct load of the same requests to the report. Latency and first-token times include
// only requests that also completed through the routers: without this filter the two distributions would cover different
// mixes of requests whenever routers refused some.
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

// subtract returns the differences of the mean and of each percentile from those of base.
func (p Percentiles) subtract(base Percentiles) Percentiles {
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
