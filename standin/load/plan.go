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

// promptDocuments is the number of distinct prompt prefixes. Prompts share prefixes so that the engines' prefix caches get
// hits.
const promptDocuments = 8

// job is one request of the load with the data from which each of its attempts is built.
type job struct {
	index  int
	kind   Kind
	team   Team
	budget string
	// targets are the base URLs to which the request may be sent.
	targets []string
	key     string
	nonce   string
	method  string
	path    string
	body    string
	// maxTokens is the max_tokens parameter of a model call.
	maxTokens int
	costBound int
	// scheduledAt is the time at which the rate limiter released the request, and the start of its latency; zero if the load
	// has no rate.
	scheduledAt time.Time
	random      *rand.Rand
}

// newJob generates the request with an index. It depends only on the settings and the index, so that a load can be repeated
// from its seed.
func newJob(s *Settings, index int) *job {
	random := rand.New(rand.NewPCG(s.Seed, uint64(index))) //nolint:gosec // a load has to be repeatable from its seed
	j := &job{
		index:     index,
		kind:      pickKind(s.Mix, random),
		team:      s.Teams[random.IntN(len(s.Teams))],
		key:       fmt.Sprintf("%s-%d", s.KeyPrefix, index),
		nonce:     fmt.Sprintf("%s%016x", engine.NoncePrefix, random.Uint64()),
		maxTokens: 1 + random.IntN(s.MaxTokens),
		random:    random,
	}
	j.targets = s.targetsFor(j.kind)
	if budgets := j.team.Budgets; len(budgets) > 0 {
		j.budget = budgets[random.IntN(len(budgets))]
	}
	switch j.kind {
	case Stream, Whole:
		j.setModelCall(s)
	case NonIdempotent:
		j.setPlainCall(s, s.NonIdempotentPath, http.MethodPost)
	default:
		j.setPlainCall(s, s.PlainPath, []string{http.MethodGet, http.MethodPost}[random.IntN(2)])
	}
	return j
}

func pickKind(mix map[Kind]int, random *rand.Rand) Kind {
	total := 0
	for _, kind := range kinds() {
		total += max(0, mix[kind])
	}
	remaining := random.IntN(total)
	for _, kind := range kinds() {
		remaining -= max(0, mix[kind])
		if remaining < 0 {
			return kind
		}
	}
	return Stream
}

func (j *job) setModelCall(s *Settings) {
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
		Messages:  []message{{"user", j.newPrompt(s.PromptWords)}},
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

// newPrompt returns a prompt that begins with one of the shared prefixes and ends with the job's nonce.
func (j *job) newPrompt(words int) string {
	document := j.random.IntN(promptDocuments)
	var text strings.Builder
	for word := range words {
		_, _ = fmt.Fprintf(&text, "document-%d-%d ", document, word)
	}
	return text.String() + j.nonce
}

func (j *job) setPlainCall(s *Settings, path, method string) {
	j.costBound = s.CallCost
	j.method = method
	j.path = fmt.Sprintf("%s/%d", strings.TrimSuffix(path, "/"), j.index)
	if method == http.MethodPost {
		j.body = "order for " + j.nonce
	}
}
