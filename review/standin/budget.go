package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	budgetTotal = 400_000
	// briefCounts are the tokens of a prompt and the most tokens of its answer, which has briefEvents events.
	briefCounts, briefPrompt, briefEvents = "300,3700", 300, 10
	briefs                                = 8
	// chatCounts are those of the requests that use up the total.
	chatCounts, chatPrompt, chatEvents = "900,100", 900, 20
	chatClients                        = 20
	lossTime                           = 5500 * time.Millisecond
	// largestLoss is the largest part of the writes whose answers the operators' bench loses.
	largestLoss = 0.43
	// otherTenants are tenants whose requests are all sent to the first router, one at a time with otherPause between.
	otherTenants = 4
	otherPause   = 100 * time.Millisecond
)

// playBudget stops a router while answers of the store are lost, then uses up the tenant's tokens.
func playBudget(s *site) (bool, error) {
	for _, zone := range []string{"luzon-a", "visayas-a", "mindanao-a"} {
		r, err := s.startRunner("huvo11a", zone, 64)
		if err != nil {
			return false, err
		}
		r.eventInterval = 10 * time.Millisecond
		r.events = func(request *http.Request) int {
			if request.Header.Get("Token-Counts") == briefCounts {
				return briefEvents
			}
			return chatEvents
		}
		r.firstEvent = func(request *http.Request) time.Duration {
			if request.Header.Get("Token-Counts") == briefCounts {
				return 2000 * time.Millisecond
			}
			return 0
		}
		if err := r.start(); err != nil {
			return false, err
		}
	}
	tenants := []any{map[string]any{"name": "hule930", "api-keys": []string{"key-1"}, "priority": 1, "prepaid-tokens": budgetTotal}}
	for i := range otherTenants {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprint("other", i), "api-keys": []string{fmt.Sprint("other-key-", i)}, "priority": 1, "prepaid-tokens": 4_000_000,
		})
	}
	s.configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "r-1", "host": clientHost, "path-prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 800,
			"priority": 1, "service": "huvo11a", "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "target-gap-ms": 250,
		}},
		"services": []any{modelService("huvo11a")}, "limits": limits(),
		"tenants": tenants,
	})
	a, err := s.startRouter("edge-luzon-a-1", "luzon-a", "luzon")
	if err != nil {
		return false, err
	}
	b, err := s.startRouter("edge-visayas-a-1", "visayas-a", "visayas")
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	delivered, answers := 0, map[string]int{}
	send := func(address, key, counts string, prompt int) *attempt {
		sent := &attempt{method: "POST", target: "/lohu930/2f", key: key, deadline: 15 * time.Second, body: []byte(newID()), header: map[string]string{
			"Model": "m", "Token-Counts": counts, "Prompt-Prefix": newID()[:8] + ":" + fmt.Sprint(prompt),
		}}
		sent.send(address)
		mu.Lock()
		defer mu.Unlock()
		if key != "key-1" {
			return sent
		}
		answers[fmt.Sprint(counts, " ", sent.status)]++
		if sent.status == http.StatusOK {
			delivered += prompt + sent.events*tokensOfEvent
		}
		return sent
	}
	var others sync.WaitGroup
	othersEnd := time.Now().Add(lossTime + 2*time.Second)
	for i := range otherTenants {
		others.Go(func() {
			for time.Now().Before(othersEnd) {
				send(a.frontend, fmt.Sprint("other-key-", i), chatCounts, chatPrompt)
				time.Sleep(otherPause)
			}
		})
	}
	time.Sleep(time.Second)
	send(a.frontend, "key-1", chatCounts, chatPrompt)
	send(b.frontend, "key-1", chatCounts, chatPrompt)
	writes, lost := 0, 0
	if s.hasTrouble {
		s.record("answers to writes of %s are lost from now on", b.name)
		s.store.setLosses(func(router, topic string) bool {
			writes++
			isLost := router == b.name
			if isLost {
				lost++
				s.record("store: carries out a write of %s to %s and doesn't answer it", router, topic)
			}
			return isLost
		})
		time.AfterFunc(lossTime, func() {
			s.store.setLosses(nil)
			s.record("answers are lost no more: %d of %d writes were carried out and not answered", lost, writes)
		})
	}
	var clients sync.WaitGroup
	for range briefs {
		clients.Go(func() {
			sent := send(b.frontend, "key-1", briefCounts, briefPrompt)
			s.record("client: %s to %s: status %d, %d events, complete %v, %s", sent.id, b.name, sent.status, sent.events, sent.isComplete, sent.reply)
		})
	}
	time.Sleep(700 * time.Millisecond)
	s.record("platform: SIGTERM to %s", b.name)
	b.signal(syscall.SIGTERM)
	clients.Wait()
	others.Wait()
	time.Sleep(lossTime)
	if float64(lost) > largestLoss*float64(writes) {
		return false, fmt.Errorf("answers to %d of %d writes were lost, which is above the bench's largest dose", lost, writes)
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	s.record("tokens delivered so far: %d; account: %s", delivered, s.store.newestOf("keyed.allowances")["hule930"])
	end := time.Now().Add(40 * time.Second)
	for range chatClients {
		clients.Go(func() {
			refusals := 0
			for time.Now().Before(end) && refusals < 12 {
				if sent := send(a.frontend, "key-1", chatCounts, chatPrompt); sent.status != http.StatusOK {
					refusals++
					time.Sleep(time.Second)
				} else {
					refusals = 0
				}
			}
		})
	}
	clients.Wait()
	runs, used := s.allRuns(), 0
	count := 0
	for _, began := range runs {
		if began.tenant != "hule930" {
			continue
		}
		count++
		used += began.prompt + began.events*tokensOfEvent
	}
	s.record("answers by tokens and status: %v", answers)
	s.record("account: %s", s.store.newestOf("keyed.allowances")["hule930"])
	s.record("%d runs of %s used %d tokens, clients got %d; its prepaid-tokens are %d", count, "hule930", used, delivered, budgetTotal)
	return delivered > budgetTotal, nil
}
