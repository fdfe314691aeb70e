package superseded_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/superseded"
)

// TestSince guards against a later version that is dated too late, is forgotten while boxes have
// it, or counts for ever although all boxes lost it.
func TestSince(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	type note struct {
		now     float64
		version int64
		since   float64
	}
	tests := []struct {
		name  string
		notes []note
		now   float64
		own   int64
		since float64
		known bool
	}{
		{"nothing told", nil, 1, 7, 0, false},
		{"the own version", []note{{1, 7, 0}}, 1, 7, 0, false},
		{"an earlier version", []note{{1, 6, 0}}, 1, 7, 0, false},
		{"a later version", []note{{1, 8, 0.5}}, 1, 7, 0.5, true},
		{"the earliest of two boxes", []note{{1, 8, 0.5}, {1.1, 8, 0.2}, {1.2, 8, 0.9}}, 2, 7, 0.2, true},
		{"the earliest of two versions", []note{{1, 8, 0.5}, {1.1, 9, 1}}, 2, 7, 0.5, true},
		{"a later one dated before an earlier one", []note{{1, 8, 0.9}, {1.1, 9, 0.3}}, 2, 7, 0.3, true},
		{"one version reached, not the next", []note{{1, 8, 0.5}, {1.1, 9, 1}}, 2, 8, 1, true},
		{"not told any more", []note{{1, 8, 0.5}}, 6, 7, 0, false},
		{"a later one is told instead", []note{{1, 8, 0.5}, {5, 9, 5}}, 9, 7, 0.5, true},
		{"an earlier one is told instead", []note{{1, 9, 0.5}, {5, 8, 0.7}}, 7, 7, 0.7, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := superseded.Versions{TTL: 5 * time.Second}
			for _, n := range tt.notes {
				v.Note(at(n.now), n.version, at(n.since))
			}
			since, known := v.Since(at(tt.now), tt.own)
			if known != tt.known || known && !since.Equal(at(tt.since)) {
				t.Errorf("since %v, known %v", since.Sub(start), known)
			}
		})
	}
}

// TestManyVersions guards against growth without bound.
func TestManyVersions(t *testing.T) {
	start := time.Unix(1000, 0)
	v := superseded.Versions{TTL: time.Hour}
	for n := range int64(10_000) {
		v.Note(start, n+1, start.Add(time.Duration(n)))
	}
	if since, known := v.Since(start, 0); !known || !since.Equal(start) {
		t.Errorf("since %v, known %v", since, known)
	}
	if _, known := v.Since(start, 100); known {
		t.Error("versions beyond the bound are kept")
	}
}
