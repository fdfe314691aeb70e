package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"

	standin "github.com/thymewind/thymewind/internal/standin/engine"
)

// maxAttempts bounds a caller's attempts at one request.
const maxAttempts = 40

// answer is what a caller has received of one streamed answer.
type answer struct {
	text     string
	token    string
	complete bool
}

// chat requests one answer and checks it. A stream that is cut is resumed at any of the
// daemons; a request that got nothing is sent again.
func (w *worker) chat() {
	prompt := w.prompt()
	want := standin.Answer(prompt, w.tokens)
	var a answer
	for attempt := 0; attempt < maxAttempts && !a.complete; attempt++ {
		first, status := w.sendChat(prompt, &a)
		if first > 0 && attempt == 0 {
			w.figures.recordFirstToken(first)
		}
		if !strings.HasPrefix(want, a.text) || (a.complete && a.text != want) {
			w.figures.reportWrong(fmt.Sprintf("prompt %.20q: got %q", prompt, a.text))
			return
		}
		if a.complete {
			break
		}
		w.figures.recordRetry(status)
		time.Sleep(time.Duration(50+w.random.IntN(300)) * time.Millisecond)
	}
	w.figures.recordRequest(a.complete)
	if w.engine != "" {
		w.chatDirect(prompt)
	}
}

// prompt returns one of this worker's recurring prompts with a random question.
func (w *worker) prompt() string {
	n := w.random.IntN(w.prompts)
	menu := fmt.Sprintf("worker %d, menu %d: ", w.id, n)
	menu += strings.Repeat("sinigang adobo pancit lumpia ", w.promptBytes/29+1)
	return menu[:w.promptBytes] + fmt.Sprint(" what is left, question ", w.random.IntN(1000))
}

// sendChat starts or resumes an answer and returns the time to its first text.
func (w *worker) sendChat(prompt string, a *answer) (first time.Duration, status int) {
	call := sling.New().Base(w.daemon()).Set("Authorization", "Bearer "+w.key)
	if a.token != "" {
		call = call.Post("/v1/resume").Set("Thymewind-Resume", a.token).Set("Last-Event-ID", fmt.Sprint(len(a.text)))
	} else {
		call = call.Post("/v1/completions").BodyJSON(struct {
			Model  string `json:"model"`
			Prompt string `json:"prompt"`
			Tokens int    `json:"max_tokens"`
			Stream bool   `json:"stream"`
		}{w.model, prompt, w.tokens, true})
	}
	request, err := call.Request()
	if err != nil {
		return 0, 0
	}
	began := time.Now()
	response, err := w.client.Do(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		if response.StatusCode == http.StatusGone || response.StatusCode == http.StatusForbidden {
			*a = answer{} // The run is gone with its engine; start over.
		}
		return 0, response.StatusCode
	}
	if token := response.Header.Get("Thymewind-Resume"); token != "" {
		a.token = token
	}
	return a.read(bufio.NewReader(response.Body), began), response.StatusCode
}

// read appends a stream's events to the answer and returns the time to its first text.
func (a *answer) read(lines *bufio.Reader, began time.Time) (first time.Duration) {
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return first
		}
		if token, ok := strings.CutPrefix(line, ": resume "); ok {
			a.token = strings.TrimSpace(token)
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if strings.Contains(data, `"code":"not_resumable"`) {
			*a = answer{} // The run is gone with its engine; start over.
			return first
		}
		if data == "[DONE]" {
			a.complete = true
			return first
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		if first == 0 {
			first = time.Since(began)
		}
		a.text += chunk.Choices[0].Text
	}
}

// chatDirect sends a prompt to an engine directly, without a daemon in between.
func (w *worker) chatDirect(prompt string) {
	began := time.Now()
	request, err := sling.New().Base("http://" + w.engine).Post("/v1/generate").BodyJSON(struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
		Version string `json:"version"`
		Scope   string `json:"scope"`
		Prompt  string `json:"prompt"`
		Tokens  int    `json:"max_tokens"`
		Piece   int    `json:"piece_bytes"`
	}{fmt.Sprintf("direct-%d-%d", w.id, began.UnixNano()), 1, "v1", "direct", prompt, w.tokens, 2048}).Request()
	if err != nil {
		return
	}
	response, err := w.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		if strings.Contains(line, `"text"`) {
			w.figures.recordDirect(time.Since(began))
			return
		}
	}
}
