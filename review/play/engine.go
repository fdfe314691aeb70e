//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/platform/headers"
)

// engine is a stand-in for one model replica with a cache of prompt parts. It follows the pages on
// replicas and on the KV cache: parts are kept under Cache-Salt, and a part is found only with all
// parts before it. It knows of each part who made it.
type engine struct {
	w       *world
	id      string
	service string
	model   string
	address netip.AddrPort
	server  *http.Server

	mu      sync.Mutex
	version int64
	orders  uint64
	// cached are the parts by salt and ID.
	cached map[[2]string]part
	events []event
	runs   []run
}

// cachePath begins the paths by which boxes read what is cached.
const cachePath = "/v1/kv-"

// part is one cached part of a prompt.
type part struct {
	tokens int
	// tenant and request made it.
	tenant, request string
}

// event is one cache event.
type event struct {
	salt, id string
	tokens   int
}

// run is one request that an engine ran.
type run struct {
	at              time.Time
	request, tenant string
	// reused are the cached parts that it used.
	reused map[string]part
}

// startEngine starts an engine and writes its entry.
func (w *world) startEngine(id, service, model string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, service: service, model: model, version: 1, address: netip.MustParseAddrPort(l.Addr().String()), cached: make(map[[2]string]part)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set(headers.InstanceID, e.id) })
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("GET "+cachePath+"events", e.kvEvents)
	mux.HandleFunc("GET "+cachePath+"list", e.kvList)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	w.store.Put("servers", id, map[string]any{
		"service": service, "address": e.address.String(), "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "seq_no": 0,
		"cold_remaining_ms": 0, "stage": "both", "models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}},
	})
	w.log("engine %s at %v", id, e.address)
	return e, nil
}

func (e *engine) report(rw http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(rw, map[string]any{
		"stage": "both", "models": []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}, "busy": false,
		"seq_no": e.orders, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0, "clock_ms": e.clock(),
	})
}

func (e *engine) clock() int64 { return boottime.Since(e.w.began).Milliseconds() + 1000 }

func (e *engine) kvEvents(rw http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since")) // Zero reads all.
	hold, _ := strconv.Atoi(r.Header.Get(headers.WaitMS))
	for end := boottime.Now().Add(time.Duration(hold) * time.Millisecond); boottime.Now().Before(end) && e.eventCount() <= since && r.Context().Err() == nil; {
		time.Sleep(10 * time.Millisecond)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	list := [][]any{}
	for i := since; i < len(e.events); i++ {
		x := e.events[i]
		list = append(list, []any{i + 1, "+", x.salt, x.id, x.tokens, e.model})
	}
	writeJSON(rw, map[string]any{"epoch": 7, "next_token": len(e.events), "lost": false, "events": list, "clock_ms": e.clock()})
}

func (e *engine) eventCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.events)
}

func (e *engine) kvList(rw http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := [][]any{}
	for key, x := range e.cached {
		held = append(held, []any{key[0], key[1], x.tokens, e.model})
	}
	writeJSON(rw, map[string]any{"epoch": 7, "next_token": len(e.events), "held": held, "clock_ms": e.clock()})
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value) // A caller that left needs no answer.
}

// serve runs a request: it uses the leading parts that it has under the salt, makes the others and
// streams a few events.
func (e *engine) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	id := r.Header.Get(headers.RequestID)
	h.Set(headers.InstanceID, e.id)
	h.Set(headers.RequestID, id)
	h.Set(headers.WeightVersion, "1")
	if want := r.Header.Get(headers.ExpectInstance); want != "" && want != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := r.Header.Get(headers.ExpectVersion); want != "" && want != "1" {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.runPrompt(r)
	h.Set(headers.Seal, e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	for i := 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = http.NewResponseController(rw).Flush()
	}
}

func (e *engine) runPrompt(r *http.Request) {
	salt, tenant, id := r.Header.Get(headers.CacheSalt), r.Header.Get(headers.Tenant), r.Header.Get(headers.RequestID)
	x := run{at: boottime.Now(), request: id, tenant: tenant, reused: make(map[string]part)}
	e.mu.Lock()
	defer e.mu.Unlock()
	leading := true
	for field := range strings.SplitSeq(r.Header.Get(headers.PromptParts), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), ":")
		tokens, _ := strconv.Atoi(text)
		key := [2]string{salt, name}
		if found, ok := e.cached[key]; ok && leading {
			x.reused[name] = found
			continue
		}
		leading = false
		e.cached[key] = part{tokens, tenant, id}
		e.events = append(e.events, event{salt, name, tokens})
	}
	e.runs = append(e.runs, x)
	e.w.log("engine %s runs %s for tenant %q, Cache-Salt %q, parts %q; it uses the cached parts %v", e.id, id, tenant, salt, r.Header.Get(headers.PromptParts), x.reused)
}

// allRuns returns what the engine ran.
func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}
