package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	api "github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/stream"
)

type address = netip.AddrPort

// run is one generation. Its fields are guarded by Engine.mu.
type run struct {
	spec    api.Run
	keys    []prefix.Key
	usage   stream.Usage
	text    string
	started bool
	// done is set once no more text comes, failed if the answer is incomplete.
	done, failed, cancelled bool
	changed                 chan struct{}
	usedAt                  time.Time
}

// notify wakes all readers of the run.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func runKey(request string, attempt int) string { return fmt.Sprintf("%s/%d", request, attempt) }

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var spec api.Run
	if err := json.NewDecoder(r.Body).Decode(&spec); err != nil {
		e.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	state := e.Fault.State()
	e.mu.Lock()
	switch {
	case state.Leaving:
		e.mu.Unlock()
		e.refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	case e.loading || spec.Version != e.version:
		e.mu.Unlock()
		e.refuse(w, http.StatusConflict, "another weight version is loaded")
		return
	case len(e.queue) >= 8*e.Slots:
		e.mu.Unlock()
		e.refuse(w, http.StatusTooManyRequests, "too many runs wait")
		return
	}
	x := &run{spec: spec, changed: make(chan struct{}), usedAt: time.Now()}
	x.keys = prefix.Chain(scopeOf(spec.Scope), []byte(spec.Prompt), max(spec.PieceBytes, 1))
	e.runs[runKey(spec.Request, spec.Attempt)] = x
	e.queue = append(e.queue, x)
	e.queued += len(spec.Prompt) / bytesPerToken
	slices.SortStableFunc(e.queue, func(a, b *run) int { return a.spec.Priority - b.spec.Priority })
	e.mu.Unlock()
	e.admit()
	e.stream(w, r, x, len(spec.Generated), state.Crossed)
}

// scopeOf derives a seed for the chain of prefix keys from a scope's text.
func scopeOf(scope string) prefix.Key { return prefix.Scope("engine", scope) }

func (e *Engine) refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set(api.HeaderStarted, "no")
	if e.Fault.State().Leaving {
		w.Header().Set(api.HeaderLeaving, "1")
	}
	http.Error(w, why, status)
}

// admit starts waiting runs while slots are free.
func (e *Engine) admit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.running < e.Slots && len(e.queue) > 0 {
		x := e.queue[0]
		e.queue = e.queue[1:]
		x.started = true
		e.running++
		e.startedRuns = append(e.startedRuns, StartedRun{x.spec.Request, x.spec.Attempt, x.spec.Version, x.spec.Scope})
		go e.serve(x)
	}
}

// serve runs a run: it imports or computes the prompt's cache and then decodes.
func (e *Engine) serve(x *run) {
	defer e.admit()
	defer func() {
		e.mu.Lock()
		e.running--
		x.done = true
		x.usedAt = time.Now()
		x.notify()
		e.mu.Unlock()
	}()
	e.prefill(x)
	tokens := x.spec.MaxTokens
	text := Answer(x.spec.Prompt, tokens)
	step := max(len(text)/max(tokens, 1), 1)
	for at := len(x.spec.Generated); at < len(text); {
		time.Sleep(e.Decode)
		end := min(at+step, len(text))
		e.mu.Lock()
		if x.cancelled {
			x.failed = true
			e.mu.Unlock()
			return
		}
		x.text += text[at:end]
		x.usage.Completion = min(tokens, x.usage.Completion+1)
		x.notify()
		e.mu.Unlock()
		at = end
	}
}

