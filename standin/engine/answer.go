package engine

import (
	"strconv"
	"strings"
)

// NoncePrefix is the prefix that marks a word of the prompt as a nonce, which the answer repeats.
const NoncePrefix = "nonce-"

// Finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// AnswerWord returns the generated word at a position of an answer. Positions count from the first nonce.
func AnswerWord(position int) string { return "word-" + strconv.Itoa(position) }

// answer is the generated answer to a prompt, one word per token.
type answer struct {
	tokens []string
	finish string
}

// newAnswer returns the nonces of the prompt followed by numbered words, up to length tokens or to the caller's limit if that
// is lower. A nil limit means no limit.
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
