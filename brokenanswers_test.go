package thymewind

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/internal/standin/broken"
	"github.com/thymewind/thymewind/refusal"
)

const (
	// brokenUpload is the length of an upload in bytes that is still being sent when an early answer
	// comes: more than the kernel holds for both sides.
	brokenUpload = 12 << 20
	// brokenRounds is how often each request is sent: which of a read and a write learns of a reset varies.
	brokenRounds = 6
)

// TestBrokenAnswers has targets send answers that break off or break the protocol. It guards against
// such an answer reaching a caller as a whole one, and against an attempt that never ends.
func TestBrokenAnswers(t *testing.T) {
	f := newFleet(t, 2, func(d *Daemon) { d.front.MaxBodyBytes = 2 * brokenUpload })
	requests := []struct {
		name, path string
		// body is sent unless the answer is early.
		body   string
		header http.Header
	}{
		{"order", "/services/orders/x", "x", nil},
		{"order that may run once", "/services/orders/x", "x", http.Header{"Thymewind-Not-Repeatable": {"true"}}},
		{"prompt", "/v1/chat/completions", `{"model":"menu-assistant","messages":[{"role":"user","content":"%s"}]}`, nil},
		{"streamed prompt", "/v1/chat/completions", `{"model":"menu-assistant","stream":true,"messages":[{"role":"user","content":"%s"}]}`, nil},
	}
	for _, a := range broken.Answers {
		for _, tt := range requests {
			t.Run(a.Name+", "+tt.name, func(t *testing.T) {
				body := tt.body
				if a.Early && strings.HasPrefix(tt.path, "/services/") {
					body = strings.Repeat("x", brokenUpload)
				}
				for round := range brokenRounds {
					f.awaitTargets(t, round%2)
					f.setBroken(&a)
					header := tt.header.Clone()
					if header != nil {
						header.Set("Idempotency-Key", fmt.Sprint(a.Name, round))
					}
					prompt := fmt.Sprint(a.Name, tt.name, round) // One that fails often is not placed any more.
					r := f.post(round%2, "menu key", tt.path, strings.Replace(body, "%s", prompt, 1), header)
					f.setBroken(nil)
					outcome := r.header.Get("Thymewind-Outcome")
					cut := r.err != nil && r.status == http.StatusOK
					refused := r.err == nil && r.status == http.StatusBadGateway && outcome == refusal.Unknown
					if !cut && !refused {
						t.Errorf("got %d with body %q, outcome %q, %v", r.status, r.body, outcome, r.err)
					}
				}
			})
		}
	}
	for i := range f.daemons {
		f.awaitTargets(t, i)
		if r := f.post(i, "menu key", "/services/orders/x", "whole", nil); r.err != nil || r.status != http.StatusOK || !strings.HasSuffix(r.body, "whole") {
			t.Errorf("after them: %+v", r)
		}
	}
}

// setBroken has all targets send a broken answer to requests, or whole ones if it is nil.
func (f *fleet) setBroken(answer *broken.Answer) {
	for _, x := range f.limited {
		x.mu.Lock()
		x.broken = answer
		x.mu.Unlock()
	}
}

// endLimit bounds the wait for requests to end; a passing run never reaches it.
const endLimit = 2 * time.Second

// awaitTargets waits until no request runs at a daemon's targets, and takes them back into use at once.
func (f *fleet) awaitTargets(t *testing.T, daemon int) {
	t.Helper()
	for end := time.Now().Add(endLimit); ; {
		running := 0
		f.daemons[daemon].d.inspect(t.Context(), func(_ time.Time, t *tables) {
			for _, x := range t.Targets.All() {
				running += x.InFlight
				x.Failures, x.AvoidUntil = 0, time.Time{}
			}
		})
		if running == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d requests have not ended", running)
		}
		_ = wait(t.Context(), 10*time.Millisecond)
	}
}
