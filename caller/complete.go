package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/thymewind/thymewind/forward"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/relay"
	"github.com/thymewind/thymewind/resume"
	"github.com/thymewind/thymewind/route"
)

func (c *call) chat() error {
	a, err := c.decode()
	if err != nil {
		return err
	}
	prompt, err := canonicalPrompt(a.Messages)
	if err != nil {
		return err
	}
	return c.complete(a, prompt, true)
}

func (c *call) completion() error {
	a, err := c.decode()
	if err != nil {
		return err
	}
	prompt, err := promptText(a.Prompt)
	if err != nil {
		return err
	}
	return c.complete(a, prompt, false)
}

// complete runs a model request and writes its answer, streamed or whole.
func (c *call) complete(a ask, prompt string, chat bool) error {
	timeout, err := c.timeout()
	if err != nil {
		return err
	}
	// A caller that leaves before the answer begins ends the request. After that it may resume the
	// stream at another box, so the run continues.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), timeout)
	defer cancel()
	release := context.AfterFunc(c.r.Context(), cancel)
	out := &completionWriter{call: c, chat: chat, model: a.Model, streamed: a.Stream, includeUsage: a.StreamOptions.IncludeUsage}
	request := relay.Request{
		ID: c.id, Account: c.account.Name, Model: a.Model, Pool: c.configuration.Models[a.Model].Pool,
		Prompt: prompt, MaxTokens: a.maxTokens(),
		OnFirstText: func(placed route.Placement) {
			release()
			out.start(placed)
		},
		OnMoved: out.attemptChanged,
		Write:   out.write,
	}
	if c.notRepeatable() {
		release() // The answer is stored for a caller that retries.
		return c.runOnce(ctx, a, request, out)
	}
	end, err := c.Run(ctx, request)
	if err != nil {
		return out.abort(err)
	}
	out.finish(end)
	return nil
}

// resume continues an interrupted stream.
func (c *call) resume() error {
	token, err := c.VerifyToken(c.r.Header.Get(HeaderResume), c.account.Name, c.Now())
	if err != nil {
		return refusal.New(refusal.Unknown, http.StatusForbidden, "bad_resume_token", "the resume token is not good")
	}
	offset, err := c.offset()
	if err != nil {
		return err
	}
	timeout, err := c.timeout()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), timeout)
	defer cancel()
	out := &completionWriter{call: c, chat: token.Chat, model: token.Model, streamed: true, includeUsage: true}
	out.setRequestID(token)
	end, err := c.Resume(ctx, token, offset, out.write)
	if err != nil {
		return out.abort(err)
	}
	out.finish(end)
	return nil
}

func (c *call) offset() (int, error) {
	text := c.r.Header.Get("Last-Event-ID")
	if text == "" {
		text = c.r.Header.Get(HeaderOffset)
	}
	if text == "" {
		return 0, nil
	}
	offset, err := strconv.Atoi(text)
	if err != nil || offset < 0 {
		return 0, badRequest("bad_offset", "the offset must be a number of bytes")
	}
	return offset, nil
}

// resumeToken returns a resume token for an attempt, or an empty string if signing fails.
func (c *call) resumeToken(placed route.Placement, model string, chat bool) string {
	text, err := c.SignToken(resume.Token{
		Account: c.account.Name, Request: c.id, Target: placed.Address, Attempt: placed.Attempt,
		Version: placed.Version, Scope: placed.Scope.String(), Model: model, Chat: chat,
		Until: c.Now().Add(c.Timeout + c.ResumeRetention),
	})
	if err != nil {
		return ""
	}
	return text
}

func (c *call) models() error {
	type entry struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{Object: "list", Data: []entry{}}
	for name, m := range c.configuration.Models {
		if c.poolAllowed(m.Pool) {
			list.Data = append(list.Data, entry{ID: name, Object: "model", OwnedBy: "thymewind"})
		}
	}
	c.writeJSON(list)
	return nil
}

func (c *call) model() error {
	name := c.r.PathValue("name")
	m, ok := c.configuration.Models[name]
	if !ok || !c.poolAllowed(m.Pool) {
		return refusal.New(refusal.DidNotRun, http.StatusNotFound, "model_not_found", "the model %q does not exist", name)
	}
	c.writeJSON(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}{name, "model", 0, "thymewind"})
	return nil
}

func (c *call) writeJSON(body any) {
	c.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(c.w).Encode(body)
}

// service forwards a request to a plain service.
func (c *call) service() error {
	name := c.r.PathValue("pool")
	p, ok := c.configuration.Pools[name]
	if !ok || !c.poolAllowed(name) || p.Kind == "model" {
		return refusal.New(refusal.DidNotRun, http.StatusNotFound, "unknown_pool", "there is no service %q", name)
	}
	timeout, err := c.timeout()
	if err != nil {
		return err
	}
	return c.Forward(c.w, c.r, forward.Call{
		Request: c.id, Account: c.account.Name, Pool: name, Path: strings.TrimPrefix(c.r.URL.EscapedPath(), servicePrefix+name),
		BodyBytes: c.MaxBodyBytes, Timeout: timeout, OnceByTarget: p.OnceByTarget,
	})
}
