package patience_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/patience"
)

func TestWait(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		happen func(b *patience.Bound)
		want   time.Duration
	}{
		{"nothing seen", func(*patience.Bound) {}, 1500 * ms},
		{"quick answers", func(b *patience.Bound) { b.Answered(4 * ms) }, 500 * ms},
		{"ten times as slow", func(b *patience.Bound) { b.Answered(4 * ms); b.Answered(40 * ms) }, 500 * ms},
		{"sixty times as slow", func(b *patience.Bound) { b.Answered(4 * ms); b.Answered(240 * ms) }, 960 * ms},
		{"slower than the most", func(b *patience.Bound) { b.Answered(900 * ms) }, 1500 * ms},
		{"one in vain", func(b *patience.Bound) { b.Answered(4 * ms); b.Silent() }, 1000 * ms},
		{"many in vain", func(b *patience.Bound) {
			b.Answered(4 * ms)
			for range 100 {
				b.Silent()
			}
		}, 1500 * ms},
		{"in vain, then answered", func(b *patience.Bound) { b.Answered(4 * ms); b.Silent(); b.Answered(4 * ms) }, 500 * ms},
		{"a slow hour is over", func(b *patience.Bound) {
			b.Answered(900 * ms)
			for range 200 {
				b.Answered(4 * ms)
			}
		}, 500 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &patience.Bound{Least: 500 * ms, Most: 1500 * ms}
			tt.happen(b)
			if got := b.Wait(); got != tt.want {
				t.Errorf("Wait = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestSilent counts the calls in vain.
func TestSilent(t *testing.T) {
	b := &patience.Bound{Least: time.Second, Most: time.Minute}
	if first, second := b.Silent(), b.Silent(); first != 1 || second != 2 {
		t.Errorf("counted %d and %d", first, second)
	}
	b.Answered(time.Millisecond)
	if got := b.Silent(); got != 1 {
		t.Errorf("counted %d after an answer", got)
	}
}
