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

const maxAnswerBytes = 16 << 20

// errForeign reports an answer without the request's nonce or with another one.
var errForeign = errors.New("answer belongs to another request")

// errCut reports an answer that ended in order but is not whole.
var errCut = errors.New("answer is cut")

// brokenError reports an answer that began and ended with an error.
type brokenError struct{ code string }

// Error names the code.
func (b *brokenError) Error() string { return "answer ended with error " + b.code }

// received is what was read of an answer.
type received struct {
	text   string
	finish string
	// completion is the count of tokens that the answer reports; negative if it reports none.
	completion int
	// usage is the count of all tokens that the answer reports.
	usage      int
	firstToken time.Time
	gaps       []time.Duration
}

// receive reads an answer with status 200 to its end and checks it. An error of the connection is
// returned as it is.
func receive(j *job, response *http.Response) (received, error) {
	body := io.LimitReader(response.Body, maxAnswerBytes)
	switch j.kind {
	case Stream:
		return receiveStream(j, body)
	case Whole:
		return receiveWhole(j, body)
	default:
		return received{}, receivePlain(j, body)
	}
}

func receivePlain(j *job, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	answer := service.Answer{}
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("%w: %w", errCut, err)
	}
	if answer.Nonce != j.nonce || answer.Body != j.body {
		return fmt.Errorf("%w: nonce %q", errForeign, answer.Nonce)
	}
	return nil
}

func receiveWhole(j *job, body io.Reader) (received, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return received{}, err
	}
	answer := chunk{}
	if err := json.Unmarshal(data, &answer); err != nil {
		return received{}, fmt.Errorf("%w: %w", errCut, err)
	}
	r := received{completion: -1}
	r.add(answer)
	return r, r.check(j)
}

// chunk is what is read of a whole answer or of one event of a stream.
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

func (r *received) add(c chunk) {
	for _, choice := range c.Choices {
		r.text += choice.Message.Content + choice.Delta.Content
		if choice.FinishReason != "" {
			r.finish = choice.FinishReason
		}
	}
	if c.Usage != nil {
		r.completion = c.Usage.CompletionTokens
		r.usage = c.Usage.TotalTokens
	}
}

func receiveStream(j *job, body io.Reader) (received, error) {
	r := received{completion: -1}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	var last time.Time
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return r, errors.Join(r.check(j), drain(lines))
		}
		c := chunk{}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return r, fmt.Errorf("%w: %w", errCut, err)
		}
		if c.Error != nil {
			return r, &brokenError{c.Error.Code}
		}
		before := len(r.text)
		r.add(c)
		if len(r.text) > before {
			last = r.token(last)
		}
	}
	if err := lines.Err(); err != nil {
		return r, err
	}
	return r, fmt.Errorf("%w: stream without [DONE]", errCut)
}

// drain reads to the end of the body, so that the connection can be used again. Data behind the end of the
// stream don't belong to this answer.
func drain(lines *bufio.Scanner) error {
	for lines.Scan() {
		if lines.Text() != "" {
			return fmt.Errorf("%w: data after [DONE]", errForeign)
		}
	}
	return lines.Err()
}

// token notes the time of a token and returns it.
func (r *received) token(last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		r.firstToken = now
	} else {
		r.gaps = append(r.gaps, now.Sub(last))
	}
	return now
}

// check compares an answer with what the engine makes of the job's prompt.
func (r *received) check(j *job) error {
	words := strings.Fields(r.text)
	if len(words) == 0 {
		return fmt.Errorf("%w: no text", errCut)
	}
	for _, word := range words {
		if strings.HasPrefix(word, engine.NoncePrefix) && word != j.nonce {
			return fmt.Errorf("%w: holds %s", errForeign, word)
		}
	}
	if words[0] != j.nonce {
		return fmt.Errorf("%w: begins with %q", errForeign, words[0])
	}
	for position, word := range words[1:] {
		if want := engine.Word(position + 1); word != want {
			return fmt.Errorf("%w: %q in place of %q", errCut, word, want)
		}
	}
	return r.checkEnd(j, len(words))
}

func (r *received) checkEnd(j *job, words int) error {
	switch {
	case r.finish == engine.FinishLength && words != j.maxTokens:
		return fmt.Errorf("%w: %d tokens for a limit of %d", errCut, words, j.maxTokens)
	case r.finish != engine.FinishLength && r.finish != engine.FinishStop:
		return fmt.Errorf("%w: finish reason %q", errCut, r.finish)
	case words > j.maxTokens:
		return fmt.Errorf("%w: %d tokens for a limit of %d", errForeign, words, j.maxTokens)
	case r.completion != words:
		return fmt.Errorf("%w: %d tokens of %d reported", errCut, words, r.completion)
	}
	return nil
}
