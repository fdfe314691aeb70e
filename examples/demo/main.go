// Command demo sends the example fleet a streamed model request, the same prompt again,
// and an order that must run once. It fails if an answer is incomplete or wrong.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"
)

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func main() {
	base := strings.TrimSuffix(os.Getenv("OPENAI_BASE_URL"), "/v1")
	menu := strings.Repeat("Sinigang na baboy, adobo, pancit canton, lumpia. ", 200)
	first, err := chat(base, menu)
	if err == nil {
		_, err = chat(base, menu)
	}
	if err == nil {
		fmt.Printf("answer: %.60s...\n\n", first)
		err = order(base)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// chat streams one answer and returns its text, if it is complete.
func chat(base, menu string) (string, error) {
	body := struct {
		Model    string    `json:"model"`
		Messages []message `json:"messages"`
		Stream   bool      `json:"stream"`
		Tokens   int       `json:"max_tokens"`
	}{os.Getenv("THYMEWIND_MODEL"), []message{{"system", menu}, {"user", "What is left tonight?"}}, true, 24}
	response, data, err := do(sling.New().Base(base).Post("/v1/chat/completions").BodyJSON(body))
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(data, "data: [DONE]\n\n") {
		return "", trace.Errorf("the answer is incomplete: %s", data)
	}
	fmt.Printf("streamed %d bytes, whole; request %s; placed by rule %q\n",
		len(data), response.Header.Get("X-Request-Id"), response.Header.Get("Thymewind-Rule"))
	return text(data), nil
}

// text joins the content of a stream's events.
func text(events string) string {
	var b strings.Builder
	for _, part := range strings.Split(events, `"content":"`)[1:] {
		content, _, _ := strings.Cut(part, `"`)
		b.WriteString(content)
	}
	return b.String()
}

// order sends an order twice with one key and checks that it ran once.
func order(base string) error {
	call := func() (*http.Response, string, error) {
		return do(sling.New().Base(base).Post("/services/orders/orders").
			Set("Idempotency-Key", "demo-"+os.Getenv("DEMO_KEY")).Set("Thymewind-Not-Repeatable", "true").
			Body(strings.NewReader("2 x adobo")))
	}
	_, first, err := call()
	if err != nil {
		return err
	}
	second, again, err := call()
	if err != nil {
		return err
	}
	fmt.Printf("ordered: %s\nasked again: replayed %s\n", first, second.Header.Get("Idempotency-Replayed"))
	if first != again || !strings.Contains(first, "run 1") {
		return trace.Errorf("the order did not run once: %q, then %q", first, again)
	}
	return nil
}

// do sends a request and, as callers should, retries a refusal with a Retry-After. On a
// busy machine an engine may seem silent for a moment.
func do(call *sling.Sling) (*http.Response, string, error) {
	request, err := call.Set("Authorization", "Bearer "+os.Getenv("OPENAI_API_KEY")).Request()
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	for attempt := 1; ; attempt++ {
		response, data, err := once(request)
		if err == nil || response == nil || response.StatusCode != http.StatusServiceUnavailable || attempt == maxAttempts {
			return response, data, err
		}
		after, failed := time.ParseDuration(response.Header.Get("Retry-After") + "s")
		if failed != nil {
			return response, data, err
		}
		time.Sleep(after)
		if request.Body, failed = request.GetBody(); failed != nil {
			return response, data, trace.Wrap(failed)
		}
	}
}

// maxAttempts bounds how often a request is sent.
const maxAttempts = 5

func once(request *http.Request) (*http.Response, string, error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		err = trace.Errorf("status %d: %s", response.StatusCode, data)
	}
	return response, string(data), trace.Wrap(err)
}
