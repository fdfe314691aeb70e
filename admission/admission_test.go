package admission_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/admission"
	"github.com/thymewind/thymewind/internal/proof"
)

func ask(account string) admission.Request {
	return admission.Request{
		Account: account, Pool: "menu", Weight: 1, WeightOf: func(string) int { return 1 }, Capacity: 20, Now: time.Unix(1000, 0),
	}
}

// smallGetsIn says that however many requests a large account sends, an account
// that has none under way is admitted.
func smallGetsIn(share float64) gopter.Prop {
	return prop.ForAll(func(flood, others int) bool {
		var g admission.Gate
		for i := range others {
			g.Admit(ask(string(rune('b' + i))))
		}
		for range flood {
			a := ask("large")
			a.Load = share * float64(g.InFlight("menu"))
			g.Admit(a)
		}
		a := ask("small")
		a.Load = share * float64(g.InFlight("menu"))
		return g.Admit(a).OK
	}, gen.IntRange(0, 200), gen.IntRange(0, 3))
}

func TestSmallAccountGetsIn(t *testing.T) { proof.Holds(t, smallGetsIn(1)) }

func TestSmallAccountGetsInNeedsTheShares(t *testing.T) {
	// With the load never seen, no account is ever held to its share.
	proof.Breaks(t, smallGetsIn(0))
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name   string
		before int
		change func(*admission.Request)
		ok     bool
	}{
		{"free", 0, func(*admission.Request) {}, true},
		{"concurrency reached", 2, func(a *admission.Request) { a.Concurrency = 2 }, false},
		{"concurrency not reached", 1, func(a *admission.Request) { a.Concurrency = 2 }, true},
		{"pool full", 20, func(*admission.Request) {}, false},
		{"crowded, over the share", 11, func(a *admission.Request) { a.Load = 15 }, false},
		{"crowded, within the share", 5, func(a *admission.Request) { a.Load = 15 }, true},
		{"not crowded, over the share", 11, func(a *admission.Request) { a.Load = 11 }, true},
		{"tokens used up", 1, func(a *admission.Request) { a.TokensPerMinute, a.Tokens = 100, 60 }, false},
		{"a request larger than a minute's tokens", 0, func(a *admission.Request) { a.TokensPerMinute, a.Tokens = 100, 500 }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g admission.Gate
			a := ask("a")
			tt.change(&a)
			for range tt.before {
				free := a
				free.Load, free.Concurrency = 0, 0
				g.Admit(free)
			}
			got := g.Admit(a)
			if got.OK != tt.ok {
				t.Errorf("Admit = %+v, want %v", got, tt.ok)
			}
			if !got.OK && got.After <= 0 {
				t.Error("a refusal without a time to come back")
			}
		})
	}
}
