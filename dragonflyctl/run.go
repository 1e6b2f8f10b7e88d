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
	"github.com/posener/complete"
	"github.com/willabides/kongplete"
	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// settings holds the flags that every command accepts.
type settings struct {
	Platform string `help:"Base URL of the platform's log; its host must be an IP address." env:"DRAGONFLY_PLATFORM" placeholder:"URL"`
	Output   string `help:"Output format: table or json." enum:"table,json" default:"table"`
}

// logOpener returns a client of the platform's log at a base URL. Tests pass one that returns a log in memory.
type logOpener func(baseURL string) (platform.Log, error)

func openHTTPLog(baseURL string) (platform.Log, error) { return platform.NewHTTPLog(baseURL, nil) }

// Main runs the command that the arguments name and returns its exit code. The arguments exclude the program name. SIGINT and
// SIGTERM cancel the command.
func Main(arguments []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, arguments, stdout, stderr, openHTTPLog)
}

func run(ctx context.Context, arguments []string, stdout, stderr io.Writer, open logOpener) int {
	code, exited := exit.OK, false
	s := &settings{}
	parser, err := newParser(s, stdout, stderr, func(c int) { code, exited = exit.Code(c), true })
	if err != nil {
		return reportError(stderr, err, exit.Failed)
	}
	if kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*.yaml"))); exited {
		return int(code)
	}
	parsed, err := parser.Parse(arguments)
	if exited {
		return int(code)
	}
	if err != nil {
		return reportError(stderr, err, exit.Usage)
	}
	container, err := newContainer(ctx, s, stdout, open)
	if err != nil {
		return reportError(stderr, err, exit.Failed)
	}
	if err := dig.RootCause(parsed.Run(container)); err != nil {
		return reportError(stderr, err, exit.CodeOf(err))
	}
	return int(exit.OK)
}

func newParser(s *settings, stdout, stderr io.Writer, onExit func(int)) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("dragonflyctl"),
		kong.Description(description()),
		kong.Writers(stdout, stderr),
		kong.Exit(onExit),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	for _, g := range commandGroups() {
		options = append(options, kong.DynamicCommand(g.name, g.help, "", g.commands))
	}
	return kong.New(s, options...)
}

func description() string {
	text := "Submits change tickets to a router fleet and shows the state that the platform's log records.\n\nExit codes:"
	for _, d := range exit.Codes() {
		text += fmt.Sprintf("\n  %d  %-12s %s", d.Code, d.Name, d.Meaning)
	}
	return text
}

// newContainer returns a dependency container that provides the context, the printer and the platform's log to the commands.
func newContainer(ctx context.Context, s *settings, stdout io.Writer, open logOpener) (*dig.Container, error) {
	container := dig.New()
	return container, errors.Join(
		container.Provide(func() context.Context { return ctx }),
		container.Provide(func() output.Printer { return output.Printer{Writer: stdout, Format: s.Output} }),
		container.Provide(func() (platform.Log, error) { return openLog(s.Platform, open) }),
	)
}

func openLog(baseURL string, open logOpener) (platform.Log, error) {
	log, err := open(baseURL)
	if err != nil {
		return nil, exit.NewInvalidFlagError("platform", baseURL,
			"an http or https URL whose host is an IP address; DRAGONFLY_PLATFORM sets it too")
	}
	return log, nil
}

// reportError prints an error to stderr and returns the exit code. Validation errors of a ticket are printed without the program name,
// so that each line starts with FILE:LINE, which editors can jump to.
func reportError(stderr io.Writer, err error, code exit.Code) int {
	prefix := "dragonflyctl: "
	var malformed *operator.TicketError
	if errors.As(err, &malformed) {
		prefix = ""
	}
	_, _ = fmt.Fprintf(stderr, "%s%s\n", prefix, exit.Message(err))
	return int(code)
}
