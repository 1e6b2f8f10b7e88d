package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// usage is the count of tokens of an answer, as the OpenAI interface reports it.
type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	TotalTokens         int `json:"total_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newUsage(prompt, cached, completion int) *usage {
	u := &usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
	u.PromptTokensDetails.CachedTokens = cached
	return u
}

// envelope is a whole answer or a chunk of one.
type envelope struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   *usage `json:"usage,omitempty"`
}

// dialect is one of the two kinds of completions.
type dialect interface{ isDialect() }

// chatDialect answers /v1/chat/completions, textDialect /v1/completions.
type (
	chatDialect struct{}
	textDialect struct{}
)

func (chatDialect) isDialect() {}
func (textDialect) isDialect() {}

// object returns the type that an answer of the dialect bears.
func object(d dialect, chunk bool) string {
	switch d.(type) {
	case chatDialect:
		if chunk {
			return "chat.completion.chunk"
		}
		return "chat.completion"
	default:
		return "text_completion"
	}
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice returns the only choice of a whole answer.
func choice(d dialect, text, finish string) any {
	switch d.(type) {
	case chatDialect:
		return struct {
			Index        int         `json:"index"`
			Message      chatMessage `json:"message"`
			FinishReason string      `json:"finish_reason"`
		}{0, chatMessage{"assistant", text}, finish}
	default:
		return struct {
			Index        int    `json:"index"`
			Text         string `json:"text"`
			FinishReason string `json:"finish_reason"`
		}{0, text, finish}
	}
}

// delta returns the only choice of a chunk; the finish reason is nil in all but the last one.
func delta(d dialect, role, text string, finish *string) any {
	switch d.(type) {
	case chatDialect:
		return struct {
			Index        int         `json:"index"`
			Delta        chatMessage `json:"delta"`
			FinishReason *string     `json:"finish_reason"`
		}{0, chatMessage{role, text}, finish}
	default:
		return struct {
			Index        int     `json:"index"`
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
		}{0, text, finish}
	}
}

// writeEvent writes one server-sent event and flushes it.
func writeEvent(w http.ResponseWriter, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return writeData(w, string(encoded))
}

func writeData(w http.ResponseWriter, data string) error {
	if _, err := io.WriteString(w, "data: "+data+"\n\n"); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

// writeError answers in the error shape of the OpenAI interface.
func writeError(w http.ResponseWriter, status int, code string, err error) {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	serve.WriteJSON(w, status, struct {
		Error detail `json:"error"`
	}{detail{err.Error(), "invalid_request_error", code}})
}
