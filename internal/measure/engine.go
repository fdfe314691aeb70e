package measure

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/stream"
)

// engine simulates a model engine with slots, one prefill at a time and a prefix cache.
type engine struct {
	*simulation
	name    string
	address netip.AddrPort
	domain  string
	running int
	// queued is the number of prompt tokens of runs whose prefill has not ended.
	queued  int
	waiting []*request
	cache   *simplelru.LRU[prefix.Key, struct{}]
	// prefills are the runs waiting for their prefill, which run one at a time.
	prefills  []*request
	computing bool
	// speed scales prefill and decode; 1 is normal.
	speed  float64
	dead   bool
	deadAt time.Time
	// leaving refuses new runs.
	leaving bool
	active  map[*request]bool
}

func newEngine(sim *simulation, i int) *engine {
	// Only a size that is not positive is an error.
	cache, _ := simplelru.NewLRU[prefix.Key, struct{}](enginePieces, nil)
	return &engine{
		simulation: sim, name: fmt.Sprintf("engine-%d", i), address: addressOf(1, i),
		domain: fmt.Sprintf("zone-%d", i%sim.Deployment.Domains), cache: cache, speed: 1, active: make(map[*request]bool),
	}
}

// submit queues a run, or refuses it if the engine is leaving or its queue is full.
func (e *engine) submit(r *request) bool {
	if e.leaving || len(e.waiting) >= 8*slots {
		return false
	}
	e.active[r] = true
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *request) int { return a.placed.Priority - b.placed.Priority })
	r.queued = r.tokens()
	e.queued += r.queued
	e.admit()
	return true
}

func (e *engine) admit() {
	for e.running < slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		e.begin(r)
	}
}

// begin starts a run: it looks up the prefix cache and fetches what is to be imported.
func (e *engine) begin(r *request) {
	reused := 0
	for reused < len(r.placed.Keys) && e.cache.Contains(r.placed.Keys[reused]) {
		e.cache.Get(r.placed.Keys[reused])
		reused++
	}
	ready, imported := e.now, 0
	if r.placed.Import != nil && len(r.placed.Import.Run) > reused {
		ready, imported = r.store.fetch(r.placed.Import.Run[reused:])
	}
	tokens := r.tokens() - (reused+imported)*pieceTokens
	e.queued += tokens - r.queued
	r.queued = tokens
	r.usage = stream.Usage{
		Prompt: r.tokens(), Reused: reused * pieceTokens, Imported: imported * pieceTokens, Completion: r.answer,
		ImportMillis: millis(ready.Sub(e.now)),
	}
	// Prefills of other runs continue while this one's cache is fetched.
	e.after(ready.Sub(e.now), func() { e.compute(r, tokens) })
}

// compute queues the prefill of a run's remaining tokens, by priority.
func (e *engine) compute(r *request, tokens int) {
	if !e.active[r] {
		return
	}
	took := seconds(float64(tokens) / (prefillRate * e.speed))
	r.usage.PrefillMillis = millis(took)
	e.prefills = append(e.prefills, r)
	slices.SortStableFunc(e.prefills, func(a, b *request) int { return a.placed.Priority - b.placed.Priority })
	e.prefill()
}

// prefill starts the first waiting prefill, unless one is running.
func (e *engine) prefill() {
	if e.computing || len(e.prefills) == 0 {
		return
	}
	r := e.prefills[0]
	e.prefills = e.prefills[1:]
	e.computing = true
	e.after(seconds(r.usage.PrefillMillis/1000), func() {
		e.computing = false
		e.prefillDone(r)
		e.prefill()
	})
}

// prefillDone caches a run's prompt, records its first token and starts decoding.
func (e *engine) prefillDone(r *request) {
	if !e.active[r] {
		return
	}
	for _, key := range r.placed.Keys {
		e.cache.Add(key, struct{}{})
	}
	r.firstTokenAt = e.now
	e.queued -= r.queued
	decode := time.Duration(float64(r.answer) * float64(tokenTime) / e.speed)
	e.after(decode, func() {
		if !e.active[r] {
			return
		}
		delete(e.active, r)
		e.running--
		e.admit()
		e.traffic.completed(r)
	})
}

// fail stops the engine for good; its runs fail.
func (e *engine) fail() {
	e.dead, e.deadAt = true, e.now
	e.running, e.waiting, e.prefills, e.queued = 0, nil, nil, 0
	failed := e.active
	e.active = make(map[*request]bool)
	for _, r := range sorted(failed) {
		e.traffic.runFailed(r)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
