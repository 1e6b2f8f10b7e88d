package main

import (
	"net/http"
	"sync"
	"time"
)

// Figures of the case: streams in progress at each of three runners of 64 slots, how long each lasts, and how often the request comes again
// that crashes runners.
const (
	poisonStreams  = 300
	poisonEvents   = 60
	poisonInterval = 1 * time.Second
	poisonTime     = 95 * time.Second
	poisonID       = "/lohu930/poison"
	// shortCounts are the tokens of requests with a short answer, shortRate how many of them are sent a second.
	shortCounts = "710,25"
	shortRate   = 40
)

// playPoison has a request come again and again that crashes each runner that begins to run it, beside sound streams.
func playPoison(s *site) (bool, error) {
	for _, zone := range []string{"luzon-a", "visayas-a", "mindanao-a"} {
		r, err := s.startRunner("huvo11a", zone, 64)
		if err != nil {
			return false, err
		}
		r.events = func(request *http.Request) int {
			if request.Header.Get("Token-Counts") == shortCounts {
				return 5
			}
			return poisonEvents
		}
		r.eventInterval = 40 * time.Millisecond
		r.crashesOn = func(request *http.Request) bool { return request.URL.Path == poisonID && s.hasTrouble }
		if err := r.start(); err != nil {
			return false, err
		}
	}
	s.configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "r-1", "host": clientHost, "path-prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 800,
			"priority": 1, "service": "huvo11a", "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "target-gap-ms": 250,
		}},
		"services": []any{modelService("huvo11a")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{"key-1"}, "priority": 1, "prepaid-tokens": 1 << 40}},
	})
	a, err := s.startRouter("edge-visayas-a-1", "visayas-a", "visayas")
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(poisonTime)
	var clients sync.WaitGroup
	sound := &tally{site: s, name: "sound requests"}
	go sound.run()
	for i := range poisonStreams {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Second / poisonStreams)
			for time.Now().Before(end) {
				sent := &attempt{method: "POST", target: "/lohu930/2f", key: "key-1", deadline: 15 * time.Second, body: []byte("sound " + newID()), header: map[string]string{
					"Model": "m", "Token-Counts": "710,300", "Prompt-Prefix": "5c1e07a2:500," + newID()[:8] + ":210",
				}}
				sound.send(sent, a.frontend)
				if sent.status != http.StatusOK {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	clients.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Second / shortRate)
			clients.Go(func() {
				sent := &attempt{method: "POST", target: "/lohu930/2f", key: "key-1", deadline: 15 * time.Second, body: []byte("short " + newID()), header: map[string]string{
					"Model": "m", "Token-Counts": shortCounts, "Prompt-Prefix": "5c1e07a2:500," + newID()[:8] + ":210",
				}}
				sound.send(sent, a.frontend)
			})
		}
	})
	time.Sleep(7 * time.Second)
	for time.Now().Before(end) {
		sent := &attempt{method: "POST", target: poisonID, key: "key-1", deadline: 15 * time.Second, body: []byte("poison"), header: map[string]string{
			"Model": "m", "Token-Counts": "710,300", "Prompt-Prefix": "5c1e07a2:500,0badbad0:210",
		}}
		sent.send(a.frontend)
		s.record("client: the request that crashes runners, as %s: status %d, Retry-After %q, error %v", sent.id, sent.status, sent.retryAfter, sent.err)
		time.Sleep(poisonInterval)
	}
	clients.Wait()
	sound.report()
	var crashes []time.Time
	for _, began := range s.allRuns() {
		if began.target == poisonID && s.hasTrouble {
			crashes = append(crashes, began.at)
		}
	}
	sortTimes(crashes)
	late := 0
	for i, at := range crashes {
		if i >= 3 && at.Sub(crashes[2]) > 3*time.Second {
			late++
		}
	}
	s.record("runners crashed %d times by the request; %d of these retries came more than contact-ms after the third crash, 3 are allowed", len(crashes), late)
	return late > 3, nil
}
