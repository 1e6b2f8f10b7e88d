package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// backAfter is how long a runner that a request has crashed is away.
	backAfter = 2500 * time.Millisecond
	// againAfter is how long after its answer the crashing request comes again, at the next machine.
	againAfter = 3 * time.Second
	// contact is contact-ms. lateLimit is the number of retries later than that after the third crash that BUDGET allows.
	contact   = 3 * time.Second
	lateLimit = 3
)

// crashingRunner is a runner that a request may crash: its process ends, with all its channels, and starts again at the same address under the id
// that it had.
type crashingRunner struct {
	Runner
	site *Site

	mu     sync.Mutex
	open   map[net.Conn]bool
	isDown bool
}

func (r *crashingRunner) start(ip string) error {
	r.open = make(map[net.Conn]bool)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	r.store, r.record, r.Address, r.ended = r.site.Store, r.site.Record, listener.Addr().String(), make(chan struct{})
	r.places = make(chan struct{}, r.Slots)
	r.begin(listener)
	go r.keepBeating()
	return nil
}

// begin registers the process and accepts channels.
func (r *crashingRunner) begin(listener net.Listener) {
	r.Runner.mu.Lock()
	r.listener, r.born, r.state, r.isGone = listener, time.Now().UnixMilli(), "ready", false
	r.Runner.mu.Unlock()
	r.beat()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.open[c] = true
			r.mu.Unlock()
			go r.serveChannel(&Channel{Conn: c, reader: newReader(c)})
		}
	}()
}

// crash ends the process. A crashed runner sends nothing: its entry stays until it is back, which takes less than three heartbeats.
func (r *crashingRunner) crash(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDown {
		return false
	}
	r.isDown = true
	r.Runner.mu.Lock()
	r.isGone = true
	r.Runner.mu.Unlock()
	_ = r.listener.Close()
	for c := range r.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(r.open)
	r.site.Record.Write("crash", r.ID, "by", id)
	time.AfterFunc(backAfter, r.comeBack)
	return true
}

func (r *crashingRunner) comeBack() {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		r.site.Record.Say("runner can't come back:", err)
		return
	}
	r.mu.Lock()
	r.isDown = false
	r.mu.Unlock()
	r.begin(listener)
	r.site.Record.Write("back", r.ID)
}

// playCrashing sends a request that crashes each runner that begins to run it, again and again, at one machine after the other. Its service has no
// other traffic at that time; another service has.
func playCrashing(s *Site) (int, error) {
	var mu sync.Mutex
	var arrivals, crashes []time.Time

	for i := range 3 {
		r := &crashingRunner{site: s}
		r.ID = fmt.Sprintf("i-app%d", i)
		r.Service, r.Zone, r.Version, r.Slots = "atelier-app", []string{"luzon-a", "visayas-a", "mindanao-a"}[i], "v1", 6
		r.Serve = func(_ *Runner, c *Channel, request *http.Request, body []byte) bool {
			id := request.Header.Get("Request-Id")
			time.Sleep(workTime())
			if string(body) == "order 7741" {
				now := time.Now()
				mu.Lock()
				arrivals = append(arrivals, now)
				mu.Unlock()
				if s.HasTrouble && r.crash(id) {
					mu.Lock()
					crashes = append(crashes, now)
					mu.Unlock()
					return false
				}
			}
			return c.writeWhole("200 OK", fmt.Sprintf("Request-Id: %s\r\nResponse-Seal: %s\r\n", id, r.seal(id)), make([]byte, 800))
		}
		if err := r.start(s.NextIP()); err != nil {
			return notPlayed, err
		}
	}
	for i := range 3 {
		r := &Runner{ID: fmt.Sprintf("i-catalogue%d", i), Service: "catalogue", Zone: "luzon-a", Version: "v1", Slots: 6}
		r.Serve = func(r *Runner, c *Channel, request *http.Request, _ []byte) bool {
			id := request.Header.Get("Request-Id")
			time.Sleep(workTime())
			return c.writeWhole("200 OK", fmt.Sprintf("Request-Id: %s\r\nResponse-Seal: %s\r\n", id, r.seal(id)), make([]byte, 800))
		}
		if err := r.Start(s.Store, s.Record, s.NextIP()); err != nil {
			return notPlayed, err
		}
	}
	s.Configure([]map[string]any{
		{"name": "deposit-confirm", "host": "shop.example", "path-prefix": "/deposit/", "kind": "non_idempotent", "timeout-ms": 1000, "target-latency-ms": 200,
			"priority": 2, "service": "atelier-app", "max-attempts": 1, "public": false, "sticky": false, "resumable": false},
		{"name": "catalogue", "host": "shop.example", "path-prefix": "/catalogue/", "kind": "idempotent", "timeout-ms": 1000, "target-latency-ms": 200,
			"priority": 2, "service": "catalogue", "max-attempts": 2, "public": false, "sticky": false, "resumable": false},
	}, []map[string]any{
		{"name": "atelier-app", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false},
		{"name": "catalogue", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false},
	}, nil)
	if err := s.StartRouters(6); err != nil {
		return notPlayed, err
	}
	time.Sleep(3500 * time.Millisecond)
	end := time.Now().Add(75 * time.Second)
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			c := &Client{Address: s.Routers[i%len(s.Routers)].Frontend(), site: s}
			defer c.Close()
			for time.Now().Before(end) {
				c.Send(Request{Method: http.MethodGet, Host: "shop.example", Path: "/catalogue/2f", Limit: 2 * time.Second})
				time.Sleep(time.Duration(300+rand.IntN(400)) * time.Millisecond)
			}
		})
	}
	statuses, sent := make(map[int]int), 0
	for ; time.Now().Before(end); sent++ {
		c := &Client{Address: s.Routers[sent%len(s.Routers)].Frontend(), site: s}
		a := c.Send(Request{Method: http.MethodPost, Host: "shop.example", Path: "/deposit/2f", Body: []byte("order 7741"), Limit: 2 * time.Second})
		statuses[a.Status]++
		c.Close()
		time.Sleep(againAfter)
	}
	clients.Wait()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at.Sub(crashes[2]) > contact {
				late++
			}
		}
	}
	s.Record.Say("the request was sent", sent, "times, with answers", fmt.Sprint(statuses), "- it reached runners", len(arrivals), "times and crashed", len(crashes))
	s.Record.Say("it reached runners later than contact-ms after its third crash:", late, "times - allowed:", lateLimit)
	if late > lateLimit {
		return broken, nil
	}
	return held, nil
}
