package main

import (
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/standin/example"
)

// testedPage defines how the commands of a page are tested.
type testedPage struct {
	// setUp holds shell commands to run first. The block of code in the page that contains the text script runs after them.
	setUp  string
	script string
	plan   example.Plan
}

// variableFields returns the parts of outputs that vary between runs. Ports and column widths vary too, but are handled by
// package example.
func variableFields() []example.Field {
	return []example.Field{
		{Name: "date", Pattern: `^(Date: ).*$`},
		{Name: "seconds", Pattern: `("created":)\d+`},
		{Name: "identifier", Pattern: `^(Dragonfly-Request-Id: )[A-Z2-7]{26}$`},
		{Name: "incarnation", Pattern: `(router-\d/)\d+`},
		{Name: "incarnation", Pattern: `("Number": )\d{10,}`},
		{Name: "in shares and available", Pattern: `^(studio-\S+ studio-\S+ \d+ \d+ \d+ \d+) \d+ \d+`},
		{Name: "last seen", Pattern: `^(router-\S+ \S+ \S+ \S+ (?:live|suspended)) \d+`},
		{Name: "ledger next", Pattern: `^(\d+ \d+) \d+`},
		{Name: "state", Pattern: `("(?:Next|LeaseLeft|Outbox|Attempts|Copies|RoundTrip)": )-?\d+`},
		{Name: "first offset", Pattern: `(starts at offset )\d+`},
	}
}

// operationsSetUp starts the processes with which the routers of docs/OPERATIONS.md communicate, writes the tickets, and defines
// a shell function that starts a router.
const operationsSetUp = `
	export DRAGONFLY_PLATFORM=http://127.0.0.1:21000
	platform=http://127.0.0.1:21000/control
	standin platform --listen 127.0.0.1:21000 2>platform.log &
	standin service --listen 127.0.0.1:19200 --name service-0 2>service.log &
	cp -r examples/demo tickets
	cp examples/later/5-top-up.yaml tickets
	total() { echo "{Number: $1, Budgets: [{Name: $2, Team: studio-cebu, $3}]}" >tickets/$1-$4.yaml; }
	total 6 studio-cebu-main 'Prepaid: 20000000, Frozen: true' freeze
	total 7 studio-cebu-main 'Prepaid: 5000' lower
	total 8 studio-cebu-trial 'Prepaid: 9500' top-up
	start() {
		router --instance $1 --region $2 --availability-zone $3 --listen $4 --admin-listen $5 --peer-listen $6 \
			--platform http://127.0.0.1:21000/callers/$2 --tls-certificate certificates/$1.pem \
			--tls-key certificates/$1-key.pem --tls-authority certificates/authority.pem 2>$1.log &
		echo $! >$1.pid
	}
	standin wait http://127.0.0.1:21000/healthz http://127.0.0.1:19200/healthz`

// testedPages returns the pages whose commands TestExamples runs, without exception. docs/demo.md is not among them because
// its commands take a minute and fixed ports; make demo fails by itself if a promise is broken, and the report in that page
// contains only times. The tests of dragonflyctl cover docs/dragonflyctl.md and docs/tickets.md.
func testedPages() map[string]testedPage {
	return map[string]testedPage{
		"README.md": {
			setUp: "make() { :; }", script: "bin/standin platform",
		},
		"docs/OPERATIONS.md": {
			setUp: operationsSetUp,
			plan: example.Plan{Before: map[string]string{
				"Install 4": `
					for i in 2 3; do dragonflyctl certificate issue router-$i certificates --authority certificates; done
					start router-2 luzon-a luzon-a2 127.0.0.1:21302 127.0.0.1:21402 127.0.0.1:21502
					start router-3 mindanao-a mindanao-a3 127.0.0.1:21303 127.0.0.1:21403 127.0.0.1:21503
					standin wait http://127.0.0.1:21402/readyz http://127.0.0.1:21403/readyz`,
				"First tickets 1": `for f in tickets/[123]-*; do dragonflyctl ticket submit $f; done`,
				// Until a router has read the bill from the log, it answers that the request may still be running.
				"First tickets 3": `
					until curl -s 127.0.0.1:21302/deposits/7 -H 'Authorization: Bearer demo-key-luzon' \
						-H 'Idempotency-Key: deposit-7' -d '{}' | grep -q request_already_ran; do sleep 0.1; done`,
				"Freeze and lower 1": `curl -s 127.0.0.1:21301/deposits/8 -H 'Authorization: Bearer demo-key-cebu' \
					-H 'Dragonfly-Budget: studio-cebu-main' -H 'Idempotency-Key: deposit-8' -d '{}'`,
				"Replace an instance 1": `
					until [ $(dragonflyctl fleet status | grep -c ' 7  *true$') = 3 ]; do sleep 0.1; done
					kill -9 $(cat router-2.pid)`,
				"Replace an instance 2": `start router-2 visayas-a visayas-a2 127.0.0.1:21302 127.0.0.1:21402 127.0.0.1:21502`,
				"The log is away 1":     `standin control "$platform/log/outage?On=true"`,
				"A region is cut off 1": `
					standin control "$platform/log/outage?On=false"
					until curl -s 127.0.0.1:21403/debug/blackboard | grep -q '"Reachable": true'; do sleep 0.1; done
					standin control "$platform/callers/mindanao-a/outage?On=true"
					dragonflyctl ticket submit tickets/8-top-up.yaml`,
				"How long the log has to keep records 1": `standin control "$platform/log/retention?Entries=20"`,
			}},
		},
	}
}

