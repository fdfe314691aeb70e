package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
)

// order sends one order that must run once, and repeats it with the same key until it
// gets a final answer.
func (w *worker) order() {
	w.orders++
	key := fmt.Sprintf("%s-%d-%d-%d", w.label, w.seed, w.id, w.orders)
	outcome := ""
	for range maxAttempts {
		status, reported, body := w.sendOrder(key)
		if status == http.StatusCreated {
			if !strings.Contains(body, key) {
				w.figures.reportWrong(fmt.Sprintf("order %s answered with %q", key, body))
			}
			outcome = "answered"
			break
		}
		outcome = reported
		w.figures.recordRetry(status)
		if reported == "unknown" && status == http.StatusConflict {
			break // It may have run; further attempts would not show whether it did.
		}
		time.Sleep(time.Duration(100+w.random.IntN(400)) * time.Millisecond)
	}
	w.figures.recordOrder(key, outcome)
}

func (w *worker) sendOrder(key string) (status int, outcome, body string) {
	request, err := sling.New().Base(w.daemon()).Post("/services/orders/orders").
		Set("Authorization", "Bearer "+w.key).Set("Idempotency-Key", key).Set("Thymewind-Not-Repeatable", "true").
		Body(strings.NewReader("2 x adobo for " + key)).Request()
	if err != nil {
		return 0, "", ""
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, "unknown", ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "unknown", ""
	}
	return response.StatusCode, response.Header.Get("Thymewind-Outcome"), string(data)
}

// checkOrders compares the outcomes known to callers with what the services ran.
func (l *load) checkOrders() {
	ran := make(map[string]int)
	for _, at := range l.services {
		response, err := l.client.Get("http://" + at + "/runs")
		if err != nil {
			l.figures.unchecked++
			continue
		}
		var runs map[string]int
		err = json.NewDecoder(response.Body).Decode(&runs)
		_ = response.Body.Close()
		if err != nil {
			l.figures.unchecked++
		}
		for key, n := range runs {
			ran[key] += n
		}
	}
	for key, outcome := range l.figures.orders {
		switch n := ran[key]; {
		case n > 1:
			l.figures.reportWrong(fmt.Sprintf("order %s ran %d times", key, n))
		case n == 0 && outcome == "answered" && l.figures.unchecked == 0:
			l.figures.reportWrong(fmt.Sprintf("order %s was answered but did not run", key))
		case n == 1 && outcome == "did-not-run":
			l.figures.reportWrong(fmt.Sprintf("order %s ran but was told did-not-run", key))
		}
	}
}
