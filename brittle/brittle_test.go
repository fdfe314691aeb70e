package brittle_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/brittle"
)

var start = time.Unix(1000, 0)

const (
	// delay is how long a message takes.
	delay = 2 * time.Millisecond
	// seeds is how many courses of each case are played.
	seeds = 12
	// crowdServed is the least share of what a target can run that a crowd gets.
	crowdServed = 0.7
)

// event is something that happens in a simulation.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one target behind a room, in virtual time.
type simulation struct {
	random *rand.Rand
	now    time.Time
	queue  events
	room   brittle.Room
	// runs and waits are what the target has room for, serve is how long it runs a request. It answers
	// nothing until pausedUntil; after giveUp nobody awaits an answer, zero is never.
	runs, waits   int
	serve, giveUp time.Duration
	pausedUntil   time.Time
	// burst is how many requests come at once, one if it is zero.
	burst int

	running, waiting int
	turnedAway       []time.Time
	served, most     int
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.queue, event{s.now.Add(d), run})
}

// jittered is a delay with some jitter.
func (s *simulation) jittered() time.Duration {
	return delay/2 + time.Duration(s.random.Int64N(int64(delay)))
}

// offer has a request ask for a part of the room and go to the target.
func (s *simulation) offer() {
	g, ok := s.room.Take(s.now)
	if !ok {
		return
	}
	r := &request{grant: g}
	s.after(s.jittered(), func() { s.arrive(r) })
	if s.giveUp == 0 {
		return
	}
	s.after(s.giveUp, func() { s.end(r, func() { s.room.Unanswered(s.now, &r.grant) }) })
}

// request is one that was sent. Its sender learns of one end.
type request struct {
	grant brittle.Grant
	over  bool
}

func (s *simulation) end(r *request, note func()) {
	if !r.over {
		r.over = true
		note()
	}
}

func (s *simulation) arrive(r *request) {
	if s.now.Before(s.pausedUntil) {
		s.after(s.pausedUntil.Sub(s.now), func() { s.arrive(r) })
		return
	}
	switch {
	case s.running < s.runs:
		s.running++
		s.begin(r)
	case s.waiting < s.waits:
		s.waiting++
		s.wait(r)
	default:
		s.turnedAway = append(s.turnedAway, s.now)
		for s.now.Sub(s.turnedAway[0]) > time.Second {
			s.turnedAway = s.turnedAway[1:]
		}
		s.most = max(s.most, len(s.turnedAway))
		s.after(s.jittered(), func() { s.end(r, func() { s.room.TurnedAway(s.now, &r.grant) }) })
	}
}

// wait has a request wait until another ends.
func (s *simulation) wait(r *request) {
	s.after(time.Millisecond, func() {
		if s.running >= s.runs {
			s.wait(r)
			return
		}
		s.waiting--
		s.running++
		s.begin(r)
	})
}

func (s *simulation) begin(r *request) {
	s.after(s.serve/2+time.Duration(s.random.Int64N(int64(s.serve))), func() {
		s.running--
		s.served++
		s.after(s.jittered(), func() {
			s.end(r, func() {
				s.room.Accepted(s.now, &r.grant)
				s.room.End(s.now, &r.grant)
			})
		})
	})
}

