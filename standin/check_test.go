package main

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/standin/load"
	"github.com/dragonflyworks/dragonflyworks/standin/platform"
)

func TestCheckExitCode(t *testing.T) {
	for outcome, want := range map[load.Outcome]int{
		load.Refused:     exitOK,
		load.Completed:   exitFailure,
		load.WrongAnswer: exitFailure,
		load.CutAnswer:   exitFailure,
	} {
		t.Run(string(outcome), func(t *testing.T) {
			server := httptest.NewServer((&platform.Service{}).Handler())
			t.Cleanup(server.Close)
			path := filepath.Join(t.TempDir(), "load.json")
			writeReport(t, path, &load.Report{Requests: []load.Request{{Key: "k", Team: "a", Outcome: outcome}}})
			var stdout, stderr strings.Builder
			got := Main([]string{"check", "--platform", server.URL, "--report", path, "--wait", "1ms", "--record"}, &stdout, &stderr)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("exit code (-want +got):\n%s%s%s", diff, stdout.String(), stderr.String())
			}
			recorded, err := load.ReadReport(path)
			assert.NoError(t, err)
			assert.Equal(t, want == exitFailure, len(recorded.Findings.BrokenPromises) > 0)
			plot := path + ".svg"
			assert.Equal(t, exitOK, Main([]string{"report", path, "--plot", plot}, &stdout, &stderr))
			svg, err := os.ReadFile(plot)
			assert.NoError(t, err)
			assert.Equal(t, true, strings.Contains(string(svg), "</svg>"))
		})
	}
}

func writeReport(t *testing.T, path string, report *load.Report) {
	t.Helper()
	file, err := os.Create(path)
	assert.Must(t, err)
	assert.Must(t, report.Write(file))
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}
