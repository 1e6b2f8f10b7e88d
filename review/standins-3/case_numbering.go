package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// tokensPerEvent is the number of tokens that an event of a stream holds, by the sheet of Pintados.
	tokensPerEvent = 5
	// configWindow is the time after the ack of a config in which LOST holds beside it: config-apply-ms and one second.
	configWindow = 2500*time.Millisecond + time.Second
	// cutFactor is the factor of LOST: a config counts only if a machine cuts requests over three times as often then as at other times.
	cutFactor = 3
)

// playNumbering moves a route of streams to another service. The runners of the first service number the events of a stream by one, those of the
// other by the tokens that the stream holds so far. Both are increasing ids.
func playNumbering(s *Site) (int, error) {
	var mu sync.Mutex
	whole, runners := make(map[string]bool), make(map[string]string)
	serve := func(step int) func(*Runner, *Channel, *http.Request, []byte) bool {
		return func(r *Runner, c *Channel, request *http.Request, _ []byte) bool {
			id := request.Header.Get("Request-Id")
			time.Sleep(100 * time.Millisecond)
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.seal(id))
			events := 8 + rand.IntN(12)
			for i := 1; i <= events && err == nil; i++ {
				event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i*step, i, id)
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
				time.Sleep(60 * time.Millisecond)
			}
			if err == nil {
				_, err = fmt.Fprint(c, "0\r\n\r\n")
			}
			mu.Lock()
			whole[id], runners[id] = err == nil, r.ID
			mu.Unlock()
			s.Record.Write("stream", id, r.ID, "events", events, "written whole", err == nil, err)
			return err == nil
		}
	}
	for i := range 8 {
		service, step := "brush-llm", 1
		if i >= 4 {
			service, step = "brush-llm-tokens", tokensPerEvent
		}
		r := &Runner{ID: fmt.Sprintf("i-llm%d", i), Service: service, Zone: []string{"luzon-a", "visayas-a", "mindanao-a"}[i%3], Version: "v1", Slots: 64, Serve: serve(step)}
		if err := r.Start(s.Store, s.Record, s.NextIP()); err != nil {
			return notPlayed, err
		}
		defer r.Leave()
	}
	engine := map[string]any{"slot-count": 64, "kv-capacity-tokens": 490530, "kv-token-bytes": 163840, "stride": tokensPerEvent, "models": []map[string]any{{"name": "m"}}}
	configure := func(service string) {
		s.Configure([]map[string]any{
			{"name": "portrait-brief", "host": "shop.example", "path-prefix": "/brief/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 800,
				"target-gap-ms": 250, "priority": 1, "service": service, "max-attempts": 1, "public": false, "sticky": true, "resumable": false},
		}, []map[string]any{
			{"name": "brush-llm", "health-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false, "engine-kind": engine},
			{"name": "brush-llm-tokens", "health-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false, "engine-kind": engine},
		}, nil)
	}
	configure("brush-llm")
	if err := s.StartRouters(6); err != nil {
		return notPlayed, err
	}
	time.Sleep(3500 * time.Millisecond)
	start := time.Now()
	end := start.Add(30 * time.Second)
	type sent struct {
		Answer
		router string
	}
	var answers []sent
	var clients sync.WaitGroup
	for i := range 42 {
		clients.Go(func() {
			router := s.Routers[i%len(s.Routers)]
			c := &Client{Address: router.Frontend(), site: s}
			defer c.Close()
			time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			for n := 0; time.Now().Before(end); n++ {
				a := c.Send(Request{
					Method: http.MethodPost, Host: "shop.example", Path: "/brief/2f", Body: make([]byte, 2000), Limit: 15 * time.Second,
					Header: fmt.Sprintf("Model: m\r\nToken-Counts: 600,%d\r\nPrompt-Prefix: 5c1e07a2:400,%x:200\r\n", 20*tokensPerEvent, 4096+i*1000+n),
				})
				mu.Lock()
				answers = append(answers, sent{a, router.Name})
				mu.Unlock()
				time.Sleep(time.Duration(200+rand.IntN(800)) * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(start.Add(12 * time.Second)))
	changedAt := time.Now()
	if s.HasTrouble {
		configure("brush-llm-tokens")
	}
	clients.Wait()
	type rate struct{ requests, cut int }
	beside, other := make(map[string]*rate), make(map[string]*rate)
	for _, r := range s.Routers {
		beside[r.Name], other[r.Name] = &rate{}, &rate{}
	}
	for _, a := range answers {
		counted := other[a.router]
		if s.HasTrouble && a.SentAt.After(changedAt) && a.EndedAt.Before(changedAt.Add(configWindow)) {
			counted = beside[a.router]
		}
		counted.requests++
		// The runner did not break off: it stopped when the router closed the channel to it.
		if runners[a.ID] != "" && !a.IsComplete && !IsTimeout(a.Err) {
			counted.cut++
			s.Record.Write("cut", a.ID, a.router, "after the config", a.EndedAt.Sub(changedAt), "runner", runners[a.ID], "status", a.Status, "error", a.Err)
		}
	}
	code := held
	for _, r := range s.Routers {
		b, o := beside[r.Name], other[r.Name]
		s.Record.Say(r.Name, "beside the config: cut", b.cut, "of", b.requests, "- at other times: cut", o.cut, "of", o.requests)
		if b.cut > 0 && float64(b.cut)*float64(max(1, o.requests)) > cutFactor*float64(o.cut)*float64(max(1, b.requests)) {
			code = broken
		}
	}
	return code, nil
}
