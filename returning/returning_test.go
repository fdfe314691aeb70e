package returning_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/returning"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestReturn guards against callers that are taken for returning ones although they ask too early,
// too late or more often than they were refused, and against returning ones that count as new.
func TestReturn(t *testing.T) {
	one, two := fingerprint.Sum{1}, fingerprint.Sum{2}
	refused := func(l *returning.List, now, since, until int) { l.Refused(at(now), one, at(since), at(until)) }
	tests := []struct {
		name   string
		before func(l *returning.List)
		now    int
		sum    fingerprint.Sum
		since  int
		ok     bool
	}{
		{"never refused", func(*returning.List) {}, 0, one, 0, false},
		{"as told", func(l *returning.List) { refused(l, 100, 50, 600) }, 600, one, 50, true},
		{"a little early", func(l *returning.List) { refused(l, 100, 50, 600) }, 560, one, 50, true},
		{"too early", func(l *returning.List) { refused(l, 100, 50, 600) }, 400, one, 0, false},
		{"too early, then as told", func(l *returning.List) {
			refused(l, 100, 50, 600)
			l.Return(at(300), one)
		}, 600, one, 50, true},
		{"late", func(l *returning.List) { refused(l, 100, 50, 600) }, 2600, one, 50, true},
		{"too late", func(l *returning.List) { refused(l, 100, 50, 600) }, 2601, one, 0, false},
		{"another content", func(l *returning.List) { refused(l, 100, 50, 600) }, 600, two, 0, false},
		{"returned before", func(l *returning.List) {
			refused(l, 100, 50, 600)
			l.Return(at(600), one)
		}, 700, one, 0, false},
		{"the second of two alike", func(l *returning.List) {
			refused(l, 100, 50, 600)
			refused(l, 120, 110, 800)
			l.Return(at(600), one)
		}, 800, one, 50, true},
		{"the third of two alike", func(l *returning.List) {
			refused(l, 100, 50, 600)
			refused(l, 120, 110, 800)
			l.Return(at(600), one)
			l.Return(at(800), one)
		}, 810, one, 0, false},
		{"refused again", func(l *returning.List) {
			refused(l, 100, 50, 600)
			since, _ := l.Return(at(600), one)
			l.Refused(at(600), one, since, at(900))
		}, 900, one, 50, true},
		{"an earlier refusal was forgotten", func(l *returning.List) {
			refused(l, 100, 50, 600)
			refused(l, 5000, 4900, 5600)
		}, 5600, one, 4900, true},
		{"expired", func(l *returning.List) {
			refused(l, 100, 50, 600)
			l.Expire(at(2601))
		}, 2600, one, 0, false},
		{"not expired yet", func(l *returning.List) {
			refused(l, 100, 50, 600)
			l.Expire(at(2600))
		}, 2600, one, 50, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l returning.List
			tt.before(&l)
			since, ok := l.Return(at(tt.now), tt.sum)
			if ok != tt.ok || ok && !since.Equal(at(tt.since)) {
				t.Errorf("returns %v since %v, want %v since %v", ok, since.Sub(start), tt.ok, tt.since)
			}
		})
	}
}

// TestBounded guards against memory that grows with the refusals, and against dropping the newest.
func TestBounded(t *testing.T) {
	var l returning.List
	sum := func(i int) (s fingerprint.Sum) {
		binary.BigEndian.PutUint64(s[:], uint64(i))
		return s
	}
	for i := range returning.Max + 10 {
		l.Refused(start, sum(i), start, start)
	}
	if l.Len() != returning.Max {
		t.Errorf("%d are remembered", l.Len())
	}
	for i, want := range map[int]bool{9: false, 10: true, returning.Max + 9: true} {
		if _, ok := l.Return(start, sum(i)); ok != want {
			t.Errorf("request %d returns: %v", i, ok)
		}
	}
	l.Expire(at(2001))
	if l.Len() != 0 {
		t.Errorf("%d are remembered in the end", l.Len())
	}
}
