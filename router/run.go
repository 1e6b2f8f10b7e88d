package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/dragonflyworks/dragonflyworks/fleet/version"
)

// Main runs the router with the given command-line arguments until it ends, and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	settings := &Settings{}
	if code, exits := parseArguments(settings, arguments, stdout, stderr); exits {
		return code
	}
	if settings.Version {
		_, _ = fmt.Fprintln(stdout, version.Current())
		return exitDone
	}
	if err := settings.Check(); err != nil {
		_, _ = fmt.Fprintf(stderr, "router: %v\n", err)
		return exitUsage
	}
	settings.limitHeap()
	signals, release := receiveSignals()
	defer release()
	err := serve(context.Background(), settings, stderr, signals)
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errForced):
		_, _ = fmt.Fprintf(stderr, "router: %v\n", err)
		return exitForced
	default:
		_, _ = fmt.Fprintf(stderr, "router: %v\n", err)
		return exitFailed
	}
}

// receiveSignals returns the channel of the signals to stop, and a function that ends their handling. SIGHUP is ignored: the router reads no
// settings while it runs.
func receiveSignals() (chan os.Signal, func()) {
	signal.Ignore(syscall.SIGHUP)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals, func() {
		signal.Stop(signals)
		signal.Reset(syscall.SIGHUP)
	}
}

// signalBuffer is the capacity of the signal channel. os/signal drops signals that a channel has no room for, and the second
// one, which forces the exit, must not be lost while the first is handled.
const signalBuffer = 2

// parseArguments parses the command line into settings. It returns an exit code, and true if the program must exit with it, as
// after --help or an error.
func parseArguments(settings *Settings, arguments []string, stdout, stderr io.Writer) (int, bool) {
	code, exits := exitDone, false
	parser, err := kong.New(settings,
		kong.Name("router"),
		kong.Description(description()),
		kong.Writers(stdout, stderr),
		kong.Exit(func(c int) { code, exits = c, true }),
	)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "router: %v\n", err)
		return exitFailed, true
	}
	if len(arguments) == 1 && arguments[0] == "--version" {
		settings.Version = true
		return exitDone, false
	}
	if _, err := parser.Parse(arguments); err != nil && !exits {
		_, _ = fmt.Fprintf(stderr, "router: %v\n", err)
		return exitUsage, true
	}
	return code, exits
}

func description() string {
	text := "Routes requests of callers to endpoints and charges them to prepaid budgets.\n\nExit codes:"
	for _, d := range exitCodes() {
		text += fmt.Sprintf("\n  %d  %-7s %s", d.Code, d.Name, d.Meaning)
	}
	return text
}
