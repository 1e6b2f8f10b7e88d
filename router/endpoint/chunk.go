package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

// bytesPerToken is the customary length of a token, for answers that state no usage.
const bytesPerToken = 4

// finishLength is the finish_reason of an answer that was cut at its limit.
const finishLength = "length"

// usage is an engine's own count.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// tokens returns what the usage costs.
func (u usage) tokens() ledger.Tokens {
	return ledger.Tokens(max(u.TotalTokens, u.PromptTokens+u.CompletionTokens))
}

// textLength is the length of a JSON value that is not read, such as a delta's text; that of null is 0.
type textLength int

// UnmarshalJSON measures the value without its quotation marks.
func (l *textLength) UnmarshalJSON(value []byte) error {
	*l = 0
	if !bytes.Equal(value, []byte("null")) {
		*l = textLength(len(value) - len(`""`))
	}
	return nil
}

// message is the part of a choice that carries content, in a delta or in a whole message.
type message struct {
	Content          textLength `json:"content"`
	ReasoningContent textLength `json:"reasoning_content"`
	Refusal          textLength `json:"refusal"`
	ToolCalls        textLength `json:"tool_calls"`
}

func (m message) length() int {
	return int(m.Content + m.ReasoningContent + m.Refusal + m.ToolCalls)
}

// choice is one of the answers that an engine gives at once.
type choice struct {
	Text    textLength `json:"text"`
	Delta   message    `json:"delta"`
	Message message    `json:"message"`
}

func (c choice) length() int { return int(c.Text) + c.Delta.length() + c.Message.length() }

// chunk is what the router reads of an engine's answer, whole or a single event of it.
type chunk struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

// read parses an answer into the space of the one before.
func (c *chunk) read(data []byte) error {
	clear(c.Choices[:cap(c.Choices)])
	c.Choices, c.Usage = c.Choices[:0], nil
	return json.Unmarshal(data, c)
}

// origin is what all chunks of an answer have in common.
type origin struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

// tokens counts the choices that carry content: engines send a token an event.
func (c *chunk) tokens() int64 {
	count := int64(0)
	for _, choice := range c.Choices {
		if choice.length() > 0 {
			count++
		}
	}
	return count
}

// reportsUsage says that the chunk carries nothing but the usage.
func (c *chunk) reportsUsage() bool { return c.Usage != nil && len(c.Choices) == 0 }

// lastEvents returns the events that end an answer at its limit: a chunk with finish_reason "length",
// the usage if the caller asked for it, and the end of the stream.
func (o origin) lastEvents(reported *usage) []byte {
	finish := finishLength
	var events bytes.Buffer
	type ending struct {
		Index        int       `json:"index"`
		Text         *string   `json:"text,omitempty"`
		Delta        *struct{} `json:"delta,omitempty"`
		FinishReason *string   `json:"finish_reason"`
	}
	last := ending{FinishReason: &finish}
	if o.Object == "text_completion" {
		last.Text = new(string)
	} else {
		last.Delta = new(struct{})
	}
	write := func(choices []ending, u *usage) {
		// Marshalling plain strings and numbers can't fail.
		body, _ := json.Marshal(struct {
			origin
			Choices []ending `json:"choices"`
			Usage   *usage   `json:"usage,omitempty"`
		}{o, choices, u})
		fmt.Fprintf(&events, "data: %s\n\n", body)
	}
	write([]ending{last}, nil)
	if reported != nil {
		write([]ending{}, reported)
	}
	events.WriteString("data: [DONE]\n\n")
	return events.Bytes()
}

// errorEvent tells the caller of a broken stream what happened.
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

// wholeUsage returns the usage of a whole answer of an engine; answers that state none are measured.
func wholeUsage(body []byte, status int, call *ModelCall) ledger.Tokens {
	var answer chunk
	if json.Unmarshal(body, &answer) == nil && answer.Usage != nil {
		return answer.Usage.tokens()
	}
	if status < 200 || status > 299 {
		return 0
	}
	length := len(body)
	if len(answer.Choices) > 0 {
		length = 0
		for _, choice := range answer.Choices {
			length += choice.length()
		}
	}
	return ledger.Tokens(call.PromptBound + min(call.MaxTokens, int64(length/bytesPerToken+1)))
}
