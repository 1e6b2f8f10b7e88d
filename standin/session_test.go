package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// endMarker is printed after the output of each command, followed by the exit code.
const endMarker = "end of command:"

// session is a shell that runs commands in sequence. Close ends the background jobs that they leave.
type session struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

// newSession starts a shell in a folder, with additional environment variables.
func newSession(ctx context.Context, folder string, environment ...string) (*session, error) {
	s := &session{command: exec.CommandContext(ctx, "bash", "--noprofile", "--norc")}
	s.command.Dir = folder
	s.command.Env = append(os.Environ(), environment...)
	input, inputErr := s.command.StdinPipe()
	output, outputErr := s.command.StdoutPipe()
	if err := errors.Join(inputErr, outputErr, s.command.Start()); err != nil {
		return nil, fmt.Errorf("start shell: %w", err)
	}
	s.input, s.output = input, bufio.NewReader(output)
	_, err := s.Run(`trap 'kill -9 $(jobs -p) 2>/dev/null' EXIT`)
	return s, err
}

// Run runs a command and returns its standard output and standard error, followed by the exit code unless it is zero.
func (s *session) Run(command string) (string, error) {
	if _, err := fmt.Fprintf(s.input, "{ %s\n} </dev/null 2>&1; echo \"%s $?\"\n", command, endMarker); err != nil {
		return "", fmt.Errorf("send command: %w", err)
	}
	var printed strings.Builder
	for {
		line, err := s.output.ReadString('\n')
		if err != nil {
			return "", fmt.Errorf("read output of %q: %w", command, err)
		}
		before, code, ended := strings.Cut(line, endMarker+" ")
		if !ended {
			printed.WriteString(strings.TrimRight(line, " \r\n") + "\n")
			continue
		}
		if before != "" {
			printed.WriteString(before + "\n")
		}
		if code != "0\n" {
			printed.WriteString("[exit code " + strings.TrimSpace(code) + "]\n")
		}
		return strings.TrimRight(printed.String(), "\n") + "\n", nil
	}
}

// Close ends the shell and its background jobs.
func (s *session) Close() error {
	if err := s.input.Close(); err != nil {
		return fmt.Errorf("close shell: %w", err)
	}
	_, _ = io.Copy(io.Discard, s.output)
	if err := s.command.Wait(); err != nil {
		return fmt.Errorf("end shell: %w", err)
	}
	return nil
}
