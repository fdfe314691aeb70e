// Package fault injects faults into a stand-in while it runs.
//
//	var f fault.Switch
//	http.ListenAndServe(address, f.Wrap(handler))
//
// A PUT of a State in JSON to /fault sets the switch, for example {"down":true}.
package fault

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// State is the set of active faults.
type State struct {
	// Down answers every request with 503.
	Down bool `json:"down"`
	// SlowMillis delays each answer.
	SlowMillis int `json:"slow_ms"`
	// Lose is the share of writes that are applied but whose answer is lost.
	Lose float64 `json:"lose"`
	// Cut is the share of streams that are cut in the middle.
	Cut float64 `json:"cut"`
	// Crossed is the share of streams that carry a frame of another request.
	Crossed float64 `json:"crossed"`
	// Full refuses to store more.
	Full bool `json:"full"`
	// Leaving refuses new work.
	Leaving bool `json:"leaving"`
	// Rate scales the speed of links and prefill; zero means 1.
	Rate float64 `json:"rate"`
}

// Switch holds the state. The zero value has no faults.
type Switch struct {
	mu    sync.Mutex
	state State
}

// State returns the active faults.
func (s *Switch) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Set replaces the active faults.
func (s *Switch) Set(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// Occurs draws whether a fault with the given share occurs.
func Occurs(share float64) bool { return share > 0 && rand.Float64() < share }

// Scale returns the factor of the speed of links and prefill.
func (s *Switch) Scale() float64 {
	if rate := s.State().Rate; rate > 0 {
		return rate
	}
	return 1
}

// Wrap serves /fault and passes other requests on, delayed or refused as the state says.
func (s *Switch) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var state State
		if err := json.NewDecoder(r.Body).Decode(&state); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(state)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		state := s.State()
		if state.SlowMillis > 0 {
			time.Sleep(time.Duration(state.SlowMillis) * time.Millisecond)
		}
		if state.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
	return mux
}

// WriteJSON writes an answer in JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
