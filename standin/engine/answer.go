package engine

import (
	"strconv"
	"strings"
)

// NoncePrefix is the prefix that marks a word of the prompt as a nonce, which the answer repeats.
const NoncePrefix = "nonce-"

// Finish reasons of the OpenAI API: FinishStop for an answer that ended by itself, FinishLength for one that was cut at the
// token limit of the request.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// AnswerWord returns the generated word at a position of an answer. The position is that in the whole answer, which begins
// with the nonces.
func AnswerWord(position int) string { return "word-" + strconv.Itoa(position) }

// answer is the generated answer to a prompt, one word per token.
type answer struct {
	tokens []string
	finish string
}

// newAnswer returns all nonces of the prompt, followed by numbered words until the answer has length tokens. A lower limit of
// the caller cuts the answer, nonces included. A nil limit means no limit.
func newAnswer(words []string, length int, limit *int) answer {
	var tokens []string
	for _, word := range words {
		if strings.HasPrefix(word, NoncePrefix) {
			tokens = append(tokens, word)
		}
	}
	for position := len(tokens); position < length; position++ {
		tokens = append(tokens, AnswerWord(position))
	}
	if limit != nil && *limit < len(tokens) {
		return answer{tokens: tokens[:*limit], finish: FinishLength}
	}
	return answer{tokens: tokens, finish: FinishStop}
}

// tokenText returns the text of one token. The concatenated texts of all tokens are the text of the answer.
func (a answer) tokenText(position int) string {
	if position == 0 {
		return a.tokens[0]
	}
	return " " + a.tokens[position]
}

func (a answer) text() string { return strings.Join(a.tokens, " ") }
