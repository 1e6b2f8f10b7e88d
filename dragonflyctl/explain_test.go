package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestExplain guards against changes of the log lines that "explain" selects, and of its output. The test runs the commands of
// testdata/explain on logs that were recorded in soak tests and compares the outputs with the files named expected. UPDATE=1
// rewrites these files.
func TestExplain(t *testing.T) {
	cases, err := filepath.Glob("testdata/explain/*")
	assert.Must(t, err)
	assert.Equal(t, true, len(cases) > 0)
	for _, folder := range cases {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			t.Chdir(folder)
			command, err := os.ReadFile("command")
			assert.Must(t, err)
			got := (&testSite{t: t}).run(strings.Fields(string(command))...)
			if os.Getenv("UPDATE") != "" {
				assert.Must(t, os.WriteFile("expected", []byte(got.Stdout), 0o600))
			}
			want, err := os.ReadFile("expected")
			assert.Must(t, err)
			assert.Equal(t, result{Code: exit.OK, Stdout: string(want)}, got)
		})
	}
	t.Run("unknown request", func(t *testing.T) {
		log := filepath.Join(t.TempDir(), "router.log")
		assert.Must(t, os.WriteFile(log, []byte("no JSON\n{\"message\": 3}\n{\"fields\":{},\"message\":\"router started\"}\n"), 0o600))
		got := (&testSite{t: t}).run("explain", "r1", log)
		assert.Equal(t, exit.Failed, got.Code)
		assert.Equal(t, "dragonflyctl: no line of the logs has the request r1\n", got.Stderr)
	})
	t.Run("missing log file", func(t *testing.T) {
		assert.Equal(t, exit.Failed, (&testSite{t: t}).run("explain", "r1", "nowhere.log").Code)
	})
	t.Run("request without a line on its end", func(t *testing.T) {
		log := filepath.Join(t.TempDir(), "all.log")
		line := `  17.5 edge-1 {"fields":{"Request":"r1","Endpoint":"e"},"timestamp":"2026-01-01T00:00:00Z","message":"attempt failed"}`
		assert.Must(t, os.WriteFile(log, []byte(line+"\n"), 0o600))
		got := (&testSite{t: t}).run("explain", "r1", log)
		assert.Equal(t, exit.OK, got.Code)
		assert.Equal(t, true, strings.Contains(got.Stdout, "r1       edge-1  -       not ended"))
	})
}
