package peer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/thymewind/thymewind/peer"
)

// TestNextBestOnTheWire checks the fields of the runner-up. It guards against an answer that grows by
// more than some bytes, as a hub sends hundreds a second, against field numbers that other releases
// read as something else, and against answers of releases that lack the fields being rejected.
func TestNextBestOnTheWire(t *testing.T) {
	tests := []struct {
		name   string
		answer peer.PlacementResponse
		// extra is how many bytes the fields take.
		extra int
	}{
		{"none", peer.PlacementResponse{Target: "a"}, 0},
		{"costs the same", peer.PlacementResponse{Target: "a", NextBest: 0xfedcba98}, 6},
		{"preferred by its rank", peer.PlacementResponse{Target: "a", NextBest: 0xfedcba98, NextBestCostMS: -20}, 8},
		{"far worse", peer.PlacementResponse{Target: "a", NextBest: 0xfedcba98, NextBestCostMS: 2400}, 10},
	}
	plain, err := cbor.Marshal(peer.PlacementResponse{Target: "a"})
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wire, err := cbor.Marshal(tt.answer)
			if err != nil {
				t.Fatal(err)
			}
			var fields map[int]any
			var got peer.PlacementResponse
			if err := cbor.Unmarshal(wire, &fields); err != nil {
				t.Fatal(err)
			}
			if err := cbor.Unmarshal(wire, &got); err != nil {
				t.Fatal(err)
			}
			if len(wire)-len(plain) != tt.extra || got.NextBest != tt.answer.NextBest || got.NextBestCostMS != tt.answer.NextBestCostMS {
				t.Errorf("%d bytes more, read %+v", len(wire)-len(plain), got)
			}
			_, named := fields[17]
			_, cost := fields[18]
			if named != (tt.answer.NextBest != 0) || cost != (tt.answer.NextBestCostMS != 0) {
				t.Errorf("fields %v", fields)
			}
		})
	}
}
