package engine

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflyworks/dragonflyworks/standin/runs"
	"github.com/dragonflyworks/dragonflyworks/standin/serve"
)

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) { e.complete(w, r, chatDialect{}) }

func (e *Engine) text(w http.ResponseWriter, r *http.Request) { e.complete(w, r, textDialect{}) }

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	served := []model{}
	for _, name := range e.names() {
		served = append(served, model{name, "model", 0, "standin"})
	}
	serve.WriteJSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", served})
}

// run is one call of the engine.
type run struct {
	engine *Engine
	// id names the answer; every chunk of it bears it.
	id      string
	request *request
	dialect dialect
	key     string
	prompt  int
	cached  int
	answer  answer
	// sent counts the tokens that were generated.
	sent int
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, d dialect) {
	decoded, err := decodeRequest(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err)
		return
	}
	if !e.serves(decoded.Model) {
		writeError(w, http.StatusNotFound, "model_not_found", fmt.Errorf("model %q is not served", decoded.Model))
		return
	}
	words := decoded.words()
	e.crashOn(words)
	if e.enter(r.Context()) != nil {
		return
	}
	defer e.leave()
	c := &run{
		engine:  e,
		id:      "cmpl-" + e.Name + "-" + strconv.FormatInt(e.calls.Add(1), 10),
		request: decoded,
		dialect: d,
		key:     r.Header.Get(runs.Header),
		prompt:  len(words),
		cached:  e.cache.add(words),
		answer:  newAnswer(words, e.AnswerTokens, decoded.limit()),
	}
	e.Runs.Start(c.key)
	err = c.do(r.Context(), w)
	e.Runs.End(c.key, int64(c.prompt+c.sent), err == nil)
	if err != nil {
		e.count(func() { e.canceled++ })
		// An answer that can't be finished must not look whole.
		panic(http.ErrAbortHandler)
	}
}

// crashOn ends the process if the prompt holds the marker.
func (e *Engine) crashOn(words []string) {
	marker := ""
	e.count(func() { marker = e.CrashMarker })
	if marker != "" && slices.Contains(words, marker) && e.Crash != nil {
		e.Crash()
	}
}

func (c *run) do(ctx context.Context, w http.ResponseWriter) error {
	if c.request.Stream {
		return c.stream(ctx, w)
	}
	return c.whole(ctx, w)
}

func (c *run) whole(ctx context.Context, w http.ResponseWriter) error {
	for position := range c.answer.tokens {
		if err := c.generate(ctx, position); err != nil {
			return err
		}
	}
	body := c.envelope(false, choice(c.dialect, c.answer.text(), c.answer.finish))
	body.Usage = newUsage(c.prompt, c.cached, c.sent)
	serve.WriteJSON(w, http.StatusOK, body)
	return nil
}

func (c *run) stream(ctx context.Context, w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	role := "assistant"
	for position := range c.answer.tokens {
		if err := c.generate(ctx, position); err != nil {
			return err
		}
		piece := delta(c.dialect, role, c.answer.piece(position), nil)
		if err := writeEvent(w, c.envelope(true, piece)); err != nil {
			return err
		}
		role = ""
	}
	return c.finish(w)
}

// finish writes the finish reason, the usage if it was asked for and the end of the stream.
func (c *run) finish(w http.ResponseWriter) error {
	if err := writeEvent(w, c.envelope(true, delta(c.dialect, "", "", &c.answer.finish))); err != nil {
		return err
	}
	if c.request.StreamOptions.IncludeUsage {
		body := c.envelope(true)
		body.Usage = newUsage(c.prompt, c.cached, c.sent)
		if err := writeEvent(w, body); err != nil {
			return err
		}
	}
	return writeData(w, "[DONE]")
}

// generate passes the time of one token. Cached words shorten the time before the first one.
func (c *run) generate(ctx context.Context, position int) error {
	delay := c.engine.TokenDelay
	if position == 0 {
		delay = c.engine.FirstTokenDelay * time.Duration(max(1, c.prompt-c.cached)) / time.Duration(max(1, c.prompt))
	}
	if err := c.engine.wait(ctx, delay); err != nil {
		return err
	}
	c.sent++
	return nil
}

func (c *run) envelope(chunk bool, choices ...any) envelope {
	if choices == nil {
		choices = []any{}
	}
	return envelope{
		ID:      c.id,
		Object:  object(c.dialect, chunk),
		Created: time.Now().Unix(),
		Model:   c.request.Model,
		Choices: choices,
	}
}
