//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/platform/headers"
)

// Figures of the engines, as on the sheet of agnn-norte.
const (
	kvCapacity = 70457
	// prefillPerMS is how many prompt tokens an engine reads in a ms, in pieces of prefillPiece.
	prefillPerMS = 48
	prefillPiece = 2048
	tokenTime    = 25 * time.Millisecond
	loadTime     = 900 * time.Millisecond
	firstTime    = 14 * time.Millisecond
)

// pool is a service of engines with memory. It follows the pages: running requests and cached parts
// share an engine's memory, unused parts give way, and when memory runs out the engine puts back the
// newest of the least urgent requests and reads it anew. An order of mode keep drops what the engine
// kept and lets runs go on.
type pool struct {
	w *world

	mu                            sync.Mutex
	engines                       map[string]*memEngine
	statuses                      map[int]int
	breaches                      []string
	putBack, rereadNewer, fetched int
}

// memEngine is one engine of a pool; the pool's lock guards it.
type memEngine struct {
	p       *pool
	id      string
	address string
	version int64
	loading bool
	orders  uint64
	parts   map[[2]string]*memPart
	runs    []*memRun
	events  [][]any
	changed chan struct{}
	// reading is held while a piece of a prompt is read.
	reading sync.Mutex
}

// memPart is a part in an engine's memory.
type memPart struct {
	tokens int
	// made is the version of the weights that made it.
	made int64
	// users counts the runs that use it.
	users int
	used  time.Time
}

// memRun is one request at an engine.
type memRun struct {
	id, salt string
	priority int
	names    []string
	tokens   []int
	fetch    []string
	until    int64
	out      int
	// own counts the tokens that it takes besides its parts; held are the parts that it uses.
	own  int
	held []*memPart
	// back says that it was put back for want of memory, begun that its first token was made.
	back, begun bool
}

func (p *pool) add(id string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &memEngine{p: p, id: id, address: netip.MustParseAddrPort(l.Addr().String()).String(), version: 1, parts: make(map[[2]string]*memPart), changed: make(chan struct{})}
	p.mu.Lock()
	if p.engines == nil {
		p.engines, p.statuses = make(map[string]*memEngine), make(map[int]int)
	}
	p.engines[e.address] = e
	p.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set(headers.InstanceID, e.id) })
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("GET "+cachePath+"events", e.kvEvents)
	mux.HandleFunc("GET "+cachePath+"list", e.kvList)
	mux.HandleFunc("POST /v1/order", e.order)
	mux.HandleFunc("/", e.serve)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	e.writeEntry()
	return nil
}

func (e *memEngine) writeEntry() {
	e.p.mu.Lock()
	version, orders := e.version, e.orders
	e.p.mu.Unlock()
	e.p.w.store.Put("servers", e.id, map[string]any{
		"service": "redactor", "address": e.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready", "seq_no": orders,
		"cold_remaining_ms": 0, "stage": "both", "models": []map[string]any{{"name": model, "version": version, "adapters": []string{}}},
	})
}

func (p *pool) clock() int64 { return boottime.Since(p.w.began).Milliseconds() + 1000 }

func (e *memEngine) report(rw http.ResponseWriter, _ *http.Request) {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	writeJSON(rw, map[string]any{
		"stage": "both", "models": []map[string]any{{"name": model, "version": e.version, "adapters": []string{}}}, "busy": e.loading,
		"seq_no": e.orders, "queued": 0, "running": len(e.runs), "kv_used": e.used(), "kv_total": kvCapacity, "handles": 0, "clock_ms": e.p.clock(),
	})
}

func (e *memEngine) kvEvents(rw http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since")) // Zero reads all.
	hold, _ := strconv.Atoi(r.Header.Get(headers.WaitMS))
	end := time.After(time.Duration(hold) * time.Millisecond)
	for {
		e.p.mu.Lock()
		changed := e.changed
		if len(e.events) > since {
			break
		}
		e.p.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-end:
		case <-r.Context().Done():
		}
		e.p.mu.Lock()
		break
	}
	list := e.events[min(since, len(e.events)):]
	writeJSON(rw, map[string]any{"epoch": 7, "next_token": len(e.events), "lost": false, "events": append([][]any{}, list...), "clock_ms": e.p.clock()})
	e.p.mu.Unlock()
}

func (e *memEngine) kvList(rw http.ResponseWriter, _ *http.Request) {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	held := [][]any{}
	for key, x := range e.parts {
		held = append(held, []any{key[0], key[1], x.tokens, model})
	}
	writeJSON(rw, map[string]any{"epoch": 7, "next_token": len(e.events), "held": held, "clock_ms": e.p.clock()})
}

// tell adds a cache event.
func (e *memEngine) tell(sign string, key [2]string, tokens int) {
	e.events = append(e.events, []any{len(e.events) + 1, sign, key[0], key[1], tokens, model})
	close(e.changed)
	e.changed = make(chan struct{})
}

