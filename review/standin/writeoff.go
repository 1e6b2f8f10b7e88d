package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	writeoffTotal = 1_000_000
	// owedPart is the part of the total up to which requests are owed.
	owedPart = 0.97
	// writeoffKills is how often all processes are killed, killPause the time before each, killDowntime how long they are down.
	writeoffKills = 1
	killPause     = 8 * time.Second
	killDowntime  = 2 * time.Second
	// usualClients send a request at a time, with usualPause between, while processes are killed.
	usualClients = 4
	usualPause   = 200 * time.Millisecond
	// lateClients use up the total at the end.
	lateClients = 10
	// smallCounts are the tokens of a small request, whose answer has as many events as the others at the most.
	smallCounts  = "20,100"
	smallPrompt  = 20
	maxRefusals  = 10
	contactTime  = 4 * time.Second
	lateAttempts = 50 * time.Second
)

// playWriteoff kills all router processes some times while a tenant uses few tokens, then has the tenant use the rest.
func playWriteoff(s *site) (bool, error) {
	for _, zone := range []string{"luzon-a", "visayas-a", "mindanao-a"} {
		r, err := s.startRunner("huvo11a", zone, 64)
		if err != nil {
			return false, err
		}
		r.eventInterval = 10 * time.Millisecond
		r.events = func(*http.Request) int { return chatEvents }
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
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{"key-1"}, "priority": 1, "prepaid-tokens": writeoffTotal}},
	})
	for _, zone := range []string{"luzon", "visayas"} {
		r, err := s.startRouter("edge-"+zone+"-a-1", zone+"-a", zone)
		if err != nil {
			return false, err
		}
		r.restartDelay = killDowntime
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	inProgress, wrong, total := 0, 0, 0
	answers := map[int]int{}
	send := func(address, counts string, prompt int) int {
		sent := &attempt{method: "POST", target: "/lohu930/2f", key: "key-1", deadline: 15 * time.Second, body: []byte(newID()), header: map[string]string{
			"Model": "m", "Token-Counts": counts, "Prompt-Prefix": newID()[:8] + ":" + fmt.Sprint(prompt),
		}}
		mu.Lock()
		inProgress++
		mu.Unlock()
		sent.send(address)
		used := s.usedTokens()
		mu.Lock()
		defer mu.Unlock()
		total++
		answers[sent.status]++
		// Requests in progress count at their most, 1,000 tokens each.
		isOwed := float64(used+inProgress*1000) <= owedPart*writeoffTotal
		inProgress--
		if sent.status == http.StatusPaymentRequired && isOwed {
			wrong++
			if wrong <= 20 {
				s.record("client: %s gets 402 (%s) after %d of %d tokens were used", sent.id, sent.reply, used, writeoffTotal)
			}
		}
		return sent.status
	}
	killsEnd := time.Now().Add((writeoffKills + 1) * killPause)
	var clients sync.WaitGroup
	for i := range usualClients {
		clients.Go(func() {
			for time.Now().Before(killsEnd) {
				send(s.routers[i%len(s.routers)].frontend, chatCounts, chatPrompt)
				time.Sleep(usualPause)
			}
		})
	}
	for range writeoffKills {
		time.Sleep(killPause)
		if s.hasTrouble {
			s.record("platform: kills all processes; %d tokens were used; account: %s", s.usedTokens(), s.store.newestOf("keyed.allowances")["hule930"])
			for _, r := range s.routers {
				r.signal(syscall.SIGKILL)
			}
		}
	}
	clients.Wait()
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	mu.Lock()
	before := wrong
	mu.Unlock()
	s.record("%d tokens were used; account: %s; answers by status %v", s.usedTokens(), s.store.newestOf("keyed.allowances")["hule930"], answers)
	end := time.Now().Add(lateAttempts)
	for range lateClients {
		clients.Go(func() {
			for time.Now().Before(end) && send(s.routers[0].frontend, chatCounts, chatPrompt) == http.StatusOK {
			}
			// What is left may cover smaller requests.
			for refusals := 0; time.Now().Before(end) && refusals < maxRefusals; {
				if send(s.routers[0].frontend, smallCounts, smallPrompt) != http.StatusOK {
					refusals++
					time.Sleep(time.Second)
				}
			}
		})
	}
	clients.Wait()
	late := wrong - before
	s.record("answers by status: %v; %d tokens of %d were used; account: %s", answers, s.usedTokens(), writeoffTotal, s.store.newestOf("keyed.allowances")["hule930"])
	s.record("%d of %d requests got 402 though they fit into 97 in 100 of prepaid-tokens, more than contact-ms after the last kill; %d are allowed", late, total, 5+total/500)
	return late > 5+total/500, nil
}

// usedTokens returns the tokens that runners have used: prompts of runs and the events that they wrote.
func (s *site) usedTokens() int {
	used := 0
	for _, began := range s.allRuns() {
		used += began.prompt + began.events*tokensOfEvent
	}
	return used
}
