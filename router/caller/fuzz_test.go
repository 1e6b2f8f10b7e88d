package caller

import (
	"encoding/json"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
)

// FuzzModelBody parses and rewrites arbitrary bodies of completion requests. It guards against rewritten bodies that are not
// JSON, name another model, or allow the engine a longer answer than the router reserved.
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
			t.Fatalf("parsing the rewritten body: %v", err)
		}
		if reparsed.Model != body.Model {
			t.Errorf("rewritten model is %q, want %q", reparsed.Model, body.Model)
		}
		if got, err := reparsed.maxAnswerTokens(limits); err != nil || got != limit {
			t.Errorf("rewritten answer limit is %d tokens (error %v), want the reserved %d", got, err, limit)
		}
	})
}
