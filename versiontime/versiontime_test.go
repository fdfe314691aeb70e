package versiontime_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/versiontime"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestMinVersion checks on which versions requests may start, with a bound of 12 s after each
// announcement.
func TestMinVersion(t *testing.T) {
	tests := []struct {
		name   string
		events func(r *versiontime.Record)
		now    float64
		want   int64
	}{
		{"nothing is known", func(*versiontime.Record) {}, 100, 0},
		{"within the bound", func(r *versiontime.Record) { r.Prove(5, at(0)) }, 11.9, 0},
		{"after the bound", func(r *versiontime.Record) { r.Prove(5, at(0)) }, 12, 5},
		{"a newer version does not extend the bound", func(r *versiontime.Record) { r.Prove(5, at(0)); r.Prove(6, at(7)) }, 12, 5},
		{"the newer version has its own bound", func(r *versiontime.Record) { r.Prove(5, at(0)); r.Prove(6, at(7)) }, 19, 6},
		{"recorded in another order", func(r *versiontime.Record) { r.Prove(6, at(7)); r.Prove(5, at(0)) }, 12, 5},
		{"a later proof counts", func(r *versiontime.Record) { r.Prove(5, at(0)); r.Prove(5, at(3)) }, 14, 0},
		{"an earlier proof does not", func(r *versiontime.Record) { r.Prove(5, at(3)); r.Prove(5, at(0)) }, 14, 0},
		{"a proof replaces an assumption", func(r *versiontime.Record) { r.Assume(5, at(4)); r.Prove(5, at(0)) }, 12, 5},
		{"an assumption replaces no proof", func(r *versiontime.Record) { r.Prove(5, at(4)); r.Assume(5, at(0)) }, 12, 0},
		{"an earlier assumption counts", func(r *versiontime.Record) { r.Assume(5, at(4)); r.Assume(5, at(0)) }, 12, 5},
		{"a later assumption does not", func(r *versiontime.Record) { r.Assume(5, at(0)); r.Assume(5, at(4)) }, 12, 5},
		{"more versions than recorded", func(r *versiontime.Record) {
			for i := range 1000 {
				r.Prove(int64(i+1), at(float64(i)))
			}
		}, 999, 988},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r versiontime.Record
			tt.events(&r)
			if got := r.MinVersion(at(tt.now), 12*time.Second); got != tt.want {
				t.Errorf("MinVersion = %d, want %d", got, tt.want)
			}
		})
	}
}

func TestReplacedAt(t *testing.T) {
	var r versiontime.Record
	r.Prove(5, at(0))
	r.Prove(6, at(7))
	tests := []struct {
		version int64
		want    time.Time
		known   bool
	}{{4, at(0), true}, {5, at(7), true}, {6, time.Time{}, false}}
	for _, tt := range tests {
		if got, known := r.ReplacedAt(tt.version); !got.Equal(tt.want) || known != tt.known {
			t.Errorf("version %d: %v, %v, want %v, %v", tt.version, got, known, tt.want, tt.known)
		}
	}
}

// TestSince checks which entries are sent to other boxes.
func TestSince(t *testing.T) {
	var r versiontime.Record
	for i, when := range []float64{0, 10, 60} {
		r.Prove(int64(i+4), at(when))
	}
	tests := []struct {
		before float64
		want   int64 // The oldest version returned.
		count  int
	}{{-1, 4, 3}, {5, 4, 3}, {50, 5, 2}, {100, 6, 1}}
	for _, tt := range tests {
		got := r.Since(at(tt.before))
		if len(got) != tt.count || got[0].Version != tt.want {
			t.Errorf("since %v: %v", tt.before, got)
		}
	}
	if r.Oldest() != 4 {
		t.Errorf("the oldest version is %d, want 4", r.Oldest())
	}
}
