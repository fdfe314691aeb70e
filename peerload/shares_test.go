package peerload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/peerload"
)

var start = time.Unix(1000, 0)

func share(target uint64, tokens, unread int) peer.TargetLoad {
	return peer.TargetLoad{Target: target, Tokens: tokens, PrefillBacklog: unread}
}

func TestOf(t *testing.T) {
	tests := []struct {
		name           string
		change         func(s *peerload.Totals)
		tokens, unread int
		boxes          int
	}{
		{"told", func(*peerload.Totals) {}, 30, 3, 2},
		{"told anew", func(s *peerload.Totals) { s.Set(start, "a", []peer.TargetLoad{share(7, 5, 0)}) }, 25, 2, 2},
		{"nothing any more", func(s *peerload.Totals) { s.Set(start, "a", nil) }, 20, 2, 2},
		{"counted ahead", func(s *peerload.Totals) { s.Add("a", share(7, 100, 50)) }, 130, 53, 2},
		{"counted ahead, then told", func(s *peerload.Totals) {
			s.Add("a", share(7, 100, 50))
			s.Set(start, "a", []peer.TargetLoad{share(7, 110, 0)})
		}, 130, 2, 2},
		{"counted for a box that was not heard of", func(s *peerload.Totals) { s.Add("c", share(7, 100, 50)) }, 30, 3, 2},
		{"silent for long", func(s *peerload.Totals) { s.Expire(start.Add(time.Second)) }, 0, 0, 0},
		{"one is silent for long", func(s *peerload.Totals) {
			s.Set(start.Add(time.Second), "b", []peer.TargetLoad{share(7, 1, 1)})
			s.Expire(start.Add(time.Second))
		}, 1, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := peerload.New()
			s.Set(start, "a", []peer.TargetLoad{share(7, 10, 1), share(8, 1, 1)})
			s.Set(start, "b", []peer.TargetLoad{share(7, 20, 2)})
			tt.change(s)
			if got := s.Of(7); got.Tokens != tt.tokens || got.PrefillBacklog != tt.unread || s.Boxes() != tt.boxes {
				t.Errorf("%d, %d of %d boxes, want %d, %d of %d", got.Tokens, got.PrefillBacklog, s.Boxes(), tt.tokens, tt.unread, tt.boxes)
			}
		})
	}
}

func TestWithout(t *testing.T) {
	s := peerload.New()
	s.Set(start, "a", []peer.TargetLoad{share(7, 10, 1)})
	s.Set(start, "b", []peer.TargetLoad{share(7, 20, 2), share(8, 5, 0)})
	rest := s.Without([]string{"a", "unknown"})
	if rest[7] != share(7, 20, 2) || rest[8] != share(8, 5, 0) {
		t.Errorf("rest %v", rest)
	}
	if got := s.Of(7); got.Tokens != 30 {
		t.Errorf("the sum changed to %d", got.Tokens)
	}
}

// TestSums compares the sums with adding all up, over random changes.
func TestSums(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := peerload.New()
	told := make(map[string]map[uint64]int)
	names := []string{"a", "b", "c"}
	for range 2000 {
		name := names[random.IntN(len(names))]
		if random.IntN(2) == 0 && told[name] != nil {
			target, tokens := random.Uint64N(5), random.IntN(100)
			told[name][target] += tokens
			s.Add(name, share(target, tokens, tokens))
		} else {
			var list []peer.TargetLoad
			told[name] = make(map[uint64]int)
			for target := range random.Uint64N(5) {
				tokens := random.IntN(100)
				told[name][target] = tokens
				list = append(list, share(target, tokens, tokens))
			}
			s.Set(start, name, list)
		}
		for target := range uint64(5) {
			want := 0
			for _, one := range told {
				want += one[target]
			}
			if got := s.Of(target); got.Tokens != want || got.PrefillBacklog != want {
				t.Fatalf("target %d: %d, %d, want %d", target, got.Tokens, got.PrefillBacklog, want)
			}
		}
	}
}

// TestMoves shows that what boxes tell of moves is summed up and forgotten like
// the rest, and that a share that tells only of them is not taken for an empty one.
func TestMoves(t *testing.T) {
	s := peerload.New()
	s.Set(start, "a", []peer.TargetLoad{{Target: 7, ExpectedMS: 80, ActualMS: 100}})
	s.Set(start, "b", []peer.TargetLoad{{Target: 7, ExpectedMS: 20, ActualMS: 300}})
	if got := s.Of(7); got.ExpectedMS != 100 || got.ActualMS != 400 {
		t.Errorf("moves of %d ms took %d ms", got.ExpectedMS, got.ActualMS)
	}
	s.Set(start, "b", nil)
	if got := s.Of(7); got.ExpectedMS != 80 || got.ActualMS != 100 {
		t.Errorf("without b: moves of %d ms took %d ms", got.ExpectedMS, got.ActualMS)
	}
	s.Expire(start.Add(time.Second))
	if got := s.Of(7); !got.IsZero() {
		t.Errorf("left: %+v", got)
	}
}
