package main

import (
	"bytes"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// largeBody is below the body-bytes of the configuration, usualBody the size of an ordinary request.
	largeBody = 4_000_000
	usualBody = 12_000
	// bodyClients is the number of clients that send a request at the same time.
	bodyClients = 32
	// linkBytes is the bandwidth of a router's link (link-mbps), which the clients share.
	linkBytes  = 125_000_000
	bodyRounds = 4
	// memoryLimit is the memory-mb of the settings, in bytes. memoryInterval is the interval at which the platform looks.
	memoryLimit    = 134 << 20
	memoryInterval = 20 * time.Millisecond
)

// playBodies has clients send bodies within the limits at the same time. The platform ends a process that exceeds its memory.
func playBodies(s *site) (bool, error) {
	for _, zone := range []string{"luzon-a", "visayas-a", "mindanao-a"} {
		r, err := s.startRunner("huvo11a", zone, 6)
		if err != nil {
			return false, err
		}
		if err := r.start(); err != nil {
			return false, err
		}
	}
	s.configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "r-1", "host": clientHost, "path-prefix": "/puxa403/", "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 200,
			"priority": 1, "service": "huvo11a", "max-attempts": 1, "public": false,
		}},
		"services": []any{plainService("huvo11a")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{"key-1"}, "priority": 1}},
	})
	for _, zone := range []string{"luzon", "visayas"} {
		if _, err := s.startRouter("edge-"+zone+"-a-1", zone+"-a", zone); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	size := usualBody
	if s.hasTrouble {
		size = largeBody
	}
	body := bytes.Repeat([]byte("b"), size)
	kills := map[string]int{}
	var watches sync.WaitGroup
	done := make(chan struct{})
	for _, r := range s.routers {
		watches.Go(func() { kills[r.name] = r.watchMemory(done) })
	}
	for range bodyRounds {
		time.Sleep(3 * time.Second)
		if err := s.awaitReady(); err != nil {
			return false, err
		}
		var clients sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		for _, r := range s.routers {
			for range bodyClients {
				clients.Go(func() {
					q := &attempt{method: http.MethodPost, target: "/puxa403/2f", key: "key-1", deadline: 3 * time.Second, body: body, bytesPerSecond: linkBytes / bodyClients}
					q.send(r.frontend)
					mu.Lock()
					defer mu.Unlock()
					statuses[q.status]++
				})
			}
		}
		clients.Wait()
		s.record("clients: %d requests of %d bytes to each router at the same time: answers by status %v", bodyClients, size, statuses)
	}
	close(done)
	watches.Wait()
	affected := 0
	for _, r := range s.routers {
		s.record("%s: exceeded its memory %d times", r.name, kills[r.name])
		if kills[r.name] >= 3 {
			affected++
		}
	}
	return affected >= 2, nil
}

// watchMemory kills the process when it exceeds its memory, and returns how often that happened.
func (r *router) watchMemory(done <-chan struct{}) int {
	count, killed, peak := 0, 0, int64(0)
	for {
		select {
		case <-done:
			r.site.record("%s: at most %d MB resident", r.name, peak>>20)
			return count
		case <-time.After(memoryInterval):
		}
		pid := r.pid()
		resident := residentBytes(pid)
		peak = max(peak, resident)
		if resident > memoryLimit && pid != killed {
			r.site.record("%s: %d MB resident, over %d MB; the platform kills the process", r.name, resident>>20, memoryLimit>>20)
			count, killed = count+1, pid
			r.signal(syscall.SIGKILL)
		}
	}
}

// residentBytes returns the resident memory of a process without pages of files.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
