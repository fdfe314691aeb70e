// Package service is a stand-in for a plain service, such as one that takes orders.
package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/thymewind/thymewind/internal/standin/fault"
)

// Service is the stand-in. It echoes requests and counts orders.
type Service struct {
	Name  string
	Fault *fault.Switch

	mu   sync.Mutex
	runs map[string]int
}

// Handler returns the HTTP handler. POST /orders takes an order; GET /runs returns how
// often each idempotency key ran.
func (s *Service) Handler() http.Handler {
	s.runs = make(map[string]int)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		fault.WriteJSON(w, http.StatusOK, s.runs)
	})
	mux.HandleFunc("/orders", s.order)
	mux.HandleFunc("/", s.echo)
	return s.Fault.Wrap(mux)
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.mu.Unlock()
	if fault.Occurs(s.Fault.State().Lose) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Service-Name", s.Name)
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "order %s taken by %s, run %d: %s", key, s.Name, n, body)
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Service-Name", s.Name)
	if r.URL.Path == "/slow" {
		time.Sleep(3 * time.Second)
	}
	fmt.Fprintf(w, "%s %s\n", r.Method, r.URL.RequestURI())
	_, _ = io.Copy(w, r.Body)
}
