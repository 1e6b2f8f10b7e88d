package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// bytesPerToken is the typical length of a token; it estimates the cost of responses that state no usage.
const bytesPerToken = 4

// finishReasonLength is the finish_reason of a response that was truncated at its maximum length.
const finishReasonLength = "length"

// usage is the number of tokens of a request and its response as counted by the engine.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// cost returns the number of tokens to bill. An engine may state a total below the sum of the parts, or none; then
// the sum counts.
func (u usage) cost() ledger.Tokens {
	return ledger.Tokens(max(u.TotalTokens, u.PromptTokens+u.CompletionTokens))
}

// textLength is the length in bytes of a JSON value that is not kept itself, such as the text of a delta; the length of
// null is 0.
type textLength int

// UnmarshalJSON stores the length of the value without its quotation marks.
func (l *textLength) UnmarshalJSON(value []byte) error {
	*l = 0
	if !bytes.Equal(value, []byte("null")) {
		*l = textLength(len(value) - len(`""`))
	}
	return nil
}

// message is the part of a choice that carries content, in a delta or in a complete message.
type message struct {
	Content          textLength `json:"content"`
	ReasoningContent textLength `json:"reasoning_content"`
	Refusal          textLength `json:"refusal"`
	ToolCalls        textLength `json:"tool_calls"`
}

func (m message) length() int {
	return int(m.Content + m.ReasoningContent + m.Refusal + m.ToolCalls)
}

// choice is one of the alternative completions in a response.
type choice struct {
	Text    textLength `json:"text"`
	Delta   message    `json:"delta"`
	Message message    `json:"message"`
}

func (c choice) length() int { return int(c.Text) + c.Delta.length() + c.Message.length() }

// chunk is the part of an engine's response, or of one event of a streamed response, that the router parses.
type chunk struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

// decode parses a response and reuses the memory of the previous one.
func (c *chunk) decode(data []byte) error {
	clear(c.Choices[:cap(c.Choices)])
	c.Choices, c.Usage = c.Choices[:0], nil
	return json.Unmarshal(data, c)
}

// chunkMetadata holds the fields that are equal in all chunks of a response.
type chunkMetadata struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

// tokenCount returns the number of choices that carry content, because engines send one token per choice and event.
func (c *chunk) tokenCount() int64 {
	count := int64(0)
	for _, choice := range c.Choices {
		if choice.length() > 0 {
			count++
		}
	}
	return count
}

// isUsageOnly reports whether the chunk carries nothing but the usage.
func (c *chunk) isUsageOnly() bool { return c.Usage != nil && len(c.Choices) == 0 }

// finalEvents returns the events that end a stream truncated at its maximum length: a chunk with finish_reason
// "length", the usage if the caller asked for it, and the [DONE] event. reported is nil if the caller did not ask for
// the usage.
func (m chunkMetadata) finalEvents(reported *usage) []byte {
	finishReason := finishReasonLength
	var events bytes.Buffer
	type finalChoice struct {
		Index        int       `json:"index"`
		Text         *string   `json:"text,omitempty"`
		Delta        *struct{} `json:"delta,omitempty"`
		FinishReason *string   `json:"finish_reason"`
	}
	choice := finalChoice{FinishReason: &finishReason}
	if m.Object == "text_completion" {
		choice.Text = new(string)
	} else {
		choice.Delta = new(struct{})
	}
	writeChunk := func(choices []finalChoice, u *usage) {
		// Marshalling plain strings and numbers can't fail.
		body, _ := json.Marshal(struct {
			chunkMetadata
			Choices []finalChoice `json:"choices"`
			Usage   *usage        `json:"usage,omitempty"`
		}{m, choices, u})
		fmt.Fprintf(&events, "data: %s\n\n", body)
	}
	writeChunk([]finalChoice{choice}, nil)
	if reported != nil {
		writeChunk([]finalChoice{}, reported)
	}
	events.WriteString("data: [DONE]\n\n")
	return events.Bytes()
}

// errorEvent returns the event that reports a failure to the caller of a stream that has already started.
func errorEvent(reason verdict.Reason) []byte {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
	}
	body, _ := json.Marshal(struct {
		Error detail `json:"error"`
	}{detail{verdict.Describe(reason).Meaning, "server_error", string(reason), verdict.MayHaveRun.String()}})
	return fmt.Appendf(nil, "data: %s\n\n", body)
}

// responseCost returns the cost in tokens of a complete response of an engine. Without a stated usage, a successful
// response costs the bound of the prompt plus an estimate from its length of at most call.MaxTokens, and any other
// response costs nothing.
func responseCost(body []byte, status int, call *ModelCall) ledger.Tokens {
	var response chunk
	if json.Unmarshal(body, &response) == nil && response.Usage != nil {
		return response.Usage.cost()
	}
	if status < 200 || status > 299 {
		return 0
	}
	length := len(body)
	if len(response.Choices) > 0 {
		length = 0
		for _, choice := range response.Choices {
			length += choice.length()
		}
	}
	return ledger.Tokens(call.PromptBound + min(call.MaxTokens, int64(length/bytesPerToken+1)))
}
