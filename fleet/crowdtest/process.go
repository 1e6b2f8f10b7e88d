package crowdtest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// process reads what the kernel knows of a process.
type process struct {
	pid   int
	ports []int
}

// PeakMemory returns the most resident memory in bytes that a process has had.
func PeakMemory(pid int) (int, error) { return (&process{pid: pid}).memory("VmHWM") }

// memory returns a value of the process's status in bytes: VmRSS for the resident memory, VmHWM for its peak.
func (p *process) memory(field string) (int, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(content), field+":")
	kilobytes := 0
	_, err = fmt.Sscan(after, &kilobytes)
	return kilobytes << 10, err
}

// hasEnded reports whether the process has ended, whether or not its parent has noted that.
func (p *process) hasEnded() bool {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	return err != nil || strings.Contains(string(content), "State:\tZ")
}

// sockets returns the number of open sockets.
func (p *process) sockets() (int, error) {
	folder := fmt.Sprintf("/proc/%d/fd", p.pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0, err
	}
	count := 0
	for _, e := range entries {
		// Descriptors that were closed meanwhile have no link any more.
		if target, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count, nil
}

// Columns and the state of listening sockets in /proc/net/tcp.
const (
	addressColumn = 1
	stateColumn   = 3
	queueColumn   = 4
	stateListen   = "0A"
)

// unreadBytes returns the number of bytes that the process's connections have received and not yet read.
func (p *process) unreadBytes() (int, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.pid))
	if err != nil {
		return 0, err
	}
	total := 0
	for line := range strings.Lines(string(content)) {
		columns := strings.Fields(line)
		if len(columns) <= queueColumn || columns[stateColumn] == stateListen || !p.hasPort(columns[addressColumn]) {
			continue
		}
		_, received, _ := strings.Cut(columns[queueColumn], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, errors.Join(errors.New("unexpected line of /proc/net/tcp: "+line), err)
		}
		total += int(n)
	}
	return total, nil
}

// hasPort reports whether an address of /proc/net/tcp has one of the process's ports.
func (p *process) hasPort(address string) bool {
	for _, port := range p.ports {
		if strings.HasSuffix(address, fmt.Sprintf(":%04X", port)) {
			return true
		}
	}
	return false
}