// isReadOnly reports whether a command changes no state, so that it can be repeated.
func isReadOnly(command string) bool {
	return regexp.MustCompile(`dragonflyctl (budget|fleet) |/readyz|/debug/`).MatchString(command)
}

// TestExamples guards against outputs in the pages that differ from those of the programs. UPDATE=1 rewrites the pages.
func TestExamples(t *testing.T) {
	programs := buildPrograms(t)
	for name, d := range testedPages() {
		t.Run(name, func(t *testing.T) {
			page, err := example.ReadPage("../" + name)
			assert.NoError(t, err)
			folder := t.TempDir()
			before := strings.Join(slices.Collect(maps.Values(d.plan.Before)), "\n")
			ports, err := example.CopyExamples("..", folder, page.String(), d.setUp, before)
			assert.NoError(t, err)
			assert.NoError(t, os.Symlink(programs, filepath.Join(folder, "bin")))
			session, err := newSession(t.Context(), folder, "PATH="+programs+":"+os.Getenv("PATH"))
			assert.NoError(t, err)
			defer func() { _ = session.Close() }()
			_, err = session.Run(ports.ToFree(d.setUp + "\n{\n" + page.Script(d.script) + "\n:\n} >setup.log 2>&1"))
			assert.NoError(t, err)
			d.plan.Fields = variableFields()
			got, err := page.Run(session, ports, d.plan, isReadOnly)
			assert.NoError(t, err)
			if os.Getenv("UPDATE") != "" {
				assert.NoError(t, page.WriteOutputs(got))
				return
			}
			for i, printed := range got {
				if c := page.Commands[i]; c.Output != printed {
					t.Errorf("%s, %s: %s", name, c.Place, c.Text)
					assert.Equal(t, c.Output, printed)
				}
			}
		})
	}
}

// buildPrograms builds all programs and returns the folder that contains them.
func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	build := exec.CommandContext(t.Context(), "make", "-C", "..", "build", "BIN="+folder, "VERSION=1.2.0")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return folder
}

// TestNames guards against broken links in the pages, and against make targets, commands, flags and environment variables that
// exist only in the pages, for example after a rename.
func TestNames(t *testing.T) {
	paths, err := filepath.Glob("../docs/*.md")
	assert.NoError(t, err)
	known := allHelp(t, buildPrograms(t))
	makefile, err := os.ReadFile("../Makefile")
	assert.NoError(t, err)
	for _, path := range append(paths, "../README.md", "../CONTRIBUTING.md") {
		broken, err := example.BrokenLinks(path)
		assert.NoError(t, err)
		assert.Equal(t, nil, broken)
		for _, c := range []struct{ pattern, known, line string }{
			{`(?:^|[^\w-])make ([a-z]+)`, string(makefile), `^%:`},
			{`(--[a-z][a-z-]+)`, known, `[ ,]%[ =\n]`},
			{`((?:STANDIN|DRAGONFLY)_[A-Z_]+)`, known, `[(\s]\$%[),]`},
			{`\bdragonflyctl ([a-z]+ [a-z]+)`, known, `^  %\b`},
			{`\bstandin ([a-z]+)`, known, `^  %\b`},
			{`\bbin/(\w+)`, strings.Join(example.Programs(), "\n"), `^%$`},
		} {
			names, err := example.FindNames(path, c.pattern)
			assert.NoError(t, err)
			for _, name := range names {
				if !regexp.MustCompile(`(?m)` + strings.Replace(c.line, "%", name, 1)).MatchString(c.known) {
					t.Errorf("%s mentions %s, which doesn't exist", path, name)
				}
			}
		}
	}
}

// allHelp returns the help texts of all programs and their subcommands.
func allHelp(t *testing.T, programs string) string {
	t.Helper()
	session, err := newSession(t.Context(), programs, "PATH="+programs+":"+os.Getenv("PATH"), "COLUMNS=500")
	assert.NoError(t, err)
	defer func() { _ = session.Close() }()
	help, err := session.Run(`router --help; platform --help; for p in dragonflyctl standin; do $p --help
		$p --help | sed -nE 's/^  ([a-z]+( [a-z]+)?)( .*)?$/\1/p' | while read -r verb; do $p $verb --help; done; done`)
	assert.NoError(t, err)
	return help
}
