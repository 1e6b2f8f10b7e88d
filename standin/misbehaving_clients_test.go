package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/crowdtest"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	fleetplatform "github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/standin/platform"
	"github.com/dragonflyworks/dragonflyworks/standin/service"
)

const (
	// crowdMemory is the memory in MB of the machine, crowdSockets the number of sockets that the router may have.
	crowdMemory  = 112
	crowdSockets = 800
	crowdKey     = "crowd-key"
	// largestBody is the longest body that the routes allow.
	largestBody = 1_000_000
	readyDelay  = 20 * time.Millisecond
)

// crowdRouter is the router's program with a simulated platform and service.
type crowdRouter struct {
	program, platformURL string
	command              *exec.Cmd
	callers, operators   string
	// flags are further flags of the program.
	flags []string
}

// newCrowdRouter builds the program and starts the surroundings of a router.
func newCrowdRouter(t *testing.T) *crowdRouter {
	t.Helper()
	r := &crowdRouter{program: filepath.Join(t.TempDir(), "router")}
	printed, err := exec.CommandContext(t.Context(), "go", "build", "-o", r.program, "../router").CombinedOutput()
	if err != nil {
		t.Fatalf("build the program: %v\n%s", err, printed)
	}
	app := httptest.NewServer((&service.Service{Name: "app"}).Handler())
	t.Cleanup(app.Close)
	simulated := &platform.Service{}
	ticket := fmt.Sprintf(`
Number: 1
Teams: [{Name: studio, KeyDigests: [%s]}]
Budgets: [{Name: main, Team: studio, Prepaid: 1000000000}]
Routes: [{Name: seats, Service: app, PathPrefix: /seats, Limits: {CallCost: 5, BodyBytes: %d}}]
InstanceSets: [{Name: all, Endpoints: [{Name: app-1, Service: app, Kind: Plain, Address: "%s", AvailabilityZone: a-1, Region: a}]}]
`, operator.KeyDigest(crowdKey), largestBody, app.Listener.Addr())
	_, err = simulated.Log.Append(t.Context(), fleetplatform.ConfigurationStream, []byte(ticket))
	assert.Must(t, err)
	server := httptest.NewServer(simulated.Handler())
	t.Cleanup(server.Close)
	r.platformURL = server.URL
	return r
}

// start starts a process on unused ports and returns once it serves a request.
func (r *crowdRouter) start(t *testing.T) {
	t.Helper()
	r.callers, r.operators = unusedAddress(t), unusedAddress(t)
	r.command = exec.CommandContext(context.WithoutCancel(t.Context()), r.program, append([]string{
		"--listen", r.callers, "--admin-listen", r.operators, "--platform", r.platformURL, "--instance", "r1", "--region", "a", "--availability-zone", "a-1",
		"--log-level", "error",
	}, r.flags...)...)
	r.command.Env = append(os.Environ(), fmt.Sprintf("DRAGONFLY_MEMORY=%d", crowdMemory), fmt.Sprintf("DRAGONFLY_SOCKETS=%d", crowdSockets))
	r.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.Must(t, r.command.Start())
	t.Cleanup(func() {
		_ = r.command.Process.Kill()
		_ = r.command.Wait()
	})
	for end := time.Now().Add(time.Minute); r.ask(1) != nil; time.Sleep(readyDelay) {
		if time.Now().After(end) {
			t.Fatalf("the router isn't ready after a minute: %v", r.ask(1))
		}
	}
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	socket, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.Must(t, err)
	defer func() { _ = socket.Close() }()
	return socket.Addr().String()
}

// ask sends an ordinary request on a connection of its own.
func (r *crowdRouter) ask(bodyBytes int) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.callers+"/seats", strings.NewReader(strings.Repeat("b", bodyBytes)))
	if err != nil {
		return err
	}
	request.Close = true
	request.Header.Set("Authorization", "Bearer "+crowdKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if answer, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %.200q, %w", response.StatusCode, answer, err)
	}
	return nil
}

