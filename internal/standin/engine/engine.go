// Package engine is a stand-in for a model engine. It has a number of slots, a bounded
// prefix cache, streams that can be resumed and cancelled, KV import and export, a
// lagging load report and fenced orders. Its answers are a function of the prompt, so
// that callers can check them.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/blake3"

	api "github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/prefix"
)

// bytesPerToken replaces a tokenizer.
const bytesPerToken = 4

// runRetention is how long a finished run can be resumed after its last use.
const runRetention = 30 * time.Second

// Engine is the stand-in. Set the exported fields before Handler.
type Engine struct {
	Name  string
	Fault *fault.Switch
	// Version is the weight version loaded at the start.
	Version string
	// Slots bounds the runs served at once.
	Slots int
	// CachePieces bounds the prefix cache.
	CachePieces int
	// PieceKV is the size of one piece's KV cache, in bytes.
	PieceKV int
	// Prefill is the prefill rate in prompt tokens a second, Decode the time between
	// two tokens.
	Prefill float64
	Decode  time.Duration
	// LoadWeights is how long new weights take to load.
	LoadWeights time.Duration
	// Lag is the delay of load reports and cache events.
	Lag time.Duration
	// ChecksFence refuses orders of a lower epoch.
	ChecksFence bool

	mu sync.Mutex
	// cache is the prefix cache, by prefix key.
	cache   *simplelru.LRU[string, struct{}]
	runs    map[string]*run
	running int
	// queued is the number of prompt tokens of runs whose prefill has not ended.
	queued      int
	queue       []*run
	version     string
	loading     bool
	epoch       uint64
	reports     []api.Load
	events      []event
	startedRuns []StartedRun
	store       kvcache.Client
}

// event is one change of the prefix cache.
type event struct {
	Sequence int       `json:"sequence"`
	Added    bool      `json:"added"`
	Key      string    `json:"key"`
	At       time.Time `json:"-"`
}

// StartedRun describes a run that was started, for checks by tests.
type StartedRun struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Version string `json:"version"`
	Scope   string `json:"scope"`
}

// Handler returns the engine's HTTP handler and starts its load reports, which end with
// ctx.
func (e *Engine) Handler(ctx context.Context) http.Handler {
	e.version = e.Version
	e.runs = make(map[string]*run)
	e.cache, _ = simplelru.NewLRU(max(e.CachePieces, 1), func(key string, _ struct{}) { e.recordEvent(false, key) })
	e.store = kvcache.Client{HTTP: &http.Client{Timeout: 10 * time.Second}}
	go e.report(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("POST /v1/resume", e.resume)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/events", e.cacheEvents)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("POST /v1/export", e.export)
	mux.HandleFunc("GET /runs", e.listRuns)
	return e.Fault.Wrap(mux)
}

// Answer returns the answer to a prompt.
func Answer(prompt string, tokens int) string {
	sum := blake3.Sum256([]byte(prompt))
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "%x-%d ", sum[i%16:i%16+2], i)
	}
	return b.String()
}

// report records load reports, so that they can be served with a lag, and drops expired
// runs.
func (e *Engine) report(ctx context.Context) {
	const interval = 50 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.reports = append(e.reports, e.currentLoad(now))
			for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= e.Lag {
				e.reports = e.reports[1:]
			}
			for key, r := range e.runs {
				if r.done && now.Sub(r.usedAt) > runRetention {
					delete(e.runs, key)
				}
			}
			e.mu.Unlock()
		}
	}
}

func (e *Engine) currentLoad(at time.Time) api.Load {
	return api.Load{
		Name: e.Name, Version: e.version, Slots: e.Slots, Running: e.running, Waiting: len(e.queue), QueuedTokens: e.queued,
		Leaving: e.Fault.State().Leaving, Epoch: e.epoch, Loading: e.loading, At: at,
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		fault.WriteJSON(w, http.StatusOK, e.currentLoad(time.Now()))
		return
	}
	fault.WriteJSON(w, http.StatusOK, e.reports[0])
}

func (e *Engine) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	var answer struct {
		Events []event `json:"events"`
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ev := range e.events {
		if time.Since(ev.At) > e.Lag {
			answer.Events = append(answer.Events, ev)
		}
	}
	fault.WriteJSON(w, http.StatusOK, answer)
}

// recordEvent records a cache event. Old events are dropped, which readers see as a gap in
// the sequence.
func (e *Engine) recordEvent(added bool, key string) {
	const maxEvents = 1000
	sequence := 1
	if n := len(e.events); n > 0 {
		sequence = e.events[n-1].Sequence + 1
	}
	e.events = append(e.events, event{Sequence: sequence, Added: added, Key: key, At: time.Now()})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}

func (e *Engine) listRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, e.startedRuns)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o api.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && o.Epoch < e.epoch {
		http.Error(w, "a higher epoch was seen", http.StatusConflict)
		return
	}
	e.epoch = max(e.epoch, o.Epoch)
	if o.Version == "" || o.Version == e.version || e.loading {
		return
	}
	e.loading = true
	go func() {
		time.Sleep(e.LoadWeights)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading = false
		e.version = o.Version
	}()
}

// export writes the cached pieces of a run's prompt to a store box.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Request string `json:"request"`
		Scope   string `json:"scope"`
		Store   address
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	var keys []prefix.Key
	tokens := 0
	for _, run := range e.runs {
		if run.spec.Request == order.Request && run.spec.Scope == order.Scope {
			keys = run.keys
			tokens = run.spec.PieceBytes / bytesPerToken
		}
	}
	e.mu.Unlock()
	if len(keys) == 0 {
		http.NotFound(w, r)
		return
	}
	var answer struct {
		Pieces []kvcache.Piece `json:"pieces"`
	}
	for _, key := range keys {
		data := e.kvCache(key)
		if err := e.store.PutPiece(r.Context(), order.Store, data); err != nil {
			http.Error(w, err.Error(), http.StatusInsufficientStorage)
			return
		}
		answer.Pieces = append(answer.Pieces, kvcache.Piece{Digest: kvcache.Digest(data), Bytes: len(data), Tokens: tokens})
	}
	fault.WriteJSON(w, http.StatusOK, answer)
}

// kvCache returns a piece's KV cache, which is a function of account, version and tokens.
func (e *Engine) kvCache(key prefix.Key) []byte {
	h := blake3.New()
	_, _ = h.Write(key[:])
	data := make([]byte, e.PieceKV)
	_, _ = h.Digest().Read(data)
	return data
}
