package gateway

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receive the signals that a router handles. Signals are lost that a channel has no room for, so that each kind has a channel of its
// own: a series of one kind can't displace the other.
type Signals struct {
	// Stop receives signals to stop, Reload signals to read the settings again.
	Stop, Reload chan os.Signal
}

// NotifySignals begins to receive signals.
func NotifySignals() Signals {
	s := Signals{Stop: make(chan os.Signal, 1), Reload: make(chan os.Signal, 1)}
	signal.Notify(s.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Reload, syscall.SIGHUP)
	return s
}

// Close receives no more signals.
func (s Signals) Close() {
	signal.Stop(s.Stop)
	signal.Stop(s.Reload)
}
