package admission_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/admission"
	"github.com/thymewind/thymewind/internal/proptest"
)

func request(account string) admission.Request {
	return admission.Request{
		Account: account, Pool: "menu", Weight: 1, WeightOf: func(string) int { return 1 }, Capacity: 20, Now: time.Unix(1000, 0),
	}
}

// smallGetsIn is the property that however many requests a large account sends, an
// account with none in flight is admitted.
func smallGetsIn(share float64) gopter.Prop {
	return prop.ForAll(func(flood, others int) bool {
		var g admission.Gate
		for i := range others {
			g.Admit(request(string(rune('b' + i))))
		}
		for range flood {
			r := request("large")
			r.Load = share * float64(g.InFlight("menu"))
			g.Admit(r)
		}
		r := request("small")
		r.Load = share * float64(g.InFlight("menu"))
		return g.Admit(r).OK
	}, gen.IntRange(0, 200), gen.IntRange(0, 3))
}

func TestSmallAccountGetsIn(t *testing.T) { proptest.Holds(t, smallGetsIn(1)) }

func TestSmallAccountGetsInNeedsTheShares(t *testing.T) {
	// Control: with a load of zero, no account is limited to its share.
	proptest.Violated(t, smallGetsIn(0))
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name   string
		before int
		change func(*admission.Request)
		ok     bool
	}{
		{"free", 0, func(*admission.Request) {}, true},
		{"concurrency reached", 2, func(r *admission.Request) { r.Concurrency = 2 }, false},
		{"concurrency not reached", 1, func(r *admission.Request) { r.Concurrency = 2 }, true},
		{"pool full", 20, func(*admission.Request) {}, false},
		{"busy, over the share", 11, func(r *admission.Request) { r.Load = 15 }, false},
		{"busy, within the share", 5, func(r *admission.Request) { r.Load = 15 }, true},
		{"not busy, over the share", 11, func(r *admission.Request) { r.Load = 11 }, true},
		{"tokens used up", 1, func(r *admission.Request) { r.TokensPerMinute, r.Tokens = 100, 60 }, false},
		{"a request larger than a minute's tokens", 0, func(r *admission.Request) { r.TokensPerMinute, r.Tokens = 100, 500 }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g admission.Gate
			r := request("a")
			tt.change(&r)
			for range tt.before {
				free := r
				free.Load, free.Concurrency = 0, 0
				g.Admit(free)
			}
			got := g.Admit(r)
			if got.OK != tt.ok {
				t.Errorf("Admit = %+v, want %v", got, tt.ok)
			}
			if !got.OK && got.After <= 0 {
				t.Error("a refusal without a time to retry")
			}
		})
	}
}
