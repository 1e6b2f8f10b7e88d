package ledger

import "time"

// Default windows in offsets: at 240 appends a second for about nine minutes and nineteen hours, and in
// proportion longer on a calmer stream.
const (
	DefaultIdempotentWindow    = 1 << 17
	DefaultNonIdempotentWindow = 1 << 24
)

// Window is the number of offsets for which a request identifier is remembered after its last open was
// closed. A zero takes the default.
type Window struct{ Idempotent, NonIdempotent uint64 }

// KeyAge returns how old the key of a non-idempotent request may be on a stream of so many appends a second, so
// that a key in use hasn't left the window: half the time that the window takes at that rate.
func (w Window) KeyAge(appendsPerSecond float64) time.Duration {
	return time.Duration(float64(w.orDefault().NonIdempotent) / appendsPerSecond / 2 * float64(time.Second))
}

// orDefault returns the window with its defaults filled in.
func (w Window) orDefault() Window {
	if w.Idempotent == 0 {
		w.Idempotent = DefaultIdempotentWindow
	}
	if w.NonIdempotent == 0 {
		w.NonIdempotent = DefaultNonIdempotentWindow
	}
	return w
}
