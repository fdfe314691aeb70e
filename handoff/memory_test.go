package handoff_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/handoff"
	"github.com/thymewind/thymewind/heldbytes"
)

// TestMemory guards against requests of other boxes that fill this one's memory: a crowd of callers
// travels with what their boxes hand on. A request without memory is refused as one that did not run,
// the connection stays, and the memory is free again once a request was served.
func TestMemory(t *testing.T) {
	const limit = 32 << 20
	tests := []struct {
		name string
		// held is what others hold, body the length of the request's body.
		held, body int
		want       bool
	}{
		{"nothing held", 0, 1 << 20, true},
		{"small, while much is held", limit * 8 / 10, 100, true},
		{"large, while much is held", limit * 8 / 10, 1 << 20, false},
		{"everything held", limit, 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ledger := &heldbytes.Ledger{Limit: limit}
			others := ledger.Open()
			server := node("secret", func(_ context.Context, w http.ResponseWriter, r *handoff.Request, _ *handoff.Attempts) error {
				if ledger.Held() < others.Held()+int64(len(r.Body)) {
					t.Errorf("%d bytes are counted while a body of %d is served", ledger.Held(), len(r.Body))
				}
				_, err := io.WriteString(w, "served")
				return err
			})
			server.Held = ledger
			at, n := listen(t, server.Handler()), node("secret", nil)
			ask := func() bool {
				r := request()
				r.Body = []byte(strings.Repeat("x", tt.body))
				answer, err := n.Do(t.Context(), at, r)
				if err != nil {
					t.Fatal(err)
				}
				defer answer.Close()
				if answer.Refused != nil && (!answer.Refused.DidNotRun || !answer.Refused.TryAnother) {
					t.Errorf("refused with %+v", answer.Refused)
				}
				return answer.Refused == nil
			}
			others.Set(int64(tt.held))
			if got := ask(); got != tt.want {
				t.Errorf("served is %v, want %v", got, tt.want)
			}
			others.Close()
			if !ask() {
				t.Error("refused although the memory is free")
			}
			for began := time.Now(); ledger.Held() != 0; <-time.After(time.Millisecond) {
				if time.Since(began) > waitLimit {
					t.Fatalf("%d bytes stay counted", ledger.Held())
				}
			}
		})
	}
}
