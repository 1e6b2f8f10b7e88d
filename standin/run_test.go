package main

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestMainExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		arguments []string
		want      int
	}{
		"help":                    {[]string{"--help"}, exitOK},
		"help of verb":            {[]string{"load", "--help"}, exitOK},
		"no verb":                 {nil, exitUsage},
		"unknown verb":            {[]string{"fly"}, exitUsage},
		"unknown flag":            {[]string{"platform", "--fly"}, exitUsage},
		"host name":               {[]string{"platform", "--listen", "localhost:19000"}, exitFailure},
		"no report":               {[]string{"check", "--report", "/nonexistent/report.json"}, exitFailure},
		"target with a host name": {[]string{"load", "--target", "http://router:1", "--key", "a=b"}, exitFailure},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr strings.Builder
			got := Main(c.arguments, &stdout, &stderr)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("exit code (-want +got):\n%s%s", diff, stderr.String())
			}
			if got != exitOK && !strings.HasPrefix(stderr.String(), "standin: ") {
				t.Errorf("message %q", stderr.String())
			}
		})
	}
}

func TestHelpListsEveryVerb(t *testing.T) {
	var stdout, stderr strings.Builder
	Main([]string{"--help"}, &stdout, &stderr)
	for _, v := range subcommands() {
		if !strings.Contains(stdout.String(), "  "+v.name+" ") {
			t.Errorf("help does not list %s", v.name)
		}
	}
}
