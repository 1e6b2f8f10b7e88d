package main

// Exit codes of the router; their meaning stands in exitCodes.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitForced
)

// exitDescription says what an exit code means.
type exitDescription struct {
	Code    int
	Name    string
	Meaning string
}

// exitCodes lists every exit code in the order of the documentation.
func exitCodes() []exitDescription {
	return []exitDescription{
		{exitDone, "done", "A signal ended the router: its requests have finished, its records are in the log, its shares are returned."},
		{exitFailed, "failed", "A listener could not be opened, or requests or records had not finished within --drain-maximum."},
		{exitUsage, "usage", "A setting is missing or its value is not allowed."},
		{exitForced, "forced", "A second signal ended the router before its requests had finished."},
	}
}
