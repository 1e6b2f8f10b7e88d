package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// histogramSamples is the size of a histogram's reservoir of samples. histogramDecay is the rate per second at which
	// older samples lose weight: those of the last minutes dominate.
	histogramSamples = 512
	histogramDecay   = 0.015
)

// minLoggedSocketTime is the shortest time for which a request waited in its caller's socket that its log line has.
const minLoggedSocketTime = 10 * time.Millisecond

// Prefixes of the histograms' names; the kind of request follows. The values are in milliseconds.
const (
	stageSocket  = "stage.socket."
	stageReserve = "stage.paid."
	stageWait    = "stage.wait."
	stageFirst   = "stage.first."
	stageTotal   = "stage.total."
)

// Stages returns the descriptions of the package's histograms.
func Stages() []Description {
	return []Description{
		{stageSocket + "KIND", "Time in milliseconds for which the request waited in its caller's socket until it was read."},
		{stageReserve + "KIND", "Time in milliseconds until a request's tokens were reserved."},
		{stageWait + "KIND", "Predicted time in milliseconds until the engine was free for a prompt."},
		{stageFirst + "KIND", "Time in milliseconds to the first byte of the answer."},
		{stageTotal + "KIND", "Time in milliseconds to the end of the answer."},
	}
}

// observeStages adds the times of the request's stages to the histograms of its kind.
func (j *job) observeStages(total time.Duration) {
	if j.route == nil {
		return
	}
	kind := j.route.Kind.String()
	j.server.state.observe(stageTotal+kind, total)
	j.server.state.observe(stageSocket+kind, j.socketTime)
	if !j.firstByte.IsZero() {
		j.server.state.observe(stageFirst+kind, j.firstByte.Sub(j.received))
	}
	if j.demand.MaxTokens() > 0 {
		j.server.state.observe(stageReserve+kind, j.reserveTime)
		j.server.state.observe(stageWait+kind, j.engineWait)
	}
}

// observe adds a duration, in milliseconds, to the histogram of the given name.
func (b *Board) observe(name string, d time.Duration) {
	histogram, ok := b.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramDecay))
	}).(metrics.Histogram)
	if ok {
		histogram.Update(d.Milliseconds())
	}
}
