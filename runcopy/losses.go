package runcopy

import "time"

const (
	// Window is how long an ended run counts. Engines were seen to crash three times within
	// 7 s, so runs that begin within some seconds of a loss are in danger as well.
	Window = 10 * time.Second
	// minEnded is the least number of ended runs that the share of lost ones is taken of: a
	// single lost run of a few says little about the engines.
	minEnded = 100
	// reportTTL is how long another box's report counts after it came. Boxes report several
	// times a second.
	reportTTL = 2 * time.Second

	slots = int64(Window / time.Second)
)

// Count is how many runs of a pool ended within Window, and how many of these were lost with
// their engine.
type Count struct {
	// Pool is the hash of the pool's name.
	Pool        uint32
	Ended, Lost int
}

// Losses counts ended and lost runs over all boxes, as far as they report theirs. The zero value
// is ready; it is not safe for concurrent use.
type Losses struct {
	own map[uint32]*window
	// reports are the last of other boxes, by name.
	reports map[string]report
}

// window counts by second; slot i is for the second at[i] since the epoch.
type window struct {
	at          [slots]int64
	ended, lost [slots]int
}

type report struct {
	at     time.Time
	counts []Count
}

// End records the end of one of this box's runs.
func (l *Losses) End(now time.Time, pool uint32, lost bool) {
	if l.own == nil {
		l.own = make(map[uint32]*window)
	}
	w := l.own[pool]
	if w == nil {
		w = &window{}
		l.own[pool] = w
	}
	second := now.Unix()
	i := second % slots
	if w.at[i] != second {
		w.at[i], w.ended[i], w.lost[i] = second, 0, 0
	}
	w.ended[i]++
	if lost {
		w.lost[i]++
	}
}

// sum adds up the seconds within Window.
func (w *window) sum(now time.Time) (ended, lost int) {
	for i, at := range w.at {
		if now.Unix()-at < slots {
			ended += w.ended[i]
			lost += w.lost[i]
		}
	}
	return ended, lost
}

// Set replaces what another box reported; an empty report removes it.
func (l *Losses) Set(now time.Time, box string, counts []Count) {
	if len(counts) == 0 {
		delete(l.reports, box)
		return
	}
	if l.reports == nil {
		l.reports = make(map[string]report)
	}
	l.reports[box] = report{now, counts}
}

// Sum returns the counts of this box and of the other boxes for which include returns true, of the
// pools in which any box is known to have lost runs. It is empty while none are lost.
func (l *Losses) Sum(now time.Time, include func(box string) bool) []Count {
	var list []Count
	for _, pool := range l.losing(now) {
		c := Count{Pool: pool}
		if w := l.own[pool]; w != nil {
			c.Ended, c.Lost = w.sum(now)
		}
		for box, r := range l.reports {
			if include(box) && now.Sub(r.at) < reportTTL {
				c.add(r.counts)
			}
		}
		if c.Ended > 0 {
			list = append(list, c)
		}
	}
	return list
}

// losing returns the pools in which any box lost runs.
func (l *Losses) losing(now time.Time) []uint32 {
	var pools []uint32
	seen := make(map[uint32]bool)
	note := func(pool uint32, lost int) {
		if lost > 0 && !seen[pool] {
			seen[pool] = true
			pools = append(pools, pool)
		}
	}
	for pool, w := range l.own {
		_, lost := w.sum(now)
		note(pool, lost)
	}
	for box, r := range l.reports {
		if now.Sub(r.at) >= reportTTL {
			delete(l.reports, box)
			continue
		}
		for _, c := range r.counts {
			note(c.Pool, c.Lost)
		}
	}
	return pools
}

func (c *Count) add(counts []Count) {
	for _, other := range counts {
		if other.Pool == c.Pool {
			c.Ended += other.Ended
			c.Lost += other.Lost
		}
	}
}

// Chance returns the share of a pool's runs that are lost, zero while none are.
func (l *Losses) Chance(now time.Time, pool uint32) float64 {
	if len(l.own) == 0 && len(l.reports) == 0 {
		return 0
	}
	c := Count{Pool: pool}
	if w := l.own[pool]; w != nil {
		c.Ended, c.Lost = w.sum(now)
	}
	for _, r := range l.reports {
		if now.Sub(r.at) < reportTTL {
			c.add(r.counts)
		}
	}
	return float64(min(c.Lost, c.Ended)) / float64(max(c.Ended, minEnded))
}