// run offers requests at a rate for a time.
func (s *simulation) run(perSecond float64, span time.Duration) {
	end := s.now.Add(span)
	var next func()
	next = func() {
		if s.now.Before(end) {
			size := max(s.burst, 1)
			for range size {
				s.offer()
			}
			s.after(time.Duration(s.random.ExpFloat64()*float64(size)/perSecond*float64(time.Second)), next)
		}
	}
	next()
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// TestRoom guards against a target that falls, as it turns more requests away than it bears: a crowd,
// four times what it runs, asks for parts of its room, of which its entry names too much, and which
// becomes less in the crowd or while few ask. It also guards against room that stays unused.
func TestRoom(t *testing.T) {
	tests := []struct {
		places, bears, runs, waits int
		serve                      time.Duration
	}{
		{6, 4, 6, 2, 15 * time.Millisecond},
		{6, 4, 6, 2, 150 * time.Millisecond},
		{8, 6, 5, 0, 80 * time.Millisecond},
		{8, 6, 5, 0, 15 * time.Millisecond},
		{16, 4, 8, 0, 400 * time.Millisecond},
		{16, 8, 16, 4, 400 * time.Millisecond},
		{6, 2, 6, 2, 150 * time.Millisecond},
		{6, 10, 6, 0, 15 * time.Millisecond},
	}
	for _, tt := range tests {
		for _, before := range []float64{0.3, 4} {
			t.Run(fmt.Sprintf("%+v, %v of what it runs before", tt, before), func(t *testing.T) {
				capacity := float64(tt.runs) / tt.serve.Seconds()
				falls, worst := 0, 1.0
				for seed := range uint64(seeds) {
					s := &simulation{
						random: rand.New(rand.NewPCG(seed, 1)), now: start, runs: tt.runs, waits: tt.waits + 16, serve: tt.serve,
						room: brittle.Room{Places: tt.places, Bears: tt.bears},
					}
					s.run(before*capacity, 3*time.Second)
					s.waits = tt.waits
					s.run(4*capacity, 2*time.Second)
					s.served = 0
					s.run(4*capacity, 5*time.Second)
					worst = min(worst, float64(s.served)/(capacity*5))
					if s.most > tt.bears {
						falls++
					}
				}
				t.Logf("%.2f served, %d falls", worst, falls)
				if falls > 0 {
					t.Errorf("in %d of %d seeds it turns more away than it bears", falls, seeds)
				}
				// While a request and its answer are on the way, the target does nothing in their place.
				if worst < crowdServed*tt.serve.Seconds()/(tt.serve+2*delay).Seconds() {
					t.Errorf("%.2f of what it can run is served", worst)
				}
			})
		}
	}
}

// TestRoomShrinks guards against a target that falls as it suddenly runs fewer requests than it did, in a
// steady load and in bursts. It also guards against room that stays unused, as the level comes down too slowly.
func TestRoomShrinks(t *testing.T) {
	tests := []struct {
		bears, runs, left int
		serve             time.Duration
		burst             int
	}{
		{8, 16, 8, 15 * time.Millisecond, 1},
		{4, 16, 8, 80 * time.Millisecond, 1},
		{4, 24, 8, 15 * time.Millisecond, 1},
		{4, 24, 8, 150 * time.Millisecond, 1},
		{6, 40, 4, 400 * time.Millisecond, 1},
		{4, 24, 4, 15 * time.Millisecond, 12},
		{4, 24, 4, 150 * time.Millisecond, 12},
		{2, 12, 6, 80 * time.Millisecond, 6},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%+v", tt), func(t *testing.T) {
			falls, worst := 0, 1.0
			for seed := range uint64(seeds) {
				s := &simulation{
					random: rand.New(rand.NewPCG(seed, 3)), now: start, runs: tt.runs, serve: tt.serve, burst: tt.burst,
					room: brittle.Room{Places: tt.runs, Bears: tt.bears},
				}
				load := 2 * float64(tt.runs) / tt.serve.Seconds()
				s.run(load, 3*time.Second)
				s.most, s.turnedAway = 0, nil
				s.runs = tt.left
				s.run(load, 3*time.Second)
				s.served = 0
				s.run(load, 5*time.Second)
				worst = min(worst, float64(s.served)/(5*float64(tt.left)/tt.serve.Seconds()))
				if s.most > tt.bears {
					falls++
				}
			}
			t.Logf("%.2f served, %d falls", worst, falls)
			if falls > 0 {
				t.Errorf("in %d of %d seeds it turns more away than it bears", falls, seeds)
			}
			if 2*tt.left >= tt.runs && tt.burst == 1 && worst < crowdServed*tt.serve.Seconds()/(tt.serve+2*delay).Seconds() {
				t.Errorf("%.2f of what it can run is served", worst)
			}
		})
	}
}

// TestRoomAfterShrinking guards against a level that comes down by one with each request that is turned away, until
// the target bears no more and its room stays unused: in a crowd of twice what it runs, from when it lets fewer
// requests wait.
func TestRoomAfterShrinking(t *testing.T) {
	tests := []struct {
		places, bears, waits, left int
		serve                      time.Duration
	}{
		{8, 6, 20, 5, 80 * time.Millisecond},
		{8, 6, 20, 5, 250 * time.Millisecond},
		{6, 4, 24, 8, 150 * time.Millisecond},
		{8, 4, 24, 6, 15 * time.Millisecond},
		{8, 4, 20, 4, 80 * time.Millisecond},
		{16, 4, 20, 8, 80 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%+v", tt), func(t *testing.T) {
			const courses, span = 40, 4 * time.Second
			runs, served, falls := min(tt.left, tt.places), 0, 0
			capacity := float64(runs) / tt.serve.Seconds()
			for seed := range uint64(courses) {
				s := &simulation{
					random: rand.New(rand.NewPCG(seed, 3)), now: start, runs: runs, waits: tt.waits, serve: tt.serve,
					room: brittle.Room{Places: tt.places, Bears: tt.bears},
				}
				s.run(2*capacity, 3*time.Second)
				s.waits, s.most, s.served, s.turnedAway = tt.left-runs, 0, 0, nil
				s.run(2*capacity, span)
				served += s.served
				if s.most > tt.bears {
					falls++
				}
			}
			share := float64(served) / (courses * capacity * span.Seconds())
			t.Logf("%.2f served, %d falls", share, falls)
			if falls > 0 {
				t.Errorf("in %d of %d seeds it turns more away than it bears", falls, courses)
			}
			if share < crowdServed*tt.serve.Seconds()/(tt.serve+2*delay).Seconds() {
				t.Errorf("%.2f of what it can run is served", share)
			}
		})
	}
}

