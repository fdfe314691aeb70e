package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/caller"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/forward"
	"github.com/thymewind/thymewind/model"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/relay"
	"github.com/thymewind/thymewind/resume"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/stream"
)

// newFront returns a front whose requests are answered by run.
func newFront(t testing.TB, run func(relay.Request) (stream.Frame, error)) http.Handler {
	t.Helper()
	entry := func(kind, name, after string) configuration.Entry {
		return configuration.Entry{Kind: kind, Name: name, After: json.RawMessage(after)}
	}
	c, err := (&configuration.Configuration{Pools: map[string]pool.Pool{}, Models: map[string]model.Model{}}).Apply(configuration.Change{Revision: 1, Entries: []configuration.Entry{
		entry("account", "a", `{"name":"a","weight":1,"key_hashes":["`+account.HashKey("key")+`"]}`),
		entry("pool", "p", `{"name":"p","kind":"model","weights":"v1","piece_bytes":64,"concurrency":1}`),
		entry("model", "m", `{"name":"m","pool":"p"}`),
	}})
	if err != nil {
		t.Fatal(err)
	}
	signer := resume.Signer{Keys: [][]byte{[]byte("a key")}}
	f := &caller.Front{
		Configuration: func() *configuration.Configuration { return c },
		Run:           func(_ context.Context, r relay.Request) (stream.Frame, error) { return run(r) },
		Forward:       func(http.ResponseWriter, *http.Request, forward.Call) error { return errors.New("none") },
		Resume: func(context.Context, resume.Token, int, func(string, int) error) (stream.Frame, error) {
			return stream.Frame{}, errors.New("none")
		},
		SignToken: signer.Sign, VerifyToken: signer.Check, OnRefused: func(string, string, *refusal.Refusal) {},
		RequestID: func() string { return "r1" }, Now: func() time.Time { return time.Unix(1000, 0) },
		MaxBodyBytes: 1 << 16, Timeout: time.Minute,
	}
	return f.Handler()
}

// helloThere answers every request with two pieces of text.
func helloThere(r relay.Request) (stream.Frame, error) {
	r.OnFirstText(route.Placement{Target: "t", Attempt: 1, Rule: "home"})
	_ = r.Write("hello ", 6)
	_ = r.Write("there", 11)
	return stream.Frame{Finish: "stop", Total: 11, Usage: stream.Usage{Prompt: 7, Reused: 4, Completion: 2}}, nil
}

func post(h http.Handler, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer key")
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

func TestCompletionFormats(t *testing.T) {
	tests := []struct {
		name, path, body string
		want             []string
	}{
		{"chat, not streamed", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"x"}]}`, []string{
			`"id":"chatcmpl-r1"`, `"object":"chat.completion"`, `"message":{"role":"assistant","content":"hello there"}`,
			`"finish_reason":"stop"`, `"prompt_tokens":7`, `"total_tokens":9`, `"cached_tokens":4`,
		}},
		{"chat, streamed", "/v1/chat/completions", `{"model":"m","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`, []string{
			`"object":"chat.completion.chunk"`, "id: 6\n", `"delta":{"role":"assistant","content":"there"}`, `"finish_reason":"stop"`,
			`"choices":[],"usage":{"prompt_tokens":7`, "data: [DONE]\n\n",
		}},
		{"text in a list", "/v1/completions", `{"model":"m","prompt":["x"]}`, []string{`"text":"hello there"`}},
		{"text", "/v1/completions", `{"model":"m","prompt":"x"}`, []string{`"id":"cmpl-r1"`, `"object":"text_completion"`, `"text":"hello there"`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := post(newFront(t, helloThere), tt.path, tt.body)
			for _, want := range tt.want {
				if !strings.Contains(got.Body.String(), want) {
					t.Errorf("body %q lacks %q", got.Body, want)
				}
			}
		})
	}
}

// TestRefusalBeforeStream checks the response to a streamed request that is refused before its
// first text.
func TestRefusalBeforeStream(t *testing.T) {
	h := newFront(t, func(relay.Request) (stream.Frame, error) {
		return stream.Frame{}, refusal.New(refusal.DidNotRun, http.StatusTooManyRequests, "over_limit", "too much").WithRetryAfter(1500 * time.Millisecond)
	})
	got := post(h, "/v1/completions", `{"model":"m","prompt":"x","stream":true}`)
	if got.Code != http.StatusTooManyRequests || got.Header().Get("Retry-After") != "2" || got.Header().Get("Thymewind-Outcome") != "did-not-run" {
		t.Errorf("status %d, header %v", got.Code, got.Header())
	}
	for _, want := range []string{`"type":"rate_limit_error"`, `"code":"over_limit"`, `"outcome":"did-not-run"`, `"request_id":"r1"`, `"retry_after_s":1.5`} {
		if !strings.Contains(got.Body.String(), want) {
			t.Errorf("body %q lacks %q", got.Body, want)
		}
	}
}

// TestBrokenStreamIsNoSuccess interrupts an answer after its beginning.
func TestBrokenStreamIsNoSuccess(t *testing.T) {
	h := newFront(t, func(r relay.Request) (stream.Frame, error) {
		r.OnFirstText(route.Placement{})
		_ = r.Write("hel", 3)
		return stream.Frame{}, refusal.New(refusal.Unknown, http.StatusBadGateway, "no_answer", "cut")
	})
	got := post(h, "/v1/completions", `{"model":"m","prompt":"x","stream":true}`).Body.String()
	if strings.Contains(got, "[DONE]") || strings.Contains(got, `"finish_reason":"`) || !strings.Contains(got, `"outcome":"unknown"`) {
		t.Errorf("got %q", got)
	}
}

// FuzzBody looks for bodies that crash the front, and for answers that are neither a completion
// nor a typed error.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{`{"model":"m","messages":[{"role":"user","content":"x"}]}`, `{`, `[]`, `{"model":"m","max_tokens":-1}`, `{"model":"m","messages":[{}]}`, `{"model":"m","prompt":"x","n":2}`, `{"model":7}`, `null`} {
		f.Add(seed, true)
		f.Add(seed, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		got := post(newFront(t, helloThere), path, body)
		if got.Code != http.StatusOK && !strings.Contains(got.Body.String(), `"error"`) {
			t.Errorf("status %d with body %q", got.Code, got.Body)
		}
	})
}
