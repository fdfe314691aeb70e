package dispatch_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/dispatch"
	"github.com/thymewind/thymewind/route"
)

// TestRefusedRequestsUseNoTokens has an account ask while no target has the weights. The
// requests that were not placed use none of its tokens per minute.
func TestRefusedRequestsUseNoTokens(t *testing.T) {
	b := newScheduler(1, 1, dispatch.Usage{})
	b.Configuration.Accounts = map[string]account.Account{"a": {Name: "a", Weight: 1, TokensPerMinute: 1000}}
	x, _ := b.Targets.Lookup("a")
	now := time.Unix(1000, 0)
	request := route.PlacementRequest{Request: "r", Account: "a", Model: "m", Attempt: 1, Tokens: 300}
	x.Version = "another"
	for range 10 {
		if _, err := b.Place(now, request); err == nil {
			t.Fatal("placed without a target")
		}
	}
	x.Version = "v"
	placed := 0
	for range 10 {
		if _, err := b.Place(now, request); err == nil {
			placed++
		}
	}
	if placed != 3 {
		t.Errorf("%d requests of 300 tokens were placed, want 3 within 1000 tokens a minute", placed)
	}
}