// TestRoomOfPausedTarget guards against a target that falls when it goes on after a pause: what was sent
// meanwhile, also what was given up, is still there.
func TestRoomOfPausedTarget(t *testing.T) {
	for seed := range uint64(40) {
		s := &simulation{
			random: rand.New(rand.NewPCG(seed, 2)), now: start, runs: 6, waits: 2, serve: 150 * time.Millisecond, giveUp: 400 * time.Millisecond,
			room: brittle.Room{Places: 6, Bears: 4},
		}
		s.run(30, 3*time.Second)
		s.pausedUntil = s.now.Add(800 * time.Millisecond)
		s.run(60, 3*time.Second)
		if s.most > s.room.Bears {
			t.Errorf("seed %d: %d are turned away within a second", seed, s.most)
		}
	}
}

// TestRoomTells checks which requests count as tried, and that what is not known to have ended counts on.
func TestRoomTells(t *testing.T) {
	r := brittle.Room{Places: 6, Bears: 4}
	first, ok := r.Take(start)
	if !ok || !first.Tried {
		t.Fatalf("the first of a room is %+v, %v", first, ok)
	}
	r.Accepted(start, &first)
	r.End(start, &first)
	again, ok := r.Take(start.Add(10 * time.Millisecond))
	if !ok || again.Tried {
		t.Errorf("one at a level that was accepted is %+v, %v", again, ok)
	}
	r.Unanswered(start.Add(20*time.Millisecond), &again)
	if r.Level() != 1 {
		t.Errorf("%d are under way after one was not answered", r.Level())
	}
	r.Free(start.Add(20*time.Millisecond + time.Second))
	if r.Level() != 0 {
		t.Errorf("%d are under way a second later", r.Level())
	}
}

// TestTriesAtOnce checks how many requests are tried above the level that is proven: half of what the target can
// turn away, and a quarter once it has turned one away.
func TestTriesAtOnce(t *testing.T) {
	r := brittle.Room{Places: 20, Bears: 8}
	now := start
	tries := func() (list []brittle.Grant) {
		now = now.Add(3 * time.Second) // No level is barred any more, and nothing that was turned away counts.
		for {
			now = now.Add(10 * time.Millisecond)
			g, ok := r.Take(now)
			if !ok {
				return list
			}
			list = append(list, g)
		}
	}
	first := tries()
	if len(first) != r.Bears/2 {
		t.Errorf("%d are tried at first, want %d", len(first), r.Bears/2)
	}
	r.TurnedAway(now, &first[len(first)-1])
	for i := range first[:len(first)-1] {
		r.Accepted(now, &first[i])
		r.End(now, &first[i])
	}
	tried := 0
	for _, g := range tries() {
		if g.Tried {
			tried++
		}
	}
	if tried != r.Bears/4 {
		t.Errorf("%d are tried after one was turned away, want %d", tried, r.Bears/4)
	}
}

// TestCertainty checks how sure room is below, at and above the level up to which requests were accepted, that
// this is forgotten, and that a level at which one was turned away is not tried for a while.
func TestCertainty(t *testing.T) {
	// proven returns a room of which requests were accepted up to level 6, with some under way a time later.
	proven := func(underWay int, later time.Duration) *brittle.Room {
		r := &brittle.Room{Places: 12, Bears: 8}
		list := make([]brittle.Grant, 6)
		for i := range list {
			list[i] = r.Count(start)
		}
		for i := range list {
			r.Accepted(start, &list[i])
			r.End(start, &list[i])
		}
		for range underWay {
			r.Count(start.Add(later - 100*time.Millisecond))
		}
		return r
	}
	tests := []struct {
		underWay int
		later    time.Duration
		want     brittle.Certainty
	}{
		{0, time.Second, brittle.Spare},
		{3, time.Second, brittle.Spare},
		{4, time.Second, brittle.Known},
		{5, time.Second, brittle.Known},
		{6, time.Second, brittle.Tried},
		{4, 9 * time.Second, brittle.Known},
		{4, 11 * time.Second, brittle.None}, // As many are tried as may be.
		{1, 11 * time.Second, brittle.Tried},
	}
	for _, tt := range tests {
		if got := proven(tt.underWay, tt.later).Free(start.Add(tt.later)); got != tt.want {
			t.Errorf("with %d under way %v later it is %v, want %v", tt.underWay, tt.later, got, tt.want)
		}
	}
	r := proven(6, time.Second)
	away := r.Count(start.Add(time.Second))
	r.TurnedAway(start.Add(time.Second), &away)
	for _, tt := range []struct {
		after time.Duration
		want  brittle.Certainty
	}{{1900 * time.Millisecond, brittle.None}, {2100 * time.Millisecond, brittle.Tried}} {
		if got := r.Free(start.Add(time.Second + tt.after)); got != tt.want {
			t.Errorf("%v after one was turned away it is %v, want %v", tt.after, got, tt.want)
		}
	}
}

