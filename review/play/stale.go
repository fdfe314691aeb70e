//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/thymewind/thymewind/platform/headers"
	"github.com/thymewind/thymewind/platform/standin"
)

// stale checks that no request begins on memory that was made under other weights than those of its
// engine. The disruption is the naming of new weights, nine times at most, while the engines' memory is
// nearly taken up.
func stale(w *world) ([]string, error) {
	const (
		engines  = 9
		sessions = 52
		length   = 100 * time.Second
	)
	w.settings = strings.NewReplacer("retry_extra: 52", "retry_extra: 58", "weights_within: 12000ms", "weights_within: 10000ms", "  revoked_within: 5000ms\n", "")
	p := &pool{w: w}
	for i := range engines {
		if err := p.add(fmt.Sprintf("i-%d", i+1)); err != nil {
			return nil, err
		}
	}
	w.store.Configure(1,
		[]map[string]any{{
			"name": "redactor", "health_path": "/health", "max_connections": 370,
			"engine": map[string]any{"slots": 64, "kv_capacity": kvCapacity, "kv_token_bytes": 18432, "link_mbps": 370000.0, "max_inflight": 12, "managed": true, "models": []map[string]any{{"name": model}}},
		}},
		[]map[string]any{promptRoute("draft", 20*time.Second, 2), promptRoute("check", 3*time.Second, 0)},
		[]map[string]any{{"name": "shipper", "api_keys": []string{"key-shipper"}}})
	if err := w.startBoxes(2); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var work sync.WaitGroup
	for i := range sessions {
		work.Go(func() { p.session(ctx, i) })
	}
	work.Go(func() { p.checks(ctx, &work) })
	if w.trouble {
		work.Go(func() { p.nameWeights(ctx) })
	}
	work.Go(func() { p.endOnBreach(ctx, cancel) })
	work.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.log("answers by status: %v; requests put back: %d, read anew under newer weights: %d; parts fetched: %d", p.statuses, p.putBack, p.rereadNewer, p.fetched)
	if p.statuses[http.StatusOK] < 200 {
		return nil, fmt.Errorf("only %d requests were served", p.statuses[http.StatusOK])
	}
	return p.breaches, nil
}

// promptRoute is a route of prompts with the goals of the sheet.
func promptRoute(name string, timeout time.Duration, priority int) map[string]any {
	r := standin.Route(name, "streaming", "redactor", timeout)
	r["target_latency_ms"], r["gap_aim_ms"], r["priority"], r["max_attempts"], r["sticky"] = 1200, 600, priority, 1, true
	return r
}

// model is the name of the model that the engines run.
const model = "m0"

// The parts of the prompts: one that all share, one for each subject, and one of the request's own.
const (
	commonPart  = 512
	subjectPart = 3000
	subjects    = 15
)

func promptParts(subject, own, tokens int) string {
	return fmt.Sprintf("aa01:%d,%x:%d,%x:%d", commonPart, 0x5e550000+subject, subjectPart, own, tokens)
}

// nameWeights names new weights nine times at most.
func (p *pool) nameWeights(ctx context.Context) {
	for version := 2; version <= 10; version++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(10 * time.Second):
		}
		p.w.store.Put("op", "version/"+model, map[string]any{"model": model, "version": version})
		p.w.log("the store confirms that version %d of %s is named", version, model)
	}
}

// endOnBreach ends the case soon after the rule was broken.
func (p *pool) endOnBreach(ctx context.Context, end func()) {
	for ctx.Err() == nil {
		pause(ctx, time.Second)
		p.mu.Lock()
		broken := len(p.breaches) > 0
		p.mu.Unlock()
		if broken {
			end()
		}
	}
}

// session sends the requests of one session, one after another: long prompts of the lowest urgency
// that share the session's part.
func (p *pool) session(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(uint64(i), 7))
	for turn := 0; ctx.Err() == nil; turn++ {
		subject := random.IntN(subjects)
		own, out := 5000+random.IntN(2500), 250+random.IntN(150)
		p.ask(ctx, random.IntN(2), fmt.Sprintf("d%d-%d", i, turn), "/draft/1", promptParts(subject, 0x0d000000+i<<12+turn, own), commonPart+subjectPart+own, out, 20*time.Second)
		pause(ctx, time.Duration(50+random.IntN(150))*time.Millisecond)
	}
}

// checks sends short urgent requests at a steady rate.
func (p *pool) checks(ctx context.Context, work *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(99, 7))
	for n := 0; ctx.Err() == nil; n++ {
		box, subject, own, out := random.IntN(2), random.IntN(subjects), 200+random.IntN(400), 8+random.IntN(16)
		work.Go(func() {
			p.ask(ctx, box, fmt.Sprintf("c%d", n), "/check/1", promptParts(subject, 0x0c000000+n, own), commonPart+subjectPart+own, out, 3*time.Second)
		})
		pause(ctx, 9*time.Millisecond)
	}
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// ask sends one request and counts its answer. A refused one does as it is told and comes back later,
// as the next of its session.
func (p *pool) ask(ctx context.Context, at int, id, path, parts string, in, out int, deadline time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.w.boxes[at].front.String()+path, strings.NewReader("{}"))
	if err != nil {
		return
	}
	call.Host = "shop.example"
	for name, value := range map[string]string{
		headers.RequestID: id, headers.DeadlineMS: fmt.Sprint(deadline.Milliseconds()), headers.APIKey: "key-shipper", headers.Model: model,
		headers.TokenUsage: fmt.Sprintf("%d,%d", in, out), headers.PromptParts: parts,
	} {
		call.Header.Set(name, value)
	}
	a := do(call)
	if ctx.Err() == nil || a.status != 0 {
		p.mu.Lock()
		p.statuses[a.status]++
		p.mu.Unlock()
	}
	if a.status == http.StatusServiceUnavailable {
		pause(ctx, 300*time.Millisecond)
	}
}
