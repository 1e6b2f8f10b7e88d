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
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"go.uber.org/dig"
)

// Exit codes of the program.
const (
	exitOK = iota
	exitFailure
	exitUsage
)

// subcommand is a subcommand of the program, with its line in the help. The Run method of command takes the container that
// newContainer returns.
type subcommand struct {
	name    string
	help    string
	command any
}

// subcommands returns all subcommands. The help is generated from the list.
func subcommands() []subcommand {
	return []subcommand{
		{"platform", "Simulates the platform's log and instance list.", &platformCommand{}},
		{"engine", "Simulates a model engine with the OpenAI API.", &engineCommand{}},
		{"service", "Simulates a plain service that counts the runs of each Idempotency-Key.", &serviceCommand{}},
		{"load", "Sends a limited load and checks that each caller gets its own complete answer.", &loadCommand{}},
		{"check", "Checks the fleet's promises against the ledger, load reports and the runs counted by the endpoints.", &checkCommand{}},
		{"report", "Prints a stored load report and optionally plots it.", &reportCommand{}},
		{"compare", "Prints two load reports side by side.", &compareCommand{}},
		{"control", "Sends one request to a control path, for example to inject a fault.", &controlCommand{}},
		{"wait", "Waits until each of the URLs has answered with status 200.", &waitCommand{}},
	}
}

// settings holds the flags that all subcommands share.
type settings struct {
	LogFormat string `default:"text" enum:"text,json" env:"STANDIN_LOG_FORMAT" help:"Log format: text or json."`
	LogLevel  string `default:"info" enum:"debug,info,warn,error" env:"STANDIN_LOG_LEVEL" help:"Minimum log level: debug, info, warn or error."`
}

// output is the writer for the result of a subcommand.
type output struct{ io.Writer }

// Main runs the program with command-line arguments and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	exited := false
	s := &settings{}
	parser, err := kong.New(s, parserOptions(stdout, stderr, func(int) { exited = true })...)
	if err != nil {
		return printError(stderr, err, exitFailure)
	}
	parsed, err := parser.Parse(arguments)
	if exited {
		return exitOK
	}
	if err != nil {
		return printError(stderr, err, exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	container, err := newContainer(ctx, s, stdout, stderr)
	if err != nil {
		return printError(stderr, err, exitFailure)
	}
	if err := parsed.Run(container); err != nil {
		return printError(stderr, dig.RootCause(err), exitFailure)
	}
	return exitOK
}

func parserOptions(stdout, stderr io.Writer, exit func(int)) []kong.Option {
	options := []kong.Option{
		kong.Name("standin"),
		kong.Description("Simulates the systems around a router fleet, generates load and checks the ledger."),
		kong.Writers(stdout, stderr),
		kong.Exit(exit),
	}
	for _, v := range subcommands() {
		options = append(options, kong.DynamicCommand(v.name, v.help, "", v.command))
	}
	return options
}

// newContainer returns a container with the context, the output and the logger that subcommands need.
func newContainer(ctx context.Context, s *settings, stdout, stderr io.Writer) (*dig.Container, error) {
	container := dig.New()
	return container, errors.Join(
		container.Provide(func() context.Context { return ctx }),
		container.Provide(func() output { return output{stdout} }),
		container.Provide(func() (*log.Logger, error) { return newLogger(s, stderr) }),
	)
}

func newLogger(s *settings, stderr io.Writer) (*log.Logger, error) {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	logger := &log.Logger{Handler: text.New(stderr), Level: level}
	if s.LogFormat == "json" {
		logger.Handler = json.New(stderr)
	}
	return logger, nil
}

func printError(stderr io.Writer, err error, code int) int {
	_, _ = fmt.Fprintf(stderr, "standin: %v\n", err)
	return code
}
