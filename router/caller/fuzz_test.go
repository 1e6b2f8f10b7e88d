package caller

import (
	"encoding/json"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

// FuzzModelBody feeds arbitrary bodies to the reading of completion requests: what is accepted keeps to the
// route's limit, stays JSON, and still names its model after the rewriting.
func FuzzModelBody(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Add([]byte(`{"model":"brush","prompt":"a","max_tokens":1,"max_tokens":2,"stream":true}`))
	f.Add([]byte(`{"MODEL":"brush","model":"pen","prompt":["a"]}`))
	f.Add([]byte(`{"model":"brush","messages":null,"prompt":null}`))
	limits := operator.RouteLimits{}.WithDefaults()
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := parseModelBody(raw)
		if err != nil {
			return
		}
		limit, err := body.maxAnswerTokens(limits)
		if err != nil {
			return
		}
		rewritten, err := rewriteModelBody(raw, body, limit)
		if err != nil {
			return
		}
		reparsed := modelBody{}
		if err := json.Unmarshal(rewritten, &reparsed); err != nil {
			t.Fatalf("the rewritten body can't be read: %v", err)
		}
		if reparsed.Model != body.Model {
			t.Errorf("the model became %q, was %q", reparsed.Model, body.Model)
		}
		if got, err := reparsed.maxAnswerTokens(limits); err != nil || got != limit {
			t.Errorf("the engine is sent the limit %d (%v), reserved are %d", got, err, limit)
		}
	})
}
