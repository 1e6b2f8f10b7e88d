package main

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/dragonflyworks/dragonflyworks/fleet/connections"
)

const (
	// machineDivisor is the part of the machine's memory that a router takes if none is set: one in machineDivisor bytes.
	machineDivisor = 2
	// gcMemoryFraction is the fraction of the memory above which the Go runtime collects garbage more often, bodyMemoryFraction that for the bodies
	// of requests.
	gcMemoryFraction   = 0.6
	bodyMemoryFraction = 0.35
	// bodyCopies is the number of times that a body is in memory while it is checked and rewritten.
	bodyCopies = 4
	// fileDescriptors is the number of descriptors that aren't sockets.
	fileDescriptors = 50
)

// memoryBytes returns the memory that the router may take, in bytes; zero if it isn't set and that of the machine isn't known.
func (s *Settings) memoryBytes() int64 {
	if s.Memory > 0 {
		return s.Memory << 20
	}
	info := unix.Sysinfo_t{}
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit) / machineDivisor
}

// socketCount returns the number of sockets that the router may have; zero if it isn't set and the limit on open files isn't known.
func (s *Settings) socketCount() int {
	if s.Sockets > 0 {
		return s.Sockets
	}
	limit := unix.Rlimit{}
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, socketsMaximum)) - fileDescriptors
}

// bodyMemory returns the memory in bytes for the bodies of requests.
func (s *Settings) bodyMemory() int64 {
	return int64(bodyMemoryFraction*float64(s.memoryBytes())) / bodyCopies
}

// callerLimits returns the limits on the connections of callers.
func (s *Settings) callerLimits() connections.Limits {
	return connections.CallerLimits(s.memoryBytes(), s.socketCount())
}

// limitHeap sets the memory from which the Go runtime collects garbage more often.
func (s *Settings) limitHeap() {
	if memory := s.memoryBytes(); memory > 0 {
		debug.SetMemoryLimit(int64(gcMemoryFraction * float64(memory)))
	}
}
