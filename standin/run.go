package main

import (
	"fmt"
	"io"
)

// Main runs the program with its arguments and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) > 0 {
		_, _ = fmt.Fprintf(stderr, "standin: unexpected argument %q\n", arguments[0])
		return 2
	}
	_, _ = fmt.Fprintln(stdout, "standin: not yet wired")
	return 1
}