// attack lets crowds come to one of the listeners, each kind to a process that has just started.
func (r *crowdRouter) attack(t *testing.T, address func() string, kinds []crowdtest.Kind) {
	t.Helper()
	for _, kind := range kinds {
		t.Run(kind.Name, func(t *testing.T) {
			r.start(t)
			r.target(address()).Attack(t, kind)
		})
	}
}

// target returns the process as the target of attacks at one of its listeners.
func (r *crowdRouter) target(address string) *crowdtest.Target {
	return &crowdtest.Target{
		PID: r.command.Process.Pid, Address: address, Addresses: []string{r.callers, r.operators}, Memory: crowdMemory << 20, Sockets: crowdSockets,
		LargestBody: largestBody, Ask: r.ask,
	}
}

// callerRequest is the beginning of requests of callers, with and without a body.
func callerRequest() crowdtest.Request {
	const head = "Host: seats.example\r\nAuthorization: Bearer " + crowdKey + "\r\n"
	return crowdtest.Request{Get: "GET /seats HTTP/1.1\r\n" + head, Post: "POST /seats HTTP/1.1\r\n" + head, LargestBody: largestBody}
}

// TestMisbehavingOwnCallersHeads guards against heads of callers that make a router's process exceed its memory or its descriptors.
func TestMisbehavingOwnCallersHeads(t *testing.T) {
	r := newCrowdRouter(t)
	r.attack(t, func() string { return r.callers }, crowdtest.Heads(callerRequest()))
}

// TestMisbehavingOwnCallersBodies is TestMisbehavingOwnCallersHeads for bodies of legal size.
func TestMisbehavingOwnCallersBodies(t *testing.T) {
	r := newCrowdRouter(t)
	r.attack(t, func() string { return r.callers }, crowdtest.Bodies(callerRequest()))
}

// TestMisbehavingOwnCallersChunks is TestMisbehavingOwnCallersHeads for bodies in chunks.
func TestMisbehavingOwnCallersChunks(t *testing.T) {
	r := newCrowdRouter(t)
	r.attack(t, func() string { return r.callers }, crowdtest.Chunks(callerRequest()))
}

// TestMisbehavingOwnOperators is TestMisbehavingOwnCallersHeads for all that clients send to the listener of operators.
func TestMisbehavingOwnOperators(t *testing.T) {
	r := newCrowdRouter(t)
	head := "/metrics HTTP/1.1\r\nHost: metrics.example\r\n"
	request := crowdtest.Request{Get: "GET " + head, Post: "POST " + head, LargestBody: largestBody}
	r.attack(t, func() string { return r.operators }, crowdtest.Heads(request))
	r.attack(t, func() string { return r.operators }, crowdtest.Bodies(request))
	r.attack(t, func() string { return r.operators }, crowdtest.Chunks(request))
}

// TestMisbehavingOwnRouters guards against clients that begin handshakes at the port of other routers and go no further.
func TestMisbehavingOwnRouters(t *testing.T) {
	r := newCrowdRouter(t)
	folder, lifetime := t.TempDir(), time.Hour
	authority, err := peer.NewAuthority("crowd", lifetime)
	assert.Must(t, err)
	issued, err := authority.Issue("r1", lifetime)
	assert.Must(t, err)
	peers := unusedAddress(t)
	r.flags = []string{"--peer-listen", peers}
	for flag, content := range map[string][]byte{"--tls-authority": authority.Certificate, "--tls-certificate": issued.Certificate, "--tls-key": issued.Key} {
		path := filepath.Join(folder, flag)
		assert.Must(t, os.WriteFile(path, content, 0o600))
		r.flags = append(r.flags, flag, path)
	}
	r.start(t)
	r.target(peers).AttackHandshakes(t, "dragonfly-peer/1")
}

// TestMisbehavingOwnCallersAtAStop guards against a router that doesn't end because clients don't complete their requests.
func TestMisbehavingOwnCallersAtAStop(t *testing.T) {
	r := newCrowdRouter(t)
	r.flags = []string{"--drain-delay", "1s", "--drain-maximum", "10s"}
	for _, kind := range crowdtest.Unfinished(callerRequest()) {
		t.Run(kind.Name, func(t *testing.T) {
			r.start(t)
			r.target(r.callers).AttackAtStop(t, kind)
		})
	}
}
