package site

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	// Identifier names the part's contents.
	Identifier string
	Tokens     int64
}

// Demand is what a request asks of a model engine. Its zero value is that of a plain request.
type Demand struct {
	Model string
	// Prompt is the number of prompt tokens, Output the most tokens of the answer.
	Prompt int64
	Output int64
	// Hint is the caller's estimate of the answer's tokens; zero if it gave none.
	Hint int64
	// Parts are the pieces of the prompt in their order; the last one belongs to the request or its session.
	Parts []Part
}

// Most is the highest number of tokens that the request can use.
func (d *Demand) Most() int64 { return d.Prompt + d.Output }

// Shared is the number of prompt tokens that other requests may share: all parts but the last.
func (d *Demand) Shared() int64 {
	var shared int64
	for i := range len(d.Parts) - 1 {
		shared += d.Parts[i].Tokens
	}
	return shared
}

// Subject names what the request shares with others: the last part but one of its prompt.
func (d *Demand) Subject() string {
	if len(d.Parts) < 2 {
		return ""
	}
	return d.Parts[len(d.Parts)-2].Identifier
}
