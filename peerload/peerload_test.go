package peerload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/peerload"
)

var start = time.Unix(1000, 0)

func load(target uint64, tokens, backlog int) peer.TargetLoad {
	return peer.TargetLoad{Target: target, Tokens: tokens, PrefillBacklog: backlog}
}

func TestOf(t *testing.T) {
	tests := []struct {
		name            string
		change          func(totals *peerload.Totals)
		tokens, backlog int
		boxes           int
	}{
		{"reported", func(*peerload.Totals) {}, 30, 3, 2},
		{"reported again", func(totals *peerload.Totals) { totals.Set(start, "a", []peer.TargetLoad{load(7, 5, 0)}) }, 25, 2, 2},
		{"reports nothing", func(totals *peerload.Totals) { totals.Set(start, "a", nil) }, 20, 2, 2},
		{"added ahead", func(totals *peerload.Totals) { totals.Add("a", load(7, 100, 50)) }, 130, 53, 2},
		{"added ahead, then reported", func(totals *peerload.Totals) {
			totals.Add("a", load(7, 100, 50))
			totals.Set(start, "a", []peer.TargetLoad{load(7, 110, 0)})
		}, 130, 2, 2},
		{"added for an unknown box", func(totals *peerload.Totals) { totals.Add("c", load(7, 100, 50)) }, 30, 3, 2},
		{"dropped", func(totals *peerload.Totals) { totals.Drop("a"); totals.Drop("c") }, 20, 2, 1},
		{"both expired", func(totals *peerload.Totals) { totals.Expire(start.Add(time.Second)) }, 0, 0, 0},
		{"one expired", func(totals *peerload.Totals) {
			totals.Set(start.Add(time.Second), "b", []peer.TargetLoad{load(7, 1, 1)})
			totals.Expire(start.Add(time.Second))
		}, 1, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			totals := peerload.New()
			totals.Set(start, "a", []peer.TargetLoad{load(7, 10, 1), load(8, 1, 1)})
			totals.Set(start, "b", []peer.TargetLoad{load(7, 20, 2)})
			tt.change(totals)
			if got := totals.Of(7); got.Tokens != tt.tokens || got.PrefillBacklog != tt.backlog || totals.Boxes() != tt.boxes {
				t.Errorf("%d, %d of %d boxes, want %d, %d of %d", got.Tokens, got.PrefillBacklog, totals.Boxes(), tt.tokens, tt.backlog, tt.boxes)
			}
		})
	}
}

func TestWithout(t *testing.T) {
	totals := peerload.New()
	totals.Set(start, "a", []peer.TargetLoad{load(7, 10, 1)})
	totals.Set(start, "b", []peer.TargetLoad{load(7, 20, 2), load(8, 5, 0)})
	without := totals.Without([]string{"a", "unknown"})
	if without[7] != load(7, 20, 2) || without[8] != load(8, 5, 0) {
		t.Errorf("without a: %v", without)
	}
	if got := totals.Of(7); got.Tokens != 30 {
		t.Errorf("the sum changed to %d", got.Tokens)
	}
}

// TestTotals compares the totals with a full recount over random changes.
func TestTotals(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	totals := peerload.New()
	reported := make(map[string]map[uint64]int)
	names := []string{"a", "b", "c"}
	for range 2000 {
		name := names[random.IntN(len(names))]
		if random.IntN(2) == 0 && reported[name] != nil {
			target, tokens := random.Uint64N(5), random.IntN(100)
			reported[name][target] += tokens
			totals.Add(name, load(target, tokens, tokens))
		} else {
			var list []peer.TargetLoad
			reported[name] = make(map[uint64]int)
			for target := range random.Uint64N(5) {
				tokens := random.IntN(100)
				reported[name][target] = tokens
				list = append(list, load(target, tokens, tokens))
			}
			totals.Set(start, name, list)
		}
		for target := range uint64(5) {
			want := 0
			for _, loads := range reported {
				want += loads[target]
			}
			if got := totals.Of(target); got.Tokens != want || got.PrefillBacklog != want {
				t.Fatalf("target %d: %d, %d, want %d", target, got.Tokens, got.PrefillBacklog, want)
			}
		}
	}
}

// TestTransfers checks that reported transfer times are summed and dropped like the rest,
// and that a report with only those does not count as zero.
func TestTransfers(t *testing.T) {
	totals := peerload.New()
	totals.Set(start, "a", []peer.TargetLoad{{Target: 7, ExpectedMS: 80, ActualMS: 100}})
	totals.Set(start, "b", []peer.TargetLoad{{Target: 7, ExpectedMS: 20, ActualMS: 300}})
	if got := totals.Of(7); got.ExpectedMS != 100 || got.ActualMS != 400 {
		t.Errorf("transfers of %d ms took %d ms", got.ExpectedMS, got.ActualMS)
	}
	totals.Set(start, "b", nil)
	if got := totals.Of(7); got.ExpectedMS != 80 || got.ActualMS != 100 {
		t.Errorf("without b: transfers of %d ms took %d ms", got.ExpectedMS, got.ActualMS)
	}
	totals.Expire(start.Add(time.Second))
	if got := totals.Of(7); !got.IsZero() {
		t.Errorf("left: %+v", got)
	}
}

// TestLate guards against AnyLate, which spares calm fleets the lookups, being wrong, and against
// targets without load in what is left when boxes are taken out.
func TestLate(t *testing.T) {
	totals := peerload.New()
	totals.Set(start, "a", []peer.TargetLoad{{Target: 7, LateTenths: 10}})
	totals.Set(start, "b", []peer.TargetLoad{{Target: 7, LateTenths: -10}, {Target: 8, Tokens: 1}})
	if totals.AnyLate() {
		t.Error("late although all late answers are cancelled")
	}
	if left := totals.Without([]string{"b"}); len(left) != 1 || left[7] != (peer.TargetLoad{Target: 7, LateTenths: 10}) {
		t.Errorf("without b: %+v", left)
	}
	totals.Drop("b")
	if !totals.AnyLate() || totals.Of(7).Target != 7 {
		t.Errorf("late: %v, of the target: %+v", totals.AnyLate(), totals.Of(7))
	}
	if left := totals.Without([]string{"a"}); len(left) != 0 {
		t.Errorf("without all: %+v", left)
	}
	totals.Drop("a")
	if totals.AnyLate() {
		t.Error("late although no box reports any")
	}
}
