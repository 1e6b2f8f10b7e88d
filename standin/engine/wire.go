package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

// usage holds the token counts of a call in the format of the OpenAI API.
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

// envelope is the outer JSON object of a non-streamed answer or of one chunk of a stream.
type envelope struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   *usage `json:"usage,omitempty"`
}

// dialect is the format of an answer, which differs between chat and text completions.
type dialect interface{ isDialect() }

// chatDialect is the format of /v1/chat/completions, textDialect that of /v1/completions.
type (
	chatDialect struct{}
	textDialect struct{}
)

func (chatDialect) isDialect() {}
func (textDialect) isDialect() {}

// objectType returns the value of the field "object" in an answer or a chunk.
func objectType(d dialect, chunk bool) string {
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

// newChoice returns the single choice of a non-streamed answer.
func newChoice(d dialect, text, finish string) any {
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

// newDelta returns the single choice of a chunk. The finish reason is nil in all chunks but the last.
func newDelta(d dialect, role, text string, finish *string) any {
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

// writeEvent writes a JSON body as one server-sent event and flushes it.
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

// writeError writes an error answer in the format of the OpenAI API.
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
