package main

import (
	"net/http"
	"time"
)

// pathRequests is the number of requests of the case.
const pathRequests = 20

// playPath sends requests whose path begins with two slashes; without trouble, with one.
func playPath(s *site) (bool, error) {
	r, err := s.startRunner("huvo11a", "luzon-a", 6)
	if err != nil {
		return false, err
	}
	if err := r.start(); err != nil {
		return false, err
	}
	s.configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "r-1", "host": clientHost, "path-prefix": "/", "kind": "non_idempotent", "timeout-ms": 2000, "target-latency-ms": 200,
			"priority": 1, "service": "huvo11a", "max-attempts": 1, "public": false,
		}},
		"services": []any{plainService("huvo11a")}, "limits": limits(),
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{"key-1"}, "priority": 1}},
	})
	a, err := s.startRouter("edge-luzon-a-1", "luzon-a", "luzon")
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	target := "/orders/7/confirm?a=1"
	if s.hasTrouble {
		target = "/" + target
	}
	sent := map[string]string{}
	for range pathRequests {
		q := &attempt{method: http.MethodPost, target: target, key: "key-1", deadline: 2 * time.Second, body: []byte("x")}
		q.send(a.frontend)
		sent[q.id] = q.target
		s.record("client: %s %s as %s: status %d, complete %v", q.method, q.target, q.id, q.status, q.isComplete)
	}
	changed := 0
	for _, began := range s.allRuns() {
		s.record("runner %s: ran %s %s as %s", began.runner, began.method, began.target, began.id)
		if began.target != sent[began.id] {
			changed++
		}
	}
	s.record("%d runs with another path than the client's", changed)
	return changed > 0, nil
}
