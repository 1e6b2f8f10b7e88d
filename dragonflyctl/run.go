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

// settings are the flags of every verb.
type settings struct {
	Platform string `help:"Base URL of the platform's log, with an IP address." env:"DRAGONFLY_PLATFORM" placeholder:"URL"`
	Output   string `help:"Format of the output: table or json." enum:"table,json" default:"table"`
}

// connect opens the platform's log.
type connect func(baseURL string) (platform.Log, error)

func connectHTTP(baseURL string) (platform.Log, error) { return platform.NewHTTPLog(baseURL, nil) }

// Main runs the program with its arguments and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, arguments, stdout, stderr, connectHTTP)
}

func run(ctx context.Context, arguments []string, stdout, stderr io.Writer, open connect) int {
	code, ended := exit.OK, false
	s := &settings{}
	parser, err := newParser(s, stdout, stderr, func(c int) { code, ended = exit.Code(c), true })
	if err != nil {
		return report(stderr, err, exit.Failed)
	}
	if kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*.yaml"))); ended {
		return int(code)
	}
	parsed, err := parser.Parse(arguments)
	if ended {
		return int(code)
	}
	if err != nil {
		return report(stderr, err, exit.Usage)
	}
	container, err := build(ctx, s, stdout, open)
	if err != nil {
		return report(stderr, err, exit.Failed)
	}
	if err := dig.RootCause(parsed.Run(container)); err != nil {
		return report(stderr, err, exit.CodeOf(err))
	}
	return int(exit.OK)
}

func newParser(s *settings, stdout, stderr io.Writer, end func(int)) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("dragonflyctl"),
		kong.Description(description()),
		kong.Writers(stdout, stderr),
		kong.Exit(end),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	for _, n := range nouns() {
		options = append(options, kong.DynamicCommand(n.name, n.help, "", n.verbs))
	}
	return kong.New(s, options...)
}

func description() string {
	text := "Submits change tickets to a router fleet and shows what its log says.\n\nExit codes:"
	for _, d := range exit.Codes() {
		text += fmt.Sprintf("\n  %d  %-12s %s", d.Code, d.Name, d.Meaning)
	}
	return text
}

// build returns a container with what the verbs need.
func build(ctx context.Context, s *settings, stdout io.Writer, open connect) (*dig.Container, error) {
	container := dig.New()
	return container, errors.Join(
		container.Provide(func() context.Context { return ctx }),
		container.Provide(func() output.Printer { return output.Printer{Writer: stdout, Format: s.Output} }),
		container.Provide(func() (platform.Log, error) { return openLog(s.Platform, open) }),
	)
}

func openLog(baseURL string, open connect) (platform.Log, error) {
	log, err := open(baseURL)
	if err != nil {
		return nil, exit.NotAllowed("platform", baseURL,
			"an http or https URL whose host is an IP address; DRAGONFLY_PLATFORM sets it too")
	}
	return log, nil
}

// report prints an error. The mistakes of a ticket stand without the program's name, so that editors find the lines.
func report(stderr io.Writer, err error, code exit.Code) int {
	prefix := "dragonflyctl: "
	var malformed *operator.TicketError
	if errors.As(err, &malformed) {
		prefix = ""
	}
	_, _ = fmt.Fprintf(stderr, "%s%s\n", prefix, exit.Message(err))
	return int(code)
}
