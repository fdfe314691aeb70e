package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/resume"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/stream"
)

// writeTimeout bounds each write to a caller.
const writeTimeout = 30 * time.Second

// completionWriter writes one completion in the API's format.
type completionWriter struct {
	*call
	chat  bool
	model string
	// streamed sends the text as it arrives. The text is also collected if it isn't streamed or if
	// the request is marked not repeatable.
	streamed bool
	// includeUsage adds a last chunk with the usage.
	includeUsage bool
	// headWritten says that a stream's status and headers have been written.
	headWritten bool
	text        strings.Builder
}

// chunk is one completion, or one chunk of a streamed one.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int          `json:"index"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Text    *string      `json:"text,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	Prompt     int          `json:"prompt_tokens"`
	Completion int          `json:"completion_tokens"`
	Total      int          `json:"total_tokens"`
	Details    usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	Cached int `json:"cached_tokens"`
}

func usageOf(u stream.Usage) *usage {
	return &usage{
		Prompt: u.Prompt, Completion: u.Completion, Total: u.Prompt + u.Completion,
		Details: usageDetails{Cached: u.Reused + u.Imported},
	}
}

// start sets the headers, once the run that answers has been checked.
func (a *completionWriter) start(placed route.Placement) {
	h := a.w.Header()
	h.Set(HeaderRule, placed.Rule+": "+placed.Target)
	h.Set(HeaderResume, a.resumeToken(placed, a.model, a.chat))
	a.writeHead()
}

// setRequestID takes over the request ID of the stream that is resumed.
func (a *completionWriter) setRequestID(token resume.Token) {
	a.id = token.Request
	a.w.Header().Set(HeaderRequest, a.id)
}

func (a *completionWriter) writeHead() {
	if !a.streamed || a.headWritten {
		return
	}
	a.headWritten = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
}

// attemptChanged sends the caller the resume token of the attempt that continues, in a comment
// line, which clients of the API ignore.
func (a *completionWriter) attemptChanged(placed route.Placement) {
	if a.streamed {
		fmt.Fprintf(a.w, ": resume %s\n\n", a.resumeToken(placed, a.model, a.chat))
	}
}

// write takes the next text; offset is the offset after it.
func (a *completionWriter) write(text string, offset int) error {
	if !a.streamed || a.notRepeatable() {
		a.text.WriteString(text)
	}
	if !a.streamed {
		return nil
	}
	a.writeHead()
	return a.event(offset, a.chunk(a.delta(text), nil))
}

func (a *completionWriter) delta(text string) choice {
	if a.chat {
		return choice{Delta: &chatMessage{Role: "assistant", Content: text}}
	}
	return choice{Text: &text}
}

func (a *completionWriter) chunk(c choice, u *usage) chunk {
	out := chunk{ID: a.prefix() + a.id, Object: a.object(), Created: a.Now().Unix(), Model: a.model, Usage: u}
	out.Choices = append(out.Choices, c)
	return out
}

func (a *completionWriter) prefix() string {
	if a.chat {
		return "chatcmpl-"
	}
	return "cmpl-"
}

func (a *completionWriter) object() string {
	switch {
	case a.chat && a.streamed:
		return "chat.completion.chunk"
	case a.chat:
		return "chat.completion"
	}
	return "text_completion"
}

// event writes one server-sent event. Its ID is the offset to resume at.
func (a *completionWriter) event(offset int, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	control := http.NewResponseController(a.w)
	// A caller that reads nothing for this long is taken to have left. Not every writer supports a
	// deadline.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(a.w, "id: %d\ndata: %s\n\n", offset, data); err != nil {
		return err
	}
	return control.Flush()
}

// finish ends a complete answer.
func (a *completionWriter) finish(end stream.Frame) {
	if !a.streamed {
		a.writeWhole(end)
		return
	}
	a.writeHead()
	last := a.delta("")
	last.Finish = &end.Finish
	_ = a.event(end.Total, a.chunk(last, nil))
	if a.includeUsage {
		closing := a.chunk(choice{}, usageOf(end.Usage))
		closing.Choices = []choice{}
		_ = a.event(end.Total, closing)
	}
	_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
}

func (a *completionWriter) writeWhole(end stream.Frame) {
	text := a.text.String()
	c := choice{Finish: &end.Finish}
	if a.chat {
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a.writeJSON(a.chunk(c, usageOf(end.Usage)))
}

// abort ends an incomplete answer. A stream that has begun gets an error event and no [DONE];
// otherwise the error is returned for the caller's response.
func (a *completionWriter) abort(err error) error {
	if !a.headWritten {
		return err
	}
	r := refusal.Of(err, refusal.Unknown, http.StatusBadGateway)
	a.OnRefused(a.id, a.account.Name, r)
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", errorBody(a.id, r))
	return nil
}
