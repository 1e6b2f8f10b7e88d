// Package billing decides how many prepaid tokens a request to a model engine is billed. It does no I/O.
package billing

// Delivery is what a router knows of the output that a caller got.
type Delivery struct {
	// PromptTokens is the number of tokens of the prompt, and MaxOutputTokens the most that the output may have. Both were reserved.
	PromptTokens, MaxOutputTokens int64
	// Events is the number of events that engines sent, also of an incomplete last one, and EventTokens the most tokens in an event.
	Events, EventTokens int64
	// IsUncounted reports whether a part of the output was delivered in a form that doesn't show its tokens, such as a text in one piece.
	IsUncounted bool
}

// Tokens returns the number of tokens to bill for a request that may have run: those of its prompt, once, and at least those of the output that was
// delivered. Where the output can't be counted, it is all that was reserved.
func (d Delivery) Tokens() int64 {
	if d.IsUncounted {
		return d.PromptTokens + d.MaxOutputTokens
	}
	return d.PromptTokens + min(d.MaxOutputTokens, d.Events*d.EventTokens)
}
