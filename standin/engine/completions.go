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

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) { e.complete(w, r, chatDialect{}) }

func (e *Engine) handleText(w http.ResponseWriter, r *http.Request) { e.complete(w, r, textDialect{}) }

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	served := []model{}
	for _, name := range e.servedNames() {
		served = append(served, model{name, "model", 0, "standin"})
	}
	serve.WriteJSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", served})
}

// completion is the state of one call to the engine.
type completion struct {
	engine *Engine
	// id is the identifier of the answer, repeated in every chunk.
	id             string
	request        *request
	dialect        dialect
	idempotencyKey string
	promptTokens   int
	cachedTokens   int
	answer         answer
	// generatedTokens is the number of tokens generated so far.
	generatedTokens int
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
	e.crashOnMarker(words)
	if e.acquireSlot(r.Context()) != nil {
		return
	}
	defer e.releaseSlot()
	c := &completion{
		engine:         e,
		id:             "cmpl-" + e.Name + "-" + strconv.FormatInt(e.calls.Add(1), 10),
		request:        decoded,
		dialect:        d,
		idempotencyKey: r.Header.Get(runs.Header),
		promptTokens:   len(words),
		cachedTokens:   e.cache.add(words),
		answer:         newAnswer(words, e.AnswerTokens, decoded.limit()),
	}
	e.Runs.Start(c.idempotencyKey)
	err = c.write(r.Context(), w)
	e.Runs.Finish(c.idempotencyKey, int64(c.promptTokens+c.generatedTokens), err == nil)
	if err != nil {
		e.withLock(func() { e.canceled++ })
		// Aborting the connection keeps the caller from taking a partial answer for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// crashOnMarker calls Crash if the prompt contains the crash marker.
func (e *Engine) crashOnMarker(words []string) {
	marker := ""
	e.withLock(func() { marker = e.CrashMarker })
	if marker != "" && slices.Contains(words, marker) && e.Crash != nil {
		e.Crash()
	}
}

func (c *completion) write(ctx context.Context, w http.ResponseWriter) error {
	if c.request.Stream {
		return c.writeStream(ctx, w)
	}
	return c.writeWhole(ctx, w)
}

func (c *completion) writeWhole(ctx context.Context, w http.ResponseWriter) error {
	for position := range c.answer.tokens {
		if err := c.generateToken(ctx, position); err != nil {
			return err
		}
	}
	body := c.newEnvelope(false, newChoice(c.dialect, c.answer.text(), c.answer.finish))
	body.Usage = newUsage(c.promptTokens, c.cachedTokens, c.generatedTokens)
	serve.WriteJSON(w, http.StatusOK, body)
	return nil
}

func (c *completion) writeStream(ctx context.Context, w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	role := "assistant"
	for position := range c.answer.tokens {
		if err := c.generateToken(ctx, position); err != nil {
			return err
		}
		piece := newDelta(c.dialect, role, c.answer.tokenText(position), nil)
		if err := writeEvent(w, c.newEnvelope(true, piece)); err != nil {
			return err
		}
		role = ""
	}
	return c.writeStreamEnd(w)
}

// writeStreamEnd writes the finish reason, the usage if the request asked for it, and the final event [DONE].
func (c *completion) writeStreamEnd(w http.ResponseWriter) error {
	if err := writeEvent(w, c.newEnvelope(true, newDelta(c.dialect, "", "", &c.answer.finish))); err != nil {
		return err
	}
	if c.request.StreamOptions.IncludeUsage {
		body := c.newEnvelope(true)
		body.Usage = newUsage(c.promptTokens, c.cachedTokens, c.generatedTokens)
		if err := writeEvent(w, body); err != nil {
			return err
		}
	}
	return writeData(w, "[DONE]")
}

// generateToken waits for the generation time of one token. Cached words reduce the time to the first token in proportion
// to their part of the prompt.
func (c *completion) generateToken(ctx context.Context, position int) error {
	delay := c.engine.TokenDelay
	if position == 0 {
		delay = c.engine.FirstTokenDelay * time.Duration(max(1, c.promptTokens-c.cachedTokens)) / time.Duration(max(1, c.promptTokens))
	}
	if err := c.engine.sleep(ctx, delay); err != nil {
		return err
	}
	c.generatedTokens++
	return nil
}

func (c *completion) newEnvelope(chunk bool, choices ...any) envelope {
	if choices == nil {
		choices = []any{}
	}
	return envelope{
		ID:      c.id,
		Object:  objectType(c.dialect, chunk),
		Created: time.Now().Unix(),
		Model:   c.request.Model,
		Choices: choices,
	}
}
