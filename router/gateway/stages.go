package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// stageSamples and stageDecay are the size of a histogram's sample and how fast old values leave it: those of the last
	// minutes count.
	stageSamples = 512
	stageDecay   = 0.015
)

// Names of the histograms, in milliseconds; the kind of request follows.
const (
	stagePaid  = "stage.paid."
	stageWait  = "stage.wait."
	stageFirst = "stage.first."
	stageTotal = "stage.total."
)

// Stages lists the histograms.
func Stages() []Description {
	return []Description{
		{stagePaid + "KIND", "Time until a request's tokens were reserved."},
		{stageWait + "KIND", "Time that a prompt's engine was predicted to be busy."},
		{stageFirst + "KIND", "Time to the first byte of the answer."},
		{stageTotal + "KIND", "Time to the end of the answer."},
	}
}

// measure adds a request's times to the histograms of its kind.
func (j *job) measure(total time.Duration) {
	if j.route == nil {
		return
	}
	kind := j.route.Kind.String()
	j.server.board.observe(stageTotal+kind, total)
	if !j.first.IsZero() {
		j.server.board.observe(stageFirst+kind, j.first.Sub(j.received))
	}
	if j.demand.Most() > 0 {
		j.server.board.observe(stagePaid+kind, j.paid)
		j.server.board.observe(stageWait+kind, j.wait)
	}
}

// observe adds a time to a histogram.
func (b *Board) observe(name string, d time.Duration) {
	histogram, ok := b.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(stageSamples, stageDecay))
	}).(metrics.Histogram)
	if ok {
		histogram.Update(d.Milliseconds())
	}
}
