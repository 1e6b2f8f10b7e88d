package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryBytes is what a machine has, memoryCheck the interval at which the platform looks.
	memoryBytes = 134 << 20
	memoryCheck = 20 * time.Millisecond
)

// memoryWatch is the platform: it kills processes that exceed the memory of their machine.
type memoryWatch struct {
	lab  *lab
	stop chan struct{}

	mu   sync.Mutex
	peak map[string]int64
	ends map[string]int
	// killed is, by machine, the process that was killed last.
	killed map[string]int
}

func newMemoryWatch(l *lab) *memoryWatch {
	w := &memoryWatch{lab: l, stop: make(chan struct{}), peak: make(map[string]int64), ends: make(map[string]int), killed: make(map[string]int)}
	go w.run()
	return w
}

func (w *memoryWatch) run() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(memoryCheck):
		}
		for _, m := range w.lab.machines {
			w.check(m)
		}
	}
}

func (w *memoryWatch) check(m *machine) {
	pid := m.pid()
	resident := residentBytes(pid)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak[m.name] = max(w.peak[m.name], resident)
	if resident > memoryBytes && w.killed[m.name] != pid {
		w.ends[m.name]++
		w.killed[m.name] = pid
		w.lab.note("%s exceeds its memory with %d MB and is killed", m.name, resident>>20)
		m.signal(syscall.SIGKILL)
	}
}

// judge ends the watch and reports whether at least two machines' processes ended three times or more.
func (w *memoryWatch) judge() bool {
	close(w.stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	often := 0
	for _, m := range w.lab.machines {
		w.lab.note("%s: at most %d MB of %d, ended %d times", m.name, w.peak[m.name]>>20, memoryBytes>>20, w.ends[m.name])
		if w.ends[m.name] >= 3 {
			often++
		}
	}
	return often >= 2
}

// residentBytes returns the anonymous resident memory of a process; zero if it has ended.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(content), "RssAnon:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}