// order takes an order to load weights.
func (e *memEngine) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Mode, Holder string
		Version          int64
		Expected         *uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "version" || o.Mode != "keep" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get(headers.ExpectInstance); want != "" && want != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	switch {
	case e.version >= o.Version:
		rw.WriteHeader(http.StatusOK)
		return
	case e.loading || o.Expected != nil && *o.Expected != e.orders:
		rw.WriteHeader(http.StatusConflict)
		return
	}
	e.orders++
	e.loading = true
	e.p.w.log("engine %s takes the order of %s to load version %d", e.id, o.Holder, o.Version)
	time.AfterFunc(loadTime, func() { e.loaded(o.Version) })
	rw.WriteHeader(http.StatusAccepted)
}

// loaded changes the weights. Runs go on, what the engine kept is dropped.
func (e *memEngine) loaded(version int64) {
	e.p.mu.Lock()
	e.version, e.loading = version, false
	for key, x := range e.parts {
		if x.users == 0 {
			e.drop(key)
		}
	}
	e.p.w.log("engine %s has version %d; %d runs go on", e.id, version, len(e.runs))
	e.p.mu.Unlock()
	e.writeEntry()
}

func (e *memEngine) drop(key [2]string) {
	e.tell("-", key, e.parts[key].tokens)
	delete(e.parts, key)
}

// used is the memory that can't give way.
func (e *memEngine) used() int {
	sum := 0
	for _, x := range e.parts {
		if x.users > 0 {
			sum += x.tokens
		}
	}
	for _, r := range e.runs {
		sum += r.own
	}
	return sum
}

func (e *memEngine) kept() int {
	sum := 0
	for _, x := range e.parts {
		if x.users == 0 {
			sum += x.tokens
		}
	}
	return sum
}

// take takes memory for a run. Unused parts give way first, the longest unused ones at first; then the
// newest of the least urgent runs is put back. It reports whether the run got it.
func (e *memEngine) take(r *memRun, tokens int) bool {
	for e.used()+tokens > kvCapacity {
		victim := r
		for _, x := range e.runs { // In order of their begin.
			if x.own > 0 && x.priority >= victim.priority {
				victim = x
			}
		}
		if victim.priority <= r.priority && victim != r && !r.begun {
			return false // It waits for a run of its own urgency to end.
		}
		e.putBack(victim)
		if victim == r {
			return false
		}
	}
	for e.used()+e.kept()+tokens > kvCapacity {
		var oldest [2]string
		at := boottime.Now()
		for key, x := range e.parts {
			if x.users == 0 && x.used.Before(at) {
				oldest, at = key, x.used
			}
		}
		e.drop(oldest)
	}
	return true
}

// putBack takes a run's memory away.
func (e *memEngine) putBack(r *memRun) {
	if r.begun {
		e.p.putBack++
	}
	r.back = true
	e.release(r)
}

// release frees a run's memory; the parts stay as long as there is room.
func (e *memEngine) release(r *memRun) {
	for _, x := range r.held {
		x.users--
		x.used = boottime.Now()
	}
	r.own, r.held = 0, nil
}

func (e *memEngine) serve(rw http.ResponseWriter, request *http.Request) {
	h := rw.Header()
	r := newMemRun(request)
	h.Set(headers.InstanceID, e.id)
	h.Set(headers.RequestID, r.id)
	if want := request.Header.Get(headers.ExpectInstance); want != "" && want != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.p.mu.Lock()
	h.Set(headers.WeightVersion, fmt.Sprint(e.version))
	status := http.StatusOK
	switch want := request.Header.Get(headers.ExpectVersion); {
	case e.loading:
		status = http.StatusServiceUnavailable
	case want != "" && want != fmt.Sprint(e.version):
		status = http.StatusMisdirectedRequest
	}
	if status == http.StatusOK {
		e.runs = append(e.runs, r)
	}
	e.p.mu.Unlock()
	if status != http.StatusOK {
		h.Set(headers.NotExecuted, "1")
		rw.WriteHeader(status)
		return
	}
	defer e.end(r)
	began := e.version
	if !e.read(r, request, began) {
		h.Set(headers.NotExecuted, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set(headers.Seal, e.id+"."+r.id)
	h.Set("Content-Type", "text/event-stream")
	e.stream(rw, request, r, began)
}

// stream sends the events. A run that was put back is read anew before it goes on.
func (e *memEngine) stream(rw http.ResponseWriter, request *http.Request, r *memRun, began int64) {
	last := began
	for i := 1; i <= r.out; i++ {
		for e.grow(r) {
			if !e.read(r, request, 0) {
				return
			}
		}
		e.p.mu.Lock()
		version := e.version
		e.p.mu.Unlock()
		if version != last {
			last = version
			_, _ = fmt.Fprintf(rw, "versions: %d\n", version)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, r.id, i); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(tokenTime):
		}
	}
}

// grow takes memory for one more token, and reports whether the run was put back.
func (e *memEngine) grow(r *memRun) bool {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	if r.back || !e.take(r, 1) {
		return true
	}
	r.own++
	return false
}

func (e *memEngine) end(r *memRun) {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	e.release(r)
	e.runs = slices.DeleteFunc(e.runs, func(x *memRun) bool { return x == r })
}

func newMemRun(request *http.Request) *memRun {
	r := &memRun{id: request.Header.Get(headers.RequestID), salt: request.Header.Get(headers.CacheSalt), priority: 5}
	if n, err := strconv.Atoi(request.Header.Get(headers.Priority)); err == nil {
		r.priority = n
	}
	for field := range strings.SplitSeq(request.Header.Get(headers.PromptParts), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), ":")
		tokens, _ := strconv.Atoi(text)
		r.names, r.tokens = append(r.names, name), append(r.tokens, tokens)
	}
	_, text, _ := strings.Cut(request.Header.Get(headers.TokenUsage), ",")
	r.out, _ = strconv.Atoi(text)
	if list := request.Header.Get(headers.KvFetch); list != "" {
		r.fetch = strings.Split(list, ",")
	}
	r.until, _ = strconv.ParseInt(request.Header.Get(headers.KvUntil), 10, 64)
	return r
}