// TestLaterProof has the level last proven outlast a higher one that is older.
func TestLaterProof(t *testing.T) {
	r := brittle.Room{Places: 12, Bears: 8}
	prove := func(now time.Time, level int) {
		list := make([]brittle.Grant, level)
		for i := range list {
			list[i] = r.Count(now)
		}
		for i := range list {
			r.Accepted(now, &list[i])
			r.End(now, &list[i])
		}
	}
	prove(start, 6)
	prove(start.Add(6*time.Second), 3)
	now := start.Add(12 * time.Second)
	for i, want := range []brittle.Certainty{brittle.Spare, brittle.Spare, brittle.Known, brittle.Tried} {
		if got := r.Free(now); got != want {
			t.Errorf("with %d under way it is %v, want %v", i, got, want)
		}
		r.Count(now.Add(-100 * time.Millisecond))
	}
}

// TestRefusalOfOvertaken guards against room that stays unused as a request is turned away that another one, which was
// tried after it, overtook on the way to the target.
func TestRefusalOfOvertaken(t *testing.T) {
	tests := []struct {
		name string
		// tries are taken after the request that is turned away, refused of them are turned away before it.
		tries, refused int
		want           int
	}{
		{"alone", 0, 0, 2},
		{"overtaken by a try", 1, 0, 3},
		{"the try was turned away itself", 1, 1, 2},
	}
	for _, tt := range tests {
		r := brittle.Room{Places: 12, Bears: 8}
		list := make([]brittle.Grant, 3)
		for i := range list {
			list[i] = r.Count(start)
		}
		for i := range list {
			r.Accepted(start, &list[i])
		}
		now := start.Add(100 * time.Millisecond)
		r.End(now, &list[0])
		late := r.Count(now.Add(time.Millisecond))
		tries := make([]brittle.Grant, tt.tries)
		for i := range tries {
			tries[i] = r.Count(now.Add(2 * time.Millisecond))
		}
		for i := range tt.refused {
			r.TurnedAway(now.Add(4*time.Millisecond), &tries[i])
		}
		r.TurnedAway(now.Add(5*time.Millisecond), &late)
		if got := provenLevel(&r, now.Add(200*time.Millisecond)); got != tt.want {
			t.Errorf("%s: %d are known to fit, want %d", tt.name, got, tt.want)
		}
	}
}

// provenLevel counts requests until one more is no longer known to fit.
func provenLevel(r *brittle.Room, now time.Time) int {
	for range r.Level() {
		r.End(now, &brittle.Grant{})
	}
	for n := 0; ; n++ {
		if r.Free(now) < brittle.Known {
			return n
		}
		r.Count(now.Add(-100 * time.Millisecond))
	}
}

// TestEndsOnTheWay guards against a level that is taken for proven by a request before which others had left the
// target, which was not known yet.
func TestEndsOnTheWay(t *testing.T) {
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{2 * time.Millisecond, 3}, {20 * time.Millisecond, 4}} {
		r := brittle.Room{Places: 12, Bears: 8}
		list := make([]brittle.Grant, 3)
		for i := range list {
			list[i] = r.Count(start)
		}
		for i := range list {
			r.Accepted(start, &list[i])
		}
		now := start.Add(100 * time.Millisecond)
		tried := r.Count(now)
		r.End(now.Add(tt.after), &list[0])
		r.Accepted(now.Add(50*time.Millisecond), &tried)
		if got := provenLevel(&r, now.Add(200*time.Millisecond)); got != tt.want {
			t.Errorf("with an end %v after it, %d are known to fit, want %d", tt.after, got, tt.want)
		}
	}
}
