package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the pages' sheet for the small Pintados deployment.
const (
	contactTime = 3 * time.Second
	drainTime   = 2500 * time.Millisecond
	graceTime   = 8 * time.Second
	restartTime = 300 * time.Millisecond
)

// machine is an edge machine: one process of the project's program, which is started again after each end.
type machine struct {
	name, zone, frontend, ready string
	settings, logPath           string
	content                     string
	program                     string

	mu        sync.Mutex
	command   *exec.Cmd
	starts    int
	isStopped bool
	done      chan struct{}
	// inRotation reports whether the balancer sends new channels here.
	inRotation atomic.Bool
}

// freePorts returns ports below the ephemeral ones on which nothing listens. The UDP port after each is free too.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range 1_000 {
		if len(ports) == n {
			return ports, nil
		}
		port := 20_000 + rand.IntN(12_000)
		if slices.Contains(ports, port) {
			continue
		}
		tcp, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port+1))
		_ = tcp.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		ports = append(ports, port)
	}
	return nil, fmt.Errorf("no %d free ports", n)
}

// newMachine writes a settings file like that of DEPLOY.md and starts the process.
func newMachine(program, directory, name, zone, storeAddress string, ports []int) (*machine, error) {
	m := &machine{
		name: name, zone: zone, program: program,
		frontend: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1]),
		settings: filepath.Join(directory, name+".toml"), logPath: filepath.Join(directory, name+".log"), done: make(chan struct{}),
	}
	content := fmt.Sprintf(`node-name = %q
role = "router"
machine-class = "edge"
served-roles = ["edge"]
ip-address = "127.0.0.1"
zone = %q
region = %q
internal-ports = [%d, %d]
bootstrap = true
counts-as-loss = false
discovery-source = "platform"
entry-mode = "virtual_ip"
heartbeat-ms = 1200
active-contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
luzon-a = "luzon"
visayas-a = "visayas"
mindanao-a = "mindanao"
[listen-addrs]
frontend = %q
ready = %q
[limits]
cpu-share = 0.4
cpu-cores = 1
memory-mb = 134
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[contract-params]
contact-ms = 3000
drain-ms = 2500
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2500
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 52
[platform]
address = %q
form = "log"
writes-per-s = 600
reads-per-s = 2000
parts = 12
append-ms = 2.0
record-bytes = 262144
call-bytes = 2097152
keep_s = 20
`, name, zone, regionOf(zone), ports[2], ports[2]+1, m.frontend, m.ready, storeAddress)
	m.content = content
	go m.run()
	go m.check()
	return m, nil
}

func regionOf(zone string) string { return zone[:len(zone)-len("-a")] }

// run keeps the process running until stop.
func (m *machine) run() {
	defer close(m.done)
	logFile, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer func() { _ = logFile.Close() }()
	// Pdeathsig ends the process with the thread that started it, so that none is left if this program is killed.
	runtime.LockOSThread()
	for {
		command := exec.Command(m.program)
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		command.Env = []string{
			"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYWORKS_NODE_FILE=" + m.settings,
			"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
		}
		command.Stdout, command.Stderr = logFile, logFile
		content := m.content
		if m.startCount() > 0 {
			content = strings.Replace(content, "bootstrap = true", "bootstrap = false", 1)
		}
		if err := os.WriteFile(m.settings, []byte(content), 0o600); err != nil {
			return
		}
		m.mu.Lock()
		if m.isStopped {
			m.mu.Unlock()
			return
		}
		err := command.Start()
		m.command = command
		m.starts++
		m.mu.Unlock()
		if err == nil {
			_ = command.Wait()
		}
		time.Sleep(restartTime)
	}
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(s)
	}
}

// pid returns the process id of the newest process, or -1 before the first.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil || m.command.Process == nil {
		return -1
	}
	return m.command.Process.Pid
}

func (m *machine) startCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.isStopped = true
	m.mu.Unlock()
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	select {
	case <-m.done:
	case <-time.After(5 * time.Second):
	}
}

// check asks the machine once a second whether it is ready. Two misses take it out of rotation, a success puts it back.
func (m *machine) check() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		response, err := client.Get("http://" + m.ready + "/api/ready")
		isReady := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if misses++; isReady {
			misses = 0
			m.inRotation.Store(true)
		} else if misses >= 2 {
			m.inRotation.Store(false)
		}
		select {
		case <-m.done:
			return
		case <-time.After(time.Second):
		}
	}
}
