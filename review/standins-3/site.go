package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Site is a small deployment: three zones, a store and routers as processes of their own.
type Site struct {
	Store   *Store
	Record  *Record
	Routers []*Router
	// HasTrouble reports whether the case's disruption happens.
	HasTrouble bool

	dir, root, program string
	subnet             int
	ports              [4]int
	version            int
	nextHost           int
}

// NewSite starts the store. Close ends all.
func NewSite(record *Record, root string) (*Site, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &Site{Record: record, dir: dir, root: root, program: filepath.Join(root, "target", "platform"), HasTrouble: os.Getenv("TROUBLE") != "0"}
	s.subnet, s.nextHost = 20+rand.IntN(200), 100
	if s.Store, err = NewStore(s.NextIP()); err != nil {
		return nil, err
	}
	return s, nil
}

// NextIP returns a loopback address that this site doesn't use yet.
func (s *Site) NextIP() string {
	s.nextHost++
	return fmt.Sprintf("127.%d.7.%d", s.subnet, s.nextHost)
}

// StartRouters starts routers in the zones, in turn, and waits until all are ready.
func (s *Site) StartRouters(count int) error {
	zones := []string{"luzon-a", "visayas-a", "mindanao-a"}
	var ips []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.%d.7.%d", s.subnet, 10+i))
	}
	if err := s.findPorts(ips); err != nil {
		return err
	}
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		r := &Router{Name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), IP: ip, Zone: zone, site: s, done: make(chan struct{})}
		r.settings = filepath.Join(s.dir, r.Name+".toml")
		if err := os.WriteFile(r.settings, []byte(r.settingsFile()), 0o644); err != nil {
			return err
		}
		s.Routers = append(s.Routers, r)
		go r.run()
	}
	return s.AwaitReady(20 * time.Second)
}

var errNotReady = errors.New("routers aren't ready in time")

// AwaitReady waits until all routers are ready.
func (s *Site) AwaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range s.Routers {
			if r.IsReady() {
				ready++
			}
		}
		if ready == len(s.Routers) {
			return nil
		}
	}
	return errNotReady
}

// findPorts finds ports that are free at all addresses: three single ones and a range of 16.
func (s *Site) findPorts(ips []string) error {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		isFree := true
		for _, ip := range ips {
			for p := base; p < base+20 && isFree; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					isFree = false
					break
				}
				_ = l.Close()
			}
		}
		if isFree {
			s.ports = [4]int{base, base + 1, base + 2, base + 4}
			return nil
		}
	}
	return errors.New("no free ports")
}

// Configure writes the next version of the config, as the operator.
func (s *Site) Configure(routes, services, tenants []map[string]any) {
	s.version += 3
	value, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 4194304, "header-ms": 3000, "idle-ms": 15000},
	})
	s.Store.Put("keyed.op", "config", value)
	s.Record.Write("config", s.version, "acknowledged")
}

// Close ends all processes and removes the temporary folder.
func (s *Site) Close() {
	for _, r := range s.Routers {
		r.close()
	}
	s.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}
