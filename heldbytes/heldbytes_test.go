package heldbytes_test

import (
	"sync"
	"testing"

	"github.com/thymewind/thymewind/heldbytes"
)

// limit is a bound at which the sizes of bodies are easy to tell.
const limit = 32 << 20

const (
	small  = 10 << 10
	medium = 100 << 10
	large  = 1 << 20
)

// TestAdmit guards against small or urgent requests being refused while large or less urgent ones
// are still admitted.
func TestAdmit(t *testing.T) {
	tests := []struct {
		name string
		// held is the share of the limit held by others.
		held     float64
		bytes    int64
		priority int
		want     bool
	}{
		{"nothing held", 0, large, 2, true},
		{"nothing held, a body of nearly the limit", 0, limit - 1, 2, true},
		{"nothing held, a body over the limit", 0, limit + 1, 0, false},
		{"little held, a body of nearly the limit", 0.01, limit * 9 / 10, 0, false},
		{"large, last priority, too full", 0.34, large, 2, false},
		{"large, middle priority", 0.34, large, 1, true},
		{"large, first priority", 0.4, large, 0, true},
		{"large, first priority, too full", 0.44, large, 0, false},
		{"medium, last priority", 0.45, medium, 2, true},
		{"medium, last priority, too full", 0.5, medium, 2, false},
		{"medium, first priority", 0.59, medium, 0, true},
		{"small, last priority", 0.89, small, 2, true},
		{"small, last priority, too full", 0.9, small, 2, false},
		{"small, first priority", 0.99, small, 0, true},
		{"small, first priority, full", 1, small, 0, false},
		{"unknown priorities count as the last", 0.34, large, 9, false},
		{"negative priorities count as the first", 0.4, large, -1, true},
		{"no body", 1, 0, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := heldbytes.Ledger{Limit: limit}
			l.Open().Set(int64(tt.held * limit))
			if got := l.Open().Admit(tt.bytes, tt.priority); got != tt.want {
				t.Errorf("Admit = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestOrder guards against an order in which a more urgent or a smaller body is refused before
// another.
func TestOrder(t *testing.T) {
	l := heldbytes.Ledger{Limit: limit}
	last := int64(0)
	for _, bytes := range []int64{large, medium, small} {
		for _, priority := range []int{2, 1, 0} {
			bound := l.Bound(bytes, priority)
			if bound <= last {
				t.Errorf("%d bytes of priority %d are admitted up to %d, and the one before up to %d", bytes, priority, bound, last)
			}
			last = bound
		}
	}
	if last != limit {
		t.Errorf("the last are admitted up to %d, want the limit %d", last, limit)
	}
}

// TestGrowingBody guards against a body of unknown length passing for a small one because it is
// counted piece by piece.
func TestGrowingBody(t *testing.T) {
	l := heldbytes.Ledger{Limit: limit}
	l.Open().Set(limit * 65 / 100)
	a := l.Open()
	for a.Admit(small, 0) {
	}
	if got := a.Held(); got > limit/256 {
		t.Errorf("grew to %d bytes, want no more than a medium body, %d", got, limit/256)
	}
}

// TestRelease guards against bytes that stay counted after their connection has ended, or that are
// released twice.
func TestRelease(t *testing.T) {
	l := heldbytes.Ledger{Limit: limit}
	a, b := l.Open(), l.Open()
	if !a.Admit(large, 0) || !a.Hold(small) || !b.Hold(medium) {
		t.Fatal("refused with room")
	}
	b.Set(small)
	if got, want := l.Held(), int64(large+2*small); got != want || a.Held() != large+small {
		t.Errorf("held %d, want %d; %d by the first", got, want, a.Held())
	}
	if a.Hold(limit) || l.Held() != large+2*small {
		t.Errorf("what did not fit is counted: %d", l.Held())
	}
	a.Close()
	a.Close()
	b.Close()
	if got := l.Held(); got != 0 {
		t.Errorf("held %d after the end", got)
	}
}

// TestExceed guards against more than one answer exceeding the bound at a time, and against none
// being able to after the one that did has ended.
func TestExceed(t *testing.T) {
	l := heldbytes.Ledger{Limit: limit}
	l.Open().Set(limit)
	a, b := l.Open(), l.Open()
	if !a.Exceed(small) || !a.Exceed(small) || b.Exceed(small) || l.Held() != limit+2*small || a.Held() != 2*small {
		t.Errorf("held %d, %d by the first", l.Held(), a.Held())
	}
	b.Close()
	if b.Exceed(small) {
		t.Error("the second exceeds the bound while the first does")
	}
	a.Close()
	if !b.Exceed(small) || l.Held() != limit+small {
		t.Errorf("held %d after the first has ended", l.Held())
	}
}

// TestTurn guards against large bodies being refused for ever while others' load lasts, against more
// than one of them exceeding the bound at a time, and against less urgent refusals giving a more
// urgent body its turn, or the reverse.
func TestTurn(t *testing.T) {
	l := heldbytes.Ledger{Limit: limit}
	l.Open().Set(limit)
	// refusedBefore is how many bodies are refused before one is admitted, at most 100.
	refusedBefore := func(bytes int64, priority int) (refused int, admitted *heldbytes.Account) {
		for ; refused < 100; refused++ {
			if a := l.Open(); a.Admit(bytes, priority) {
				return refused, a
			}
		}
		return refused, nil
	}
	for range 3 {
		l.Open().Admit(large, 2)
	}
	refused, first := refusedBefore(4*large, 1)
	if refused != 8 {
		t.Fatalf("%d of the middle priority were refused before one was admitted, want 8", refused)
	}
	if again, _ := refusedBefore(large, 0); again != 100 {
		t.Error("a second exceeds the bound while the first does")
	}
	if got, want := l.Held(), int64(limit+4*large); got != want || first.Held() != 4*large {
		t.Errorf("held %d, want %d; %d by the first", got, want, first.Held())
	}
	if !first.Admit(small, 1) {
		t.Error("the body that exceeds the bound can't grow")
	}
	first.Close()
	if refused, second := refusedBefore(large, 0); refused != 0 || second == nil {
		t.Errorf("%d more were refused after the first has ended", refused)
	}
	if refused, _ := refusedBefore(medium, 0); refused != 100 {
		t.Error("a body that is not large exceeds the bound")
	}
	if refused, _ := refusedBefore(limit+1, 0); refused != 100 {
		t.Error("a body over the limit is admitted")
	}
}

// TestNoBound guards against refusals at boxes without a limit and in servers without a ledger.
func TestNoBound(t *testing.T) {
	var l heldbytes.Ledger
	var none *heldbytes.Account
	a := l.Open()
	if !a.Admit(1<<40, 2) || !a.Hold(1<<40) || !none.Admit(1, 2) || !none.Hold(1) || !none.Exceed(1) {
		t.Error("refused without a bound")
	}
	none.Set(1)
	none.Close()
	if l.Held() != 2<<40 || none.Held() != 0 {
		t.Errorf("held %d", l.Held())
	}
}

// TestConcurrentAdmission guards against more than the limit being held when many requests arrive
// together.
func TestConcurrentAdmission(t *testing.T) {
	l := heldbytes.Ledger{Limit: limit}
	var all sync.WaitGroup
	for range 100 {
		all.Go(func() {
			for i := range 100 {
				a := l.Open()
				if a.Admit(large, i%3) && l.Held() > 2*limit {
					t.Error("far more than the limit is held")
				}
				if i%2 == 0 {
					a.Close()
				}
			}
		})
	}
	all.Wait()
	if held := l.Held(); held > limit || held <= 0 {
		t.Errorf("held %d of %d", held, limit)
	}
}

// BenchmarkAccount is what one request costs: its account, its body and its answer.
func BenchmarkAccount(b *testing.B) {
	l := heldbytes.Ledger{Limit: limit}
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			a := l.Open()
			a.Admit(small, 1)
			a.Hold(small)
			a.Close()
		}
	})
}