func (e *Engine) prefill(x *run) {
	piece := x.spec.PieceBytes / bytesPerToken
	e.mu.Lock()
	reused := 0
	for reused < len(x.keys) && e.cache.Contains(x.keys[reused].String()) {
		e.cache.Get(x.keys[reused].String())
		reused++
	}
	e.mu.Unlock()
	imported := 0
	began := time.Now()
	if x.spec.Import != nil && len(x.spec.Import.Run) > reused {
		imported = e.importPieces(x, reused)
	}
	importing := time.Since(began)
	total := (len(x.spec.Prompt) + bytesPerToken - 1) / bytesPerToken
	left := total - (reused+imported)*piece
	computing := time.Duration(float64(left) / (e.Prefill * e.Fault.Scale()) * float64(time.Second))
	time.Sleep(computing)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued -= len(x.spec.Prompt) / bytesPerToken
	for _, key := range x.keys {
		if !e.cache.Contains(key.String()) {
			e.recordEvent(true, key.String())
		}
		e.cache.Add(key.String(), struct{}{})
	}
	x.usage = stream.Usage{Prompt: total, Reused: reused * piece, Imported: imported * piece}
	x.usage.PrefillMillis = float64(computing.Microseconds()) / 1000
	x.usage.ImportMillis = float64(importing.Microseconds()) / 1000
}

// importPieces fetches the pieces after the reused ones. It checks each piece's digest and
// contents against the prompt, and uses all of them or none.
func (e *Engine) importPieces(x *run, reused int) int {
	run := x.spec.Import.Run
	if len(run) > len(x.keys) {
		return 0
	}
	const timeout = 5 * time.Second
	// The run continues even if its reader leaves.
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for i, m := range run[reused:] {
		if kvcache.Check(m, x.spec.Scope, m.Key, reused+i) != nil {
			return 0
		}
		data, err := e.store.Piece(ctx, x.spec.Import.Store, m.Piece)
		if err != nil || !bytes.Equal(data, e.kvCache(x.keys[reused+i])) {
			return 0
		}
	}
	return len(run) - reused
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
		Offset  int    `json:"offset"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	x, ok := e.runs[runKey(body.Request, body.Attempt)]
	e.mu.Unlock()
	if !ok || body.Offset < len(x.spec.Generated) {
		http.NotFound(w, r)
		return
	}
	e.stream(w, r, x, body.Offset, 0)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.runs[runKey(body.Request, body.Attempt)]
	if !ok {
		// The run may still arrive, or may have run before a restart.
		http.NotFound(w, r)
		return
	}
	started := x.started
	x.cancelled = true
	if !started {
		x.done, x.failed = true, true
		e.queued -= len(x.spec.Prompt) / bytesPerToken
		e.queue = slices.DeleteFunc(e.queue, func(q *run) bool { return q == x })
		x.notify()
	}
	fault.WriteJSON(w, http.StatusOK, struct {
		Started bool `json:"started"`
	}{started})
}

// stream sends a run from an offset until the run is done or the reader leaves.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, x *run, offset int, crossed float64) {
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	base := stream.Frame{Request: x.spec.Request, Attempt: x.spec.Attempt}
	first := base
	first.Kind, first.Version, first.Scope = stream.KindStart, x.spec.Version, x.spec.Scope
	_ = out.Encode(first)
	_ = flush.Flush()
	if fault.Occurs(crossed) {
		_ = out.Encode(stream.Frame{Kind: stream.KindPiece, Request: "another", Attempt: 1, Text: "crossed"})
	}
	cut := fault.Occurs(e.Fault.State().Cut)
	for {
		e.mu.Lock()
		x.usedAt = time.Now()
		text, done, failed, usage, changed := x.text, x.done, x.failed, x.usage, x.changed
		e.mu.Unlock()
		begin := len(x.spec.Generated)
		if offset < begin+len(text) {
			piece := base
			piece.Kind, piece.Offset, piece.Text = stream.KindPiece, offset, text[offset-begin:]
			if out.Encode(piece) != nil || flush.Flush() != nil {
				return
			}
			offset = begin + len(text)
			if cut && len(text) > 64 {
				panic(http.ErrAbortHandler)
			}
			continue
		}
		if done {
			end := base
			end.Kind, end.Total, end.Finish, end.Usage = stream.KindEnd, offset, "length", usage
			if failed {
				end = base
				end.Kind, end.Error = stream.KindError, "cancelled"
			}
			_ = out.Encode(end)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
