package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflyworks/dragonflyworks/standin/engine"
)

// documents is how many different beginnings the prompts have, so that engines can cache them.
const documents = 8

// job is one request with everything that its attempts need.
type job struct {
	index  int
	kind   Kind
	team   Team
	budget string
	// targets are where the request may be sent.
	targets []string
	key     string
	nonce   string
	method  string
	path    string
	body    string
	// maxTokens is set for model calls.
	maxTokens int
	costBound int
	// due is when the request should have been sent; zero if the load has no rate.
	due    time.Time
	random *rand.Rand
}

// newJob derives a request from the seed and its index alone.
func newJob(s *Settings, index int) *job {
	random := rand.New(rand.NewPCG(s.Seed, uint64(index))) //nolint:gosec // a load has to be repeatable from its seed
	j := &job{
		index:     index,
		kind:      drawKind(s.Mix, random),
		team:      s.Teams[random.IntN(len(s.Teams))],
		key:       fmt.Sprintf("%s-%d", s.KeyPrefix, index),
		nonce:     fmt.Sprintf("%s%016x", engine.NoncePrefix, random.Uint64()),
		maxTokens: 1 + random.IntN(s.MaxTokens),
		random:    random,
	}
	j.targets = s.targetsOf(j.kind)
	if budgets := j.team.Budgets; len(budgets) > 0 {
		j.budget = budgets[random.IntN(len(budgets))]
	}
	switch j.kind {
	case Stream, Whole:
		j.modelCall(s)
	case NonIdempotent:
		j.plainCall(s, s.NonIdempotentPath, http.MethodPost)
	default:
		j.plainCall(s, s.PlainPath, []string{http.MethodGet, http.MethodPost}[random.IntN(2)])
	}
	return j
}

func drawKind(mix map[Kind]int, random *rand.Rand) Kind {
	total := 0
	for _, kind := range kinds() {
		total += max(0, mix[kind])
	}
	drawn := random.IntN(total)
	for _, kind := range kinds() {
		drawn -= max(0, mix[kind])
		if drawn < 0 {
			return kind
		}
	}
	return Stream
}

func (j *job) modelCall(s *Settings) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}
	body := struct {
		Model         string         `json:"model"`
		MaxTokens     int            `json:"max_tokens"`
		Messages      []message      `json:"messages"`
		Stream        bool           `json:"stream,omitempty"`
		StreamOptions *streamOptions `json:"stream_options,omitempty"`
	}{
		Model:     s.Model,
		MaxTokens: j.maxTokens,
		Messages:  []message{{"user", j.prompt(s.PromptWords)}},
	}
	if j.kind == Stream {
		body.Stream = true
		body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	encoded, _ := json.Marshal(body)
	j.method = http.MethodPost
	j.path = "/v1/chat/completions"
	j.body = string(encoded)
	j.costBound = len(encoded) + j.maxTokens
}

// prompt ends with the nonce; its beginning is one of a few documents.
func (j *job) prompt(words int) string {
	document := j.random.IntN(documents)
	var text strings.Builder
	for word := range words {
		_, _ = fmt.Fprintf(&text, "document-%d-%d ", document, word)
	}
	return text.String() + j.nonce
}

func (j *job) plainCall(s *Settings, path, method string) {
	j.costBound = s.CallCost
	j.method = method
	j.path = fmt.Sprintf("%s/%d", strings.TrimSuffix(path, "/"), j.index)
	if method == http.MethodPost {
		j.body = "order for " + j.nonce
	}
}
