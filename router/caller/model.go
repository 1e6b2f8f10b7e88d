package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// affinityPrefixBytes is the maximum number of leading prompt bytes that are hashed for prefix-cache affinity: prompts that
// agree in them prefer the same engines.
const affinityPrefixBytes = 512

// modelBody holds the fields of a completion request that the router interprets. All other fields reach the engine
// uninterpreted.
type modelBody struct {
	Model               string          `json:"model"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Count               *int64          `json:"n"`
	BestOf              *int64          `json:"best_of"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// readModelRequest reads and checks a completion request. It reserves an upper bound of the cost in tokens: one token for
// each byte of the body, which bounds the prompt, plus max_tokens for the answer.
func (s *Server) readModelRequest(w http.ResponseWriter, r *http.Request, c *authenticatedCaller) (*checkedRequest, error) {
	raw, err := s.readBody(w, r, c, modelBodyLimit(c.configuration))
	if err != nil {
		return nil, err
	}
	body, err := parseModelBody(raw)
	if err != nil {
		return nil, err
	}
	route, found := c.configuration.RouteForModel(body.Model)
	if !found {
		return nil, verdict.Refuse(verdict.ModelUnknown, fmt.Sprintf("%q", body.Model))
	}
	if limit := route.Limits.WithDefaults().BodyBytes; int64(len(raw)) > limit {
		return nil, verdict.Refuse(verdict.BodyTooLarge, fmt.Sprintf("the limit is %d bytes", limit))
	}
	checked, err := s.newCheckedRequest(r, c, route, raw)
	if err != nil {
		return nil, err
	}
	maxTokens, err := body.maxAnswerTokens(checked.call.Route.Limits)
	if err != nil {
		return nil, err
	}
	checked.call.Body, err = rewriteModelBody(raw, body, maxTokens)
	if err != nil {
		return nil, err
	}
	checked.call.Model = &endpoint.ModelCall{
		Stream:      body.Stream,
		ReportUsage: body.StreamOptions.IncludeUsage,
		MaxTokens:   maxTokens,
		PromptBound: int64(len(raw)),
		PrefixHash:  body.promptPrefixHash(),
	}
	checked.demand.Amount = ledger.Tokens(int64(len(raw)) + maxTokens)
	return checked, nil
}

// modelBodyLimit returns the maximum body length over all model routes, in bytes. The body has to be read under this limit,
// because the model that the body names determines the route; the route's own limit is checked afterwards.
func modelBodyLimit(configuration *operator.Configuration) int64 {
	limit := int64(0)
	for _, route := range configuration.Routes {
		if route.Model != "" {
			limit = max(limit, route.Limits.WithDefaults().BodyBytes)
		}
	}
	return max(limit, operator.DefaultBodyBytes)
}

func parseModelBody(raw []byte) (*modelBody, error) {
	body := &modelBody{}
	if err := json.Unmarshal(raw, body); err != nil {
		return nil, verdict.Refuse(verdict.InvalidBody, err.Error())
	}
	if body.Model == "" {
		return nil, verdict.Refuse(verdict.InvalidBody, "model is missing")
	}
	if (body.Messages == nil) == (body.Prompt == nil) {
		return nil, verdict.Refuse(verdict.InvalidBody, "either messages or prompt is needed")
	}
	for _, count := range []*int64{body.Count, body.BestOf} {
		if count != nil && *count != 1 {
			return nil, verdict.Refuse(verdict.InvalidBody, "n and best_of must be 1: one answer is reserved for a request")
		}
	}
	if countPrompts(body.Prompt) > 1 {
		return nil, verdict.Refuse(verdict.InvalidBody, "send one prompt: one answer is reserved for a request")
	}
	return body, nil
}

// countPrompts returns the number of prompts in the prompt field. Engines generate one answer for each element of a list of
// strings or of token lists, whereas a list of token numbers is a single prompt.
func countPrompts(prompt json.RawMessage) int {
	var list []json.RawMessage
	if json.Unmarshal(prompt, &list) != nil || len(list) == 0 {
		return 1
	}
	if list[0][0] == '"' || list[0][0] == '[' {
		return len(list)
	}
	return 1
}

// maxAnswerTokens returns the number of tokens to reserve for the answer. max_completion_tokens takes precedence over
// max_tokens; without either, the route's default applies.
func (b *modelBody) maxAnswerTokens(limits operator.RouteLimits) (int64, error) {
	requested := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		requested = b.MaxCompletionTokens
	}
	if requested == nil {
		return min(limits.DefaultMaxTokens, limits.MaxTokens), nil
	}
	if *requested < 1 || *requested > limits.MaxTokens {
		return 0, verdict.Refuse(verdict.InvalidBody, fmt.Sprintf("max_tokens is %d, allowed are 1 to %d", *requested, limits.MaxTokens))
	}
	return *requested, nil
}

func (b *modelBody) promptPrefixHash() uint64 {
	prompt := b.Messages
	if prompt == nil {
		prompt = b.Prompt
	}
	return xxhash.Sum64(prompt[:min(len(prompt), affinityPrefixBytes)])
}

// rewriteModelBody returns the body to send to the engine. Its limit of answer tokens is the reserved one, so that the engine
// stops there, and streams always include the usage event, which billing needs.
func rewriteModelBody(raw []byte, body *modelBody, maxTokens int64) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, verdict.Refuse(verdict.InvalidBody, err.Error())
	}
	if err := checkFieldCase(fields); err != nil {
		return nil, err
	}
	limit := json.RawMessage(fmt.Appendf(nil, "%d", maxTokens))
	delete(fields, "max_tokens")
	delete(fields, "max_completion_tokens")
	if body.MaxCompletionTokens != nil {
		fields["max_completion_tokens"] = limit
	} else {
		fields["max_tokens"] = limit
	}
	if body.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	rewritten, err := json.Marshal(fields)
	if err != nil {
		return nil, verdict.Refuse(verdict.InvalidBody, err.Error())
	}
	return rewritten, nil
}

// checkFieldCase refuses a field whose name differs from one that the router reads only in upper and lower case.
// encoding/json matches names regardless of case and engines don't: with "n":5 and "N":1 the router would reserve one
// answer while the engine generates five.
func checkFieldCase(fields map[string]json.RawMessage) error {
	bodyType := reflect.TypeFor[modelBody]()
	for name := range fields {
		for i := range bodyType.NumField() {
			if tag := bodyType.Field(i).Tag.Get("json"); name != tag && strings.EqualFold(name, tag) {
				return verdict.Refuse(verdict.InvalidBody, fmt.Sprintf("the field %q is spelled %q", name, tag))
			}
		}
	}
	return nil
}

// listModels answers GET /v1/models with the models of all routes, in the format of the OpenAI API.
func (s *Server) listModels(w http.ResponseWriter, r *http.Request) {
	c, err := s.admit(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range c.configuration.Models() {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "dragonflyworks"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
