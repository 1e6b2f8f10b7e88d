package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflyworks/dragonflyworks/standin/engine"
	"github.com/dragonflyworks/dragonflyworks/standin/service"
)

// maxAnswerBytes is the maximum number of bytes read of an answer. A longer answer counts as incomplete.
const maxAnswerBytes = 16 << 20

// errWrongAnswer reports an answer that belongs to another request at least in part: its nonce or body differs, data follow
// its end, or it is longer than the request allows.
var errWrongAnswer = errors.New("answer belongs to another request")

// errIncompleteAnswer reports an answer that is malformed or lacks a part although reading it returned no error.
var errIncompleteAnswer = errors.New("answer is incomplete")

// answerError reports a stream that ended with an error event.
type answerError struct{ code string }

// Error returns a message with the code of the error event.
func (e *answerError) Error() string { return "answer ended with error " + e.code }

// receivedAnswer is the content of an answer with the times at which its tokens arrived.
type receivedAnswer struct {
	text         string
	finishReason string
	// completionTokens is the number of generated tokens that the answer reports, or -1 if it reports no usage.
	completionTokens int
	// totalTokens is the number of tokens that the answer reports for the prompt and the generated text together.
	totalTokens int
	firstToken  time.Time
	tokenGaps   []time.Duration
}

// readAnswer reads an answer with status 200 to its end and verifies that it is the whole answer to the job's request.
// Connection errors are returned unwrapped.
func readAnswer(j *job, response *http.Response) (receivedAnswer, error) {
	body := io.LimitReader(response.Body, maxAnswerBytes)
	switch j.kind {
	case Stream:
		return readStream(j, body)
	case Whole:
		return readWhole(j, body)
	default:
		return receivedAnswer{}, readPlain(j, body)
	}
}

func readPlain(j *job, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	answer := service.Answer{}
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("%w: %w", errIncompleteAnswer, err)
	}
	if answer.Nonce != j.nonce || answer.Body != j.body {
		return fmt.Errorf("%w: nonce %q", errWrongAnswer, answer.Nonce)
	}
	return nil
}

func readWhole(j *job, body io.Reader) (receivedAnswer, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return receivedAnswer{}, err
	}
	answer := chunk{}
	if err := json.Unmarshal(data, &answer); err != nil {
		return receivedAnswer{}, fmt.Errorf("%w: %w", errIncompleteAnswer, err)
	}
	r := receivedAnswer{completionTokens: -1}
	r.add(answer)
	return r, r.verify(j)
}

// chunk holds the fields that the load generator decodes from a non-streamed answer or from one event of a stream.
type chunk struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	} `json:"usage"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (r *receivedAnswer) add(c chunk) {
	for _, choice := range c.Choices {
		r.text += choice.Message.Content + choice.Delta.Content
		if choice.FinishReason != "" {
			r.finishReason = choice.FinishReason
		}
	}
	if c.Usage != nil {
		r.completionTokens = c.Usage.CompletionTokens
		r.totalTokens = c.Usage.TotalTokens
	}
}

func readStream(j *job, body io.Reader) (receivedAnswer, error) {
	r := receivedAnswer{completionTokens: -1}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	var lastToken time.Time
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return r, errors.Join(r.verify(j), drainBody(lines))
		}
		c := chunk{}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return r, fmt.Errorf("%w: %w", errIncompleteAnswer, err)
		}
		if c.Error != nil {
			return r, &answerError{c.Error.Code}
		}
		lengthBefore := len(r.text)
		r.add(c)
		if len(r.text) > lengthBefore {
			lastToken = r.recordToken(lastToken)
		}
	}
	if err := lines.Err(); err != nil {
		return r, err
	}
	return r, fmt.Errorf("%w: stream without [DONE]", errIncompleteAnswer)
}

// drainBody reads to the end of the body, so that the HTTP client can reuse the connection. Data after the event [DONE]
// belong to another answer and are reported as errWrongAnswer.
func drainBody(lines *bufio.Scanner) error {
	for lines.Scan() {
		if lines.Text() != "" {
			return fmt.Errorf("%w: data after [DONE]", errWrongAnswer)
		}
	}
	return lines.Err()
}

// recordToken records the arrival of a token, either as the first one or as a gap since the previous one, and returns its
// time.
func (r *receivedAnswer) recordToken(previous time.Time) time.Time {
	now := time.Now()
	if previous.IsZero() {
		r.firstToken = now
	} else {
		r.tokenGaps = append(r.tokenGaps, now.Sub(previous))
	}
	return now
}

// verify compares an answer with the text that the engine generates for the job's prompt: the nonce, then numbered words.
func (r *receivedAnswer) verify(j *job) error {
	words := strings.Fields(r.text)
	if len(words) == 0 {
		return fmt.Errorf("%w: it has no text", errIncompleteAnswer)
	}
	for _, word := range words {
		if strings.HasPrefix(word, engine.NoncePrefix) && word != j.nonce {
			return fmt.Errorf("%w: it contains nonce %s", errWrongAnswer, word)
		}
	}
	if words[0] != j.nonce {
		return fmt.Errorf("%w: it begins with %q", errWrongAnswer, words[0])
	}
	for position, word := range words[1:] {
		if want := engine.AnswerWord(position + 1); word != want {
			return fmt.Errorf("%w: got %q, want %q", errIncompleteAnswer, word, want)
		}
	}
	return r.verifyEnd(j, len(words))
}

func (r *receivedAnswer) verifyEnd(j *job, words int) error {
	switch {
	case r.finishReason == engine.FinishLength && words != j.maxTokens:
		return fmt.Errorf("%w: %d tokens for a limit of %d", errIncompleteAnswer, words, j.maxTokens)
	case r.finishReason != engine.FinishLength && r.finishReason != engine.FinishStop:
		return fmt.Errorf("%w: finish reason %q", errIncompleteAnswer, r.finishReason)
	case words > j.maxTokens:
		return fmt.Errorf("%w: %d tokens for a limit of %d", errWrongAnswer, words, j.maxTokens)
	case r.completionTokens != words:
		return fmt.Errorf("%w: it has %d tokens but reports %d", errIncompleteAnswer, words, r.completionTokens)
	}
	return nil
}
