package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// answerWords returns the complete answer of serveEngine. Each word counts as one token.
func answerWords() []string { return []string{"a", "small", "grey", "cat", "asleep"} }

// serveEngine imitates an inference engine: it cuts its answer at max_tokens and reports the usage, as JSON or as a stream of
// events.
func serveEngine(w http.ResponseWriter, r *http.Request) {
	body := modelBody{}
	_ = json.NewDecoder(r.Body).Decode(&body)
	words, reason := answerWords(), "stop"
	if limit := int(*body.MaxTokens); limit < len(words) {
		words, reason = words[:limit], "length"
	}
	usage := fmt.Sprintf(`{"prompt_tokens":3,"completion_tokens":%d,"total_tokens":%d}`, len(words), len(words)+3)
	if !body.Stream {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"id":"c","object":"chat.completion","created":1,"model":"brush","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":%q}],"usage":%s}`,
			strings.Join(words, " "), reason, usage)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	const event = `data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"brush","choices":[{"index":0,"delta":{%s},"finish_reason":%s}]}` + "\n\n"
	for _, word := range words {
		_, _ = fmt.Fprintf(w, event, fmt.Sprintf(`"content":"%s "`, word), "null")
	}
	_, _ = fmt.Fprintf(w, event, "", fmt.Sprintf("%q", reason))
	_, _ = fmt.Fprintf(w, `data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"brush","choices":[],"usage":%s}`+"\n\ndata: [DONE]\n\n", usage)
}

// setUpRouter returns an openai-go client of a router that consists of the server and a real dispatcher, with serveEngine as
// its engine. Tests close the returned server before they check bills, since Close waits until all requests are settled.
func setUpRouter(t *testing.T, accounts *fakeAccounts, key string) (openai.Client, *httptest.Server) {
	t.Helper()
	engine := httptest.NewServer(http.HandlerFunc(serveEngine))
	t.Cleanup(engine.Close)
	board := &blackboard.Board{Metrics: metrics.NewRegistry()}
	board.Configuration.Store(testConfiguration(t, engine.Listener.Addr().String()))
	board.LedgerReady.Store(true)
	server := httptest.NewServer(NewServer(board, accounts, endpoint.NewDispatcher(board, endpoint.Settings{}), Settings{}).Handler())
	t.Cleanup(server.Close)
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	return client, server
}

// chatParameters returns a chat request whose answer is limited to the given number of tokens.
func chatParameters(limit int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "brush",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("draw a cat")},
		MaxTokens: openai.Int(limit),
	}
}

// TestOpenAIClient guards against answers and errors that the official OpenAI client library can't parse, and against bills that
// differ from the engine's usage.
func TestOpenAIClient(t *testing.T) {
	t.Run("complete answer", func(t *testing.T) {
		accounts := &fakeAccounts{}
		client, server := setUpRouter(t, accounts, keyLuzon)
		completion, err := client.Chat.Completions.New(context.Background(), chatParameters(10))
		assert.Must(t, err)
		assert.Equal(t, "a small grey cat asleep", completion.Choices[0].Message.Content)
		server.Close()
		assert.Equal(t, []ledger.Tokens{8}, accounts.bills)
	})
	t.Run("stream", func(t *testing.T) {
		accounts := &fakeAccounts{}
		client, server := setUpRouter(t, accounts, keyLuzon)
		content, reason := readStream(t, client, 10)
		assert.Equal(t, "a small grey cat asleep ", content)
		assert.Equal(t, "stop", reason)
		server.Close()
		assert.Equal(t, []ledger.Tokens{8}, accounts.bills)
	})
	t.Run("stream cut at its reservation", func(t *testing.T) {
		accounts := &fakeAccounts{}
		client, server := setUpRouter(t, accounts, keyLuzon)
		content, reason := readStream(t, client, 2)
		assert.Equal(t, "a small ", content)
		assert.Equal(t, "length", reason)
		server.Close()
		assert.Equal(t, []ledger.Tokens{5}, accounts.bills)
	})
	t.Run("models", func(t *testing.T) {
		client, _ := setUpRouter(t, &fakeAccounts{}, keyLuzon)
		page, err := client.Models.List(context.Background())
		assert.Must(t, err)
		assert.Equal(t, "brush", page.Data[0].ID)
	})
	t.Run("refusals have the client's error type", func(t *testing.T) {
		client, _ := setUpRouter(t, &fakeAccounts{refusal: verdict.Refuse(verdict.BudgetExhausted, "")}, keyLuzon)
		assertAPIError(t, client, http.StatusTooManyRequests, verdict.BudgetExhausted)
		client, _ = setUpRouter(t, &fakeAccounts{}, "wrong")
		assertAPIError(t, client, http.StatusUnauthorized, verdict.InvalidKey)
	})
}

// readStream sends a streaming chat request and returns the concatenated content and finish reasons.
func readStream(t *testing.T, client openai.Client, limit int64) (content, reason string) {
	t.Helper()
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParameters(limit))
	for stream.Next() {
		chunk := stream.Current()
		for _, c := range chunk.Choices {
			content += c.Delta.Content
			reason += c.FinishReason
		}
	}
	assert.Must(t, stream.Err())
	return content, reason
}

// assertAPIError checks that a chat request fails with an *openai.Error of the given status and code.
func assertAPIError(t *testing.T, client openai.Client, status int, reason verdict.Reason) {
	t.Helper()
	_, err := client.Chat.Completions.New(context.Background(), chatParameters(10))
	var apiError *openai.Error
	if !errors.As(err, &apiError) {
		t.Fatalf("got %v, want an *openai.Error", err)
	}
	assert.Equal(t, status, apiError.StatusCode)
	assert.Equal(t, string(reason), apiError.Code)
}
