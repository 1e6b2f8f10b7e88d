package engine

import (
	"strconv"
	"strings"
)

// NoncePrefix begins every word of a prompt that the answer repeats.
const NoncePrefix = "nonce-"

// Reasons for the end of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Word returns the word at a position of an answer, after the nonces.
func Word(position int) string { return "word-" + strconv.Itoa(position) }

// answer is what a prompt is answered with.
type answer struct {
	tokens []string
	finish string
}

// newAnswer begins with the prompt's nonces; the limit is nil if the caller set none.
func newAnswer(words []string, length int, limit *int) answer {
	var tokens []string
	for _, word := range words {
		if strings.HasPrefix(word, NoncePrefix) {
			tokens = append(tokens, word)
		}
	}
	for position := len(tokens); position < length; position++ {
		tokens = append(tokens, Word(position))
	}
	if limit != nil && *limit < len(tokens) {
		return answer{tokens: tokens[:*limit], finish: FinishLength}
	}
	return answer{tokens: tokens, finish: FinishStop}
}

// piece returns the text of one token; the pieces of an answer joined are its text.
func (a answer) piece(position int) string {
	if position == 0 {
		return a.tokens[0]
	}
	return " " + a.tokens[position]
}

func (a answer) text() string { return strings.Join(a.tokens, " ") }
