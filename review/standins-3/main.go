// Command site plays one case of the third review: a small deployment with routers as processes of their own, and stand-ins for clients, runners
// and the platform.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: site CASE ROOT RECORD")
		os.Exit(notPlayed)
	}
	play, ok := map[string]func(*Site) (int, error){"numbering": playNumbering, "witness": playWitness, "crashing": playCrashing}[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(notPlayed)
	}
	record, err := NewRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(notPlayed)
	}
	os.Exit(run(play, record))
}

func run(play func(*Site) (int, error), record *Record) int {
	site, err := NewSite(record, os.Args[2])
	if err != nil {
		record.Say("cannot play:", err)
		return notPlayed
	}
	defer site.Close()
	record.Say("trouble:", site.HasTrouble)
	code, err := play(site)
	if err != nil {
		record.Say("cannot play:", err)
		return notPlayed
	}
	record.Say("exit code", code)
	return code
}
