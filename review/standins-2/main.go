// Command lab plays the cases of the second review: it starts the project's program as separate processes beside stand-ins of
// the platform's store, the runners and the clients, and checks one rule from what these have seen. It exits with 0 if the
// rule held, with 1 if it was broken and with 2 if the case could not be played.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// lab is the site of one case.
type lab struct {
	// hasTrouble is false with TROUBLE=0, which plays the case without its disruption.
	hasTrouble bool
	directory  string
	began      time.Time
	store      *store
	machines   []*machine
	runners    []*runner
	clients    *clients

	mu     sync.Mutex
	record io.Writer
}

// note writes a line to record.txt, with the time since the begin of the case.
func (l *lab) note(format string, arguments ...any) { l.noteAt(time.Now(), format, arguments...) }

func (l *lab) noteAt(at time.Time, format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%9.3f  %s\n", at.Sub(l.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// configure writes a version of the operators' configuration.
func (l *lab) configure(version int, routes, services []map[string]any) time.Time {
	return l.configureTenant(version, routes, services, map[string]any{"name": "studio", "api-keys": []string{"key-of-studio"}})
}

func (l *lab) configureTenant(version int, routes, services []map[string]any, tenant map[string]any) time.Time {
	acked := l.store.putJSON("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-ms": 5000, "idle-ms": 20000},
		"tenants": []map[string]any{tenant},
	})
	l.note("config %d acknowledged by the store", version)
	return acked
}

// startMachines starts n machines in the three zones and waits until all are in rotation.
func (l *lab) startMachines(n int) error {
	program, err := filepath.Abs("target/platform")
	if err != nil {
		return err
	}
	if _, err := os.Stat(program); err != nil {
		return err
	}
	// Another program may take a port between the choice and the start.
	for range 3 {
		if err = l.tryMachines(program, n); err == nil {
			l.clients = &clients{machines: l.machines}
			l.note("%d machines are in rotation", n)
			return nil
		}
		l.stopMachines()
	}
	return err
}

func (l *lab) tryMachines(program string, n int) error {
	ports, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	zones := []string{"luzon-a", "visayas-a", "mindanao-a"}
	for i := range n {
		zone := zones[i%len(zones)]
		m, err := newMachine(program, l.directory, fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), zone, l.store.address, ports[4*i:4*i+4])
		if err != nil {
			return err
		}
		l.machines = append(l.machines, m)
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(l.machines, func(m *machine) bool { return !m.inRotation.Load() }) {
			return nil
		}
	}
	return errors.New("machines are not ready after 10 s")
}

// stopMachines ends the processes of all machines for good.
func (l *lab) stopMachines() {
	var stops sync.WaitGroup
	for _, m := range l.machines {
		stops.Add(1)
		go func() {
			defer stops.Done()
			m.stop()
		}()
	}
	stops.Wait()
	l.machines = nil
}

func (l *lab) close() {
	l.stopMachines()
	for _, r := range l.runners {
		r.exit()
	}
	if l.store != nil {
		_ = l.store.listener.Close()
	}
	if os.Getenv("LAB_KEEP") == "" {
		_ = os.RemoveAll(l.directory)
	}
}

// arrivals returns what reached all runners.
func (l *lab) arrivals() []arrival {
	var all []arrival
	for _, r := range l.runners {
		all = append(all, r.snapshot()...)
	}
	return all
}

// summarize notes each request with what the client saw and where it ran.
func (l *lab) summarize() {
	byID := make(map[string][]arrival)
	for _, a := range l.arrivals() {
		byID[a.id] = append(byID[a.id], a)
	}
	for _, c := range l.clients.snapshot() {
		line := fmt.Sprintf("sent %s to %s: status %d whole %t after %d ms", c.id, c.machine, c.status, c.isWhole, c.endedAt.Sub(c.sentAt).Milliseconds())
		if c.failure != "" {
			line += " (" + c.failure + ")"
		}
		for _, a := range byID[c.id] {
			line += fmt.Sprintf("; reached %s at %.3f ran %t complete %t", a.runner, a.at.Sub(l.began).Seconds(), a.ran, a.isComplete)
		}
		l.noteAt(c.sentAt, "%s", line)
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(exitUnable)
	}
	cases := map[string]func(*lab) (bool, error){"leaving": playLeaving, "slow-readers": playSlowReaders, "whole": playWhole, "fields": playFields, "prompts": playPrompts}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "lab: no such case")
		os.Exit(exitUnable)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*lab) (bool, error), recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitUnable
	}
	defer func() { _ = record.Close() }()
	directory, err := os.MkdirTemp("", "lab-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitUnable
	}
	l := &lab{hasTrouble: os.Getenv("TROUBLE") != "0", directory: directory, began: time.Now(), record: record}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.close()
		os.Exit(exitUnable)
	}()
	l.note("disruption: %t", l.hasTrouble)
	if l.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitUnable
	}
	isBroken, err := play(l)
	switch {
	case err != nil:
		l.note("could not be played: %v", err)
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitUnable
	case isBroken:
		return exitBroken
	default:
		return exitHeld
	}
}
