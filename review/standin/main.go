// Command cases plays the cases of the review: it starts router processes as the deploy file does, with a stand-in of the
// platform's store, runners and clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := exitNotRun
	func() {
		defer s.close()
		isBroken, err := play(s)
		switch {
		case err != nil:
			s.record("case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
		case isBroken:
			code = exitBroken
		default:
			code = exitHeld
		}
		s.record("exit code %d", code)
	}()
	os.Exit(code)
}
