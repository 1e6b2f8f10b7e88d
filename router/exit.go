package main

// Exit codes of the router. exitCodes describes them.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitForced
)

// exitDescription is the name and the meaning of an exit code, for --help and the documentation.
type exitDescription struct {
	Code    int
	Name    string
	Meaning string
}

// exitCodes returns all exit codes in the order of the documentation.
func exitCodes() []exitDescription {
	return []exitDescription{
		{exitDone, "done", "The router shut down after a signal: its requests have finished, its records are in the log and its shares are returned."},
		{exitFailed, "failed", "A listener could not be opened, or requests or records were still incomplete after --drain-maximum."},
		{exitUsage, "usage", "A setting is missing or its value is not allowed."},
		{exitForced, "forced", "A second signal stopped the router before its requests had finished."},
	}
}
