package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/intake"
	"github.com/thymewind/thymewind/refusal"
)

// The default and the limit of max_tokens.
const (
	defaultMaxTokens = 64
	maxMaxTokens     = 32768
)

// decodeCopies is how often a prompt is in memory while its request is served: as the body, as JSON of
// a message, as text, in the prompt, as that grows, and on its way to an engine.
const decodeCopies = 6

// ask is the body of a chat or text completion; other fields are ignored, as the API
// allows. JSON errors that are sent to callers contain the type's name.
type ask struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`

	// body is the raw body.
	body []byte
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// part is one part of a message's content.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func badRequest(code, format string, args ...any) *refusal.Refusal {
	return refusal.New(refusal.DidNotRun, http.StatusBadRequest, code, format, args...)
}

// decode reads the body and checks what both kinds of completion have in common.
func (c *call) decode() (ask, error) {
	var a ask
	timeout, err := c.timeout()
	if err != nil {
		return a, err
	}
	data, held, err := c.Gate.ReadBody(c.w, c.r, c.MaxBodyBytes, decodeCopies, timeout)
	c.held = held
	if err != nil {
		return a, intake.Refusal(err, c.MaxBodyBytes, c.RetryAfter())
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, badRequest("invalid_json", "the body is not the JSON of a completion: %v", err)
	}
	a.body = data
	if a.N != nil && *a.N != 1 {
		return a, badRequest("unsupported", "n must be 1")
	}
	if n := a.maxTokens(); n < 1 || n > maxMaxTokens {
		return a, badRequest("invalid_max_tokens", "max_tokens must be 1 to %d", maxMaxTokens)
	}
	m, ok := c.configuration.Models[a.Model]
	if !ok || !c.poolAllowed(m.Pool) {
		return a, refusal.New(refusal.DidNotRun, http.StatusNotFound, "model_not_found", "the model %q does not exist or is not yours to use", a.Model)
	}
	return a, nil
}

// maxTokens returns the largest number of tokens that the caller wants.
func (a ask) maxTokens() int {
	switch {
	case a.MaxCompletionTokens != nil:
		return *a.MaxCompletionTokens
	case a.MaxTokens != nil:
		return *a.MaxTokens
	}
	return defaultMaxTokens
}

// canonicalPrompt returns the messages' text in the canonical form from which prefixes are named:
// the same messages give the same bytes.
func canonicalPrompt(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", badRequest("messages_missing", "messages must not be empty")
	}
	var b strings.Builder
	for i, m := range messages {
		if m.Role == "" {
			return "", badRequest("role_missing", "messages[%d] has no role", i)
		}
		text, err := contentText(m.Content)
		if err != nil {
			return "", badRequest("invalid_content", "messages[%d].content must be text", i)
		}
		b.WriteString("<|")
		b.WriteString(m.Role)
		b.WriteString("|>")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

// contentText decodes content that is a string or a list of text parts.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []part
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", trace.Wrap(err)
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", trace.BadParameter("content part of type %q is not supported, only text", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// promptText decodes a prompt that is a string, or a list of one.
func promptText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		var list []string
		if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
			text = list[0]
		}
	}
	if text == "" {
		return "", badRequest("invalid_prompt", "prompt must be a string that is not empty, or a list of one")
	}
	return text, nil
}
