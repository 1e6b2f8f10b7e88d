package ledger

import "time"

// Default windows, in offsets. At 240 appends per second, the windows of idempotent and of other requests last about
// nine minutes and nineteen hours, and proportionally longer on a stream with fewer appends.
const (
	DefaultIdempotentWindow    = 1 << 17
	DefaultNonIdempotentWindow = 1 << 24
)

// Window is the number of offsets for which a request identifier is remembered after its last open was closed,
// for idempotent and for other requests. Zero selects the default.
type Window struct{ Idempotent, NonIdempotent uint64 }

// MaxKeyAge returns the maximum age at which the Idempotency-Key of a non-idempotent request may be accepted on a
// stream with the given rate of appends. It is half the duration of the window at that rate, so that the identifier of
// an accepted key is still remembered.
func (w Window) MaxKeyAge(appendsPerSecond float64) time.Duration {
	return time.Duration(float64(w.orDefault().NonIdempotent) / appendsPerSecond / 2 * float64(time.Second))
}

// orDefault returns the window with its zero fields replaced by the defaults.
func (w Window) orDefault() Window {
	if w.Idempotent == 0 {
		w.Idempotent = DefaultIdempotentWindow
	}
	if w.NonIdempotent == 0 {
		w.NonIdempotent = DefaultNonIdempotentWindow
	}
	return w
}