// read takes memory for a prompt and reads it, or fails if the request ends, or if it has not begun
// and an order concerns it. began is the version that it is to begin on, zero for one that is read anew.
func (e *memEngine) read(r *memRun, request *http.Request, began int64) bool {
	sum := 0
	for _, n := range r.tokens {
		sum += n
	}
	for {
		e.p.mu.Lock()
		if request.Context().Err() != nil || began != 0 && (e.loading || e.version != began) {
			e.p.mu.Unlock()
			return false
		}
		if e.take(r, sum) {
			break
		}
		e.p.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	r.back, r.own = false, sum // The prompt's room is taken at once; parts take it over one by one.
	e.p.mu.Unlock()
	if began != 0 {
		e.fetchParts(r)
	}
	for i := range r.names {
		if !e.readPart(r, i, request, began) {
			return false
		}
	}
	time.Sleep(firstTime)
	return e.begin(r, began)
}

// begin begins a run, and checks under which weights its memory was made.
func (e *memEngine) begin(r *memRun, began int64) bool {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	if began == 0 {
		return true
	}
	if e.loading || e.version != began {
		return false
	}
	r.begun = true
	for i, x := range r.held {
		if x.made != e.version {
			text := fmt.Sprintf("STALE: request %s began at %s on version %d with part %s, which was made under version %d (Cache-Salt %q)", r.id, e.id, e.version, r.names[i], x.made, r.salt)
			e.p.breaches = append(e.p.breaches, text)
			e.p.w.log("%s", text)
		}
	}
	return true
}

// fetchParts takes parts from other engines that have them under the same salt, with all parts before.
func (e *memEngine) fetchParts(r *memRun) {
	if r.until != 0 && e.p.clock() > r.until {
		return
	}
	for i := range r.names {
		e.p.mu.Lock()
		key := [2]string{r.salt, r.names[i]}
		from := (*memEngine)(nil)
		if i < len(r.fetch) {
			from = e.p.engines[r.fetch[i]]
		}
		own, found := e.parts[key], (*memPart)(nil)
		if from != nil {
			found = from.parts[key]
		}
		if own == nil && found != nil {
			e.parts[key] = &memPart{tokens: found.tokens, made: found.made, used: boottime.Now()}
			e.tell("+", key, found.tokens)
			e.p.fetched++
			if from.version != e.version {
				e.p.w.log("engine %s (version %d) fetches part %s under %q for %s from %s (version %d), made under version %d", e.id, e.version, r.names[i], r.salt, r.id, from.id, from.version, found.made)
			}
		}
		e.p.mu.Unlock()
		if own == nil && found == nil {
			return
		}
	}
}

// readPart reads one part of a prompt unless the engine has it.
func (e *memEngine) readPart(r *memRun, i int, request *http.Request, began int64) bool {
	key := [2]string{r.salt, r.names[i]}
	e.p.mu.Lock()
	x := e.parts[key]
	if x != nil {
		x.users++
		r.held = append(r.held, x)
		r.own -= r.tokens[i]
	}
	e.p.mu.Unlock()
	if x != nil {
		return true
	}
	for left := r.tokens[i]; left > 0; left -= prefillPiece {
		e.reading.Lock()
		time.Sleep(time.Duration(min(left, prefillPiece)) * time.Millisecond / prefillPerMS)
		e.reading.Unlock()
		e.p.mu.Lock()
		over := request.Context().Err() != nil || began != 0 && (e.loading || e.version != began)
		e.p.mu.Unlock()
		if over {
			return false
		}
	}
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	if r.back {
		return true // It was put back again; the caller reads it once more.
	}
	if x = e.parts[key]; x == nil {
		x = &memPart{tokens: r.tokens[i], made: e.version}
		e.parts[key] = x
		e.tell("+", key, x.tokens)
	}
	if began == 0 && !strings.HasSuffix(r.salt, fmt.Sprint("@", e.version)) {
		e.p.rereadNewer++
		e.p.w.log("engine %s reads part %s of %s anew under version %d and keeps it under %q", e.id, r.names[i], r.id, e.version, r.salt)
	}
	x.users++
	r.held = append(r.held, x)
	r.own -= r.tokens[i]
	return true
}
