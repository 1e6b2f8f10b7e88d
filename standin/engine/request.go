package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

// request holds the parameters of a chat or text completion that the engine supports.
type request struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Prompt              prompt    `json:"prompt"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message, sent either as a string or as a list of parts.
type content string

// UnmarshalJSON decodes a string or a list of text parts.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content is neither a string nor a list of parts: %w", err)
	}
	for _, part := range parts {
		*c += content(part.Text + " ")
	}
	return nil
}

// prompt is the prompt of a text completion, sent either as a string or as a list of strings.
type prompt string

// UnmarshalJSON decodes a string or a list of strings, which it joins with spaces.
func (p *prompt) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*p = prompt(text)
		return nil
	}
	var texts []string
	if err := json.Unmarshal(data, &texts); err != nil {
		return fmt.Errorf("prompt is neither a string nor a list of strings: %w", err)
	}
	*p = prompt(strings.Join(texts, " "))
	return nil
}

func decodeRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	decoded := &request{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(decoded); err != nil {
		return nil, fmt.Errorf("decode body: %w", err)
	}
	if limit := decoded.limit(); limit != nil && *limit < 1 {
		return nil, errors.New("max_tokens is less than 1")
	}
	return decoded, nil
}

// limit returns the maximum number of tokens that the caller allows for the answer; nil if the request sets none.
func (r *request) limit() *int {
	if r.MaxCompletionTokens != nil {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// words returns the words of the prompt in the order of its messages. The engine counts each word as one token.
func (r *request) words() []string {
	words := strings.Fields(string(r.Prompt))
	for _, m := range r.Messages {
		words = append(words, strings.Fields(string(m.Content))...)
	}
	return words
}
