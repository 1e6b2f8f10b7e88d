package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// required returns valid values for all required flags.
func required() []string {
	return []string{"--platform", "http://127.0.0.1:1", "--instance", "r1", "--region", "a", "--availability-zone", "a-1"}
}

// TestRefusedSettings guards against settings that are accepted although their values are not allowed, and against messages that
// do not name the flag and the allowed values.
func TestRefusedSettings(t *testing.T) {
	cases := []struct {
		name      string
		arguments []string
		want      string
	}{
		{"host name instead of IP", []string{"--listen", "localhost:80"}, `--listen is "localhost:80"; allowed: an IP address with a port`},
		{"same address for both listeners", []string{"--admin-listen", "127.0.0.1:8080"}, `--admin-listen is "127.0.0.1:8080"; allowed: an IP address with a port, other than --listen`},
		{"platform without scheme", []string{"--platform", "127.0.0.1:1"}, `--platform is "127.0.0.1:1"; allowed: an http or https URL whose host is an IP address`},
		{"name with a slash", []string{"--instance", "a/b"}, `--instance is "a/b"; allowed: 1 to 64 letters, digits, dots and dashes`},
		{"empty region", []string{"--region", ""}, `--region is ""; allowed: 1 to 64 letters, digits, dots and dashes`},
		{"short lease", []string{"--lease", "10ms"}, `--lease is "10ms"; allowed: 1s to 5m`},
		{"margin above the lease", []string{"--lease-margin", "11s"}, `--lease-margin is "11s"; allowed: 500ms to half of the lease`},
		{"margin above half of the lease", []string{"--lease-margin", "6s"}, `--lease-margin is "6s"; allowed: 500ms to half of the lease`},
		{"zero appends per second", []string{"--fleet-appends-per-second", "0"}, `--fleet-appends-per-second is "0"; allowed: 1 to 100000`},
		{"short snapshot interval", []string{"--snapshot-interval", "1ms"}, `--snapshot-interval is "1ms"; allowed: 1s to 24h`},
		{"header bytes below the minimum", []string{"--header-bytes", "10"}, `--header-bytes is "10"; allowed: 1024 to 1048576`},
		{"little memory", []string{"--memory", "10"}, `--memory is "10"; allowed: 64 to 1048576, or 0`},
		{"few sockets", []string{"--sockets", "10"}, `--sockets is "10"; allowed: 100 to 1048576, or 0`},
		{"negative drain delay", []string{"--drain-delay=-1s"}, `--drain-delay is "-1s"; allowed: 0s to 10m`},
		{"unknown log format", []string{"--log-format", "xml"}, `--log-format is "xml"; allowed: json or text`},
		{"unknown log level", []string{"--log-level", "loud"}, `--log-level is "loud"; allowed: debug, info, warn or error`},
		{"unknown flag", []string{"--no-such-flag"}, "unknown flag --no-such-flag"},
		{"not a duration", []string{"--lease", "ten"}, "--lease: expected duration"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stdout, stderr := &bytes.Buffer{}, &bytes.Buffer{}
			code := Main(append(required(), c.arguments...), stdout, stderr)
			assert.Equal(t, exitUsage, code)
			if !strings.Contains(stderr.String(), c.want) {
				t.Errorf("got message %q, want one with %q", stderr, c.want)
			}
		})
	}
	t.Run("missing flags", func(t *testing.T) {
		stderr := &bytes.Buffer{}
		assert.Equal(t, exitUsage, Main(nil, &bytes.Buffer{}, stderr))
		assert.Equal(t, true, strings.Contains(stderr.String(), "missing flags: --availability-zone=STRING, --instance=STRING, --platform=STRING, --region=STRING"))
	})
}

func TestHelpAndVersion(t *testing.T) {
	for _, flag := range []string{"--help", "--version"} {
		t.Run(flag, func(t *testing.T) {
			stdout := &bytes.Buffer{}
			assert.Equal(t, exitDone, Main([]string{flag}, stdout, &bytes.Buffer{}))
			assert.Equal(t, true, stdout.Len() > 0)
		})
	}
}
