package site

// Part is a section of a prompt that an engine can cache and reuse for other prompts with the same prefix.
type Part struct {
	// Identifier is the same for parts with the same contents.
	Identifier string
	Tokens     int64
}

// Demand is the work that a request is for an inference engine. The zero value stands for a request without model tokens.
type Demand struct {
	Model string
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the maximum number of response tokens.
	PromptTokens    int64
	MaxOutputTokens int64
	// EstimatedOutputTokens is the caller's estimate of the number of response tokens, or zero without an estimate.
	EstimatedOutputTokens int64
	// Parts are the sections of the prompt in order. Other prompts may share all but the last, which belongs to the request
	// or its session alone.
	Parts []Part
}

// MaxTokens returns the maximum number of tokens that the request can use: the prompt and the longest response.
func (d *Demand) MaxTokens() int64 { return d.PromptTokens + d.MaxOutputTokens }

// SharedTokens returns the number of prompt tokens that other requests may share, which are those of all parts but the
// last.
func (d *Demand) SharedTokens() int64 {
	var total int64
	for i := range len(d.Parts) - 1 {
		total += d.Parts[i].Tokens
	}
	return total
}

// SharedParts returns the identifiers of the parts that other requests may share, which are all but the last.
func (d *Demand) SharedParts() []string {
	var identifiers []string
	for i := range len(d.Parts) - 1 {
		identifiers = append(identifiers, d.Parts[i].Identifier)
	}
	return identifiers
}

// LastSharedPart returns the identifier of the last part that other requests may share, which is the last but one of
// the prompt. It is empty for prompts of fewer than two parts.
func (d *Demand) LastSharedPart() string {
	if len(d.Parts) < 2 {
		return ""
	}
	return d.Parts[len(d.Parts)-2].Identifier
}
