package affinity

import (
	"math"
	"time"
)

// Links estimates how busy the sources' links are, from the moves that this
// box ordered lately and the number of boxes that do the same.
type Links struct {
	// moved holds each source's recent moves.
	moved map[string]*moves
}

// moves is a sum of move times that fades.
type moves struct {
	sum     time.Duration
	as      time.Time
	placers int
}

const (
	// fade is how long a move counts: some times the length of the longest.
	fade = 2 * time.Second
	// mostBusy bounds the estimate, so that waits stay finite.
	mostBusy = 0.95
)

// Note counts a move that was ordered from a source.
func (l *Links) Note(now time.Time, source string, took time.Duration, placers int) {
	if l.moved == nil {
		l.moved = make(map[string]*moves)
	}
	m := l.moved[source]
	if m == nil {
		m = &moves{as: now}
		l.moved[source] = m
	}
	m.sum = m.left(now) + took
	m.as, m.placers = now, placers
}

// Busy returns by how much a move from a source is stretched by the wait behind
// others, as at a single server with random arrivals; 1 for an unused link.
func (l *Links) Busy(now time.Time, source string) float64 {
	m := l.moved[source]
	if m == nil {
		return 1
	}
	busy := min(float64(m.left(now))*float64(m.placers)/float64(fade), mostBusy)
	return 1 / (1 - busy)
}

func (m *moves) left(now time.Time) time.Duration {
	return time.Duration(float64(m.sum) * math.Exp(-float64(now.Sub(m.as))/float64(fade)))
}
