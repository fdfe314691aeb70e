package retryafter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/retryafter"
)

type kind struct {
	priority       int
	tokens         float64       // Memory of a typical request.
	share          float64       // Of all requests.
	goal, deadline time.Duration // From the first attempt on.
	runs           time.Duration // How long a typical one runs.
	first          time.Duration // From placement to the first event.
}

// kinds resemble the load of a deployment in use.
var kinds = []kind{
	{0, 2500, 0.3, 400 * time.Millisecond, 3 * time.Second, 250 * time.Millisecond, 60 * time.Millisecond},
	{1, 1200, 0.35, 400 * time.Millisecond, 12 * time.Second, 1200 * time.Millisecond, 60 * time.Millisecond},
	{2, 12500, 0.35, 600 * time.Millisecond, 15 * time.Second, 1800 * time.Millisecond, 120 * time.Millisecond},
}

const (
	boxes    = 8
	engines  = 8
	capacity = 60000.0
	// ends is when the last caller arrives; callers count from `from` on.
	ends, from = 40 * time.Second, 10 * time.Second
	seeds      = 24
	outage     = "outage"
	noTarget   = "no target"
)

// scenario is the load and the faults of a simulation.
type scenario struct {
	name string
	// load is the requested memory as a share of the capacity, burst the same from 10 s to
	// 15 s, unless it is zero.
	load, burst float64
	// outages is how many there are, one each 10 s, with a random duration between shortest
	// and longest; hit is the share of boxes affected.
	outages           int
	shortest, longest time.Duration
	hit               float64
	// gone is how long no target takes work, from 10 s on.
	gone time.Duration
	// rollout is how long each engine loads weights, two at a time from 10 s on.
	rollout time.Duration
	// goal replaces the goals of all kinds, unless it is zero.
	goal time.Duration
}

var scenarios = []scenario{
	{name: "overload of 1.3", load: 1.3},
	{name: "overload of 1.6 for 5 s", load: 0.8, burst: 1.6},
	{name: "outage of 5 s", load: 0.7, outages: 1, shortest: 5 * time.Second, longest: 5 * time.Second, hit: 1},
	{name: "three outages of 2 to 3 s", load: 0.7, outages: 3, shortest: 2 * time.Second, longest: 3 * time.Second, hit: 1},
	{name: "outage of 5 s at 2 boxes of 8", load: 0.7, outages: 1, shortest: 5 * time.Second, longest: 5 * time.Second, hit: 0.25},
	{name: "no target for 2 s", load: 0.7, gone: 2 * time.Second},
	{name: "load of weights", load: 0.75, rollout: 2500 * time.Millisecond},
	{name: "load of weights, goals of 1.2 s", load: 0.75, rollout: 2500 * time.Millisecond, goal: 1200 * time.Millisecond},
	{name: "overload of 1.3, goals of 1.2 s", load: 1.3, goal: 1200 * time.Millisecond},
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// caller is one request with all its attempts.
type caller struct {
	kind
	size                  float64
	began, served         time.Duration
	attempts, maxAttempts int
}

// strategy returns when a caller refused for a cause should retry.
type strategy func(p *simulation, b *box, c *caller, cause string) time.Duration

// constant is about a tenth of a second, whatever the cause.
func constant(p *simulation, _ *box, _ *caller, _ string) time.Duration {
	return 60*time.Millisecond + time.Duration(p.rng.Float64()*120)*time.Millisecond
}

// estimated uses the package, with boxes that gossip whether they serve.
func estimated(p *simulation, b *box, c *caller, cause string) time.Duration {
	switch {
	case cause == "":
		return b.estimator.MemoryFull(c.goal, c.priority)
	case cause == outage && slices.ContainsFunc(p.boxes, func(b *box) bool { return !b.down }):
		return b.estimator.Soon(c.priority)
	}
	return b.estimator.DuringOutage(p.time(), cause, c.priority)
}

// isolated is the same for boxes without gossip.
func isolated(p *simulation, b *box, c *caller, cause string) time.Duration {
	if cause == outage {
		return b.estimator.DuringOutage(p.time(), cause, c.priority)
	}
	return estimated(p, b, c, cause)
}

type box struct {
	estimator retryafter.Estimator
	down      bool
}

// simulation is one run.
type simulation struct {
	scenario
	strategy strategy
	// arrivals draws the callers, the same for all strategies.
	arrivals, rng *rand.Rand
	now           time.Duration
	events        queue
	n             int
	used          [engines]float64
	loading       [engines]time.Duration
	boxes         []*box
	all           []*caller
}

func newSimulation(s scenario, w strategy, seed uint64) *simulation {
	p := &simulation{scenario: s, strategy: w, arrivals: rand.New(rand.NewPCG(seed, 1)), rng: rand.New(rand.NewPCG(seed, 2))}
	for range boxes {
		p.boxes = append(p.boxes, &box{estimator: retryafter.Estimator{Draw: p.rng.Float64}})
	}
	return p
}

func (p *simulation) time() time.Time { return time.Unix(1000, 0).Add(p.now) }

func (p *simulation) after(d time.Duration, do func()) {
	p.n++
	heap.Push(&p.events, event{p.now + d, p.n, do})
}

func (p *simulation) run() []*caller {
	need := 0.0
	for _, k := range kinds {
		need += k.share * k.tokens * k.runs.Seconds()
	}
	p.arrive(engines * capacity * 0.92 / need)
	p.disturb()
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	return p.all
}

// arrive schedules the next caller; full is the rate per second at full load.
func (p *simulation) arrive(full float64) {
	load := p.load
	if p.burst > 0 && p.now > 10*time.Second && p.now < 15*time.Second {
		load = p.burst
	}
	p.after(time.Duration(p.arrivals.ExpFloat64()/(load*full)*float64(time.Second)), func() {
		if p.now > ends {
			return
		}
		p.arrive(full)
		p.startCaller()
	})
}

// startCaller draws one caller: four in five make up to two attempts, the others up to
// four.
func (p *simulation) startCaller() {
	drawn, i := p.arrivals.Float64(), 0
	for ; i < len(kinds)-1 && drawn >= kinds[i].share; i++ {
		drawn -= kinds[i].share
	}
	c := &caller{kind: kinds[i], size: 0.3 + 0.7*p.arrivals.ExpFloat64(), began: p.now, maxAttempts: 2}
	if p.goal > 0 {
		c.goal = p.goal
	}
	if p.arrivals.Float64() < 0.2 {
		c.maxAttempts += 1 + p.arrivals.IntN(2)
	}
	if p.now >= from {
		p.all = append(p.all, c)
	}
	p.attempt(c)
}

func (p *simulation) disturb() {
	for i := range p.outages {
		begin := time.Duration(i+1) * 10 * time.Second
		length := p.shortest + time.Duration(p.arrivals.Float64()*float64(p.longest-p.shortest))
		for _, b := range p.boxes[:int(p.hit*boxes)] {
			p.after(begin, func() { b.down = true; b.estimator.Started(p.time(), outage) })
			p.after(begin+length, func() { b.down = false; b.estimator.Ended(p.time(), outage) })
		}
	}
	for i := range engines {
		if p.gone > 0 {
			p.after(10*time.Second, func() { p.loading[i] = p.now + p.gone })
		}
		if p.rollout > 0 {
			p.after(10*time.Second+time.Duration(i/2)*p.rollout, func() { p.loading[i] = p.now + p.rollout })
		}
	}
}

// attempt is one attempt of a caller. A box without a configuration is not ready, so new
// connections go to other boxes while there are any.
func (p *simulation) attempt(c *caller) {
	c.attempts++
	b := p.boxes[p.rng.IntN(boxes)]
	if b.down && c.attempts > 1 {
		b = p.boxes[boxes-1]
	}
	if b.down {
		p.refused(c, p.strategy(p, b, c, outage))
		return
	}
	best := p.best()
	if best < 0 {
		b.estimator.Started(p.time(), noTarget)
		p.refused(c, p.strategy(p, b, c, noTarget))
		return
	}
	b.estimator.Ended(p.time(), noTarget)
	fill := 1.15
	if c.priority == len(kinds)-1 {
		fill = 0.92
	}
	if p.used[best]+c.tokens > fill*capacity {
		p.refused(c, p.strategy(p, b, c, ""))
		return
	}
	p.serve(c, best)
}

// best is the engine with the most memory left, or -1 if none takes work.
func (p *simulation) best() int {
	best := -1
	for i := range engines {
		if p.loading[i] <= p.now && (best < 0 || p.used[i] < p.used[best]) {
			best = i
		}
	}
	return best
}

func (p *simulation) serve(c *caller, engine int) {
	tokens := c.size * c.tokens
	p.used[engine] += tokens
	c.served = p.now + c.first - c.began
	p.after(time.Duration(c.size*float64(c.runs)), func() { p.used[engine] -= tokens })
}

// refused schedules the caller's retry after the given wait, or a third of the time left if
// that is less.
func (p *simulation) refused(c *caller, wait time.Duration) {
	left := c.began + c.deadline - p.now
	if c.attempts >= c.maxAttempts || left < 50*time.Millisecond {
		return
	}
	p.after(min(wait, left/3), func() { p.attempt(c) })
}

// figures summarise what callers got.
type figures struct {
	// inTime and served are shares of the callers, least the share served of the kind served
	// least.
	inTime, served, least float64
	// attempts are per served request.
	attempts           float64
	median, p95, worst time.Duration
}

func (f figures) String() string {
	return fmt.Sprintf("in time %.4f, served %.4f (least served kind %.4f), attempts %.3f, median %v, 95 in 100 %v, longest %v",
		f.inTime, f.served, f.least, f.attempts, f.median.Round(time.Millisecond), f.p95.Round(time.Millisecond), f.worst.Round(time.Millisecond))
}

// runs simulates a scenario with one strategy under several seeds.
func runs(s scenario, w strategy) figures {
	var all []*caller
	for seed := range uint64(seeds) {
		all = append(all, newSimulation(s, w, seed).run()...)
	}
	var times []time.Duration
	var f figures
	arrived, served := make([]float64, len(kinds)), make([]float64, len(kinds))
	for _, c := range all {
		arrived[c.priority]++
		if c.served == 0 {
			continue
		}
		served[c.priority]++
		f.attempts += float64(c.attempts)
		times = append(times, c.served)
		if c.served <= c.goal {
			f.inTime++
		}
	}
	slices.Sort(times)
	n := float64(len(times))
	f.attempts /= n
	f.inTime /= float64(len(all))
	f.served = n / float64(len(all))
	f.least = 1
	for i := range kinds {
		f.least = min(f.least, served[i]/arrived[i])
	}
	f.median, f.p95, f.worst = times[len(times)/2], times[len(times)*95/100], times[len(times)-1]
	return f
}

// TestGossipHelps checks the gain when boxes gossip whether they serve: callers of the
// few boxes that do not are told to retry at once.
func TestGossipHelps(t *testing.T) {
	for _, s := range scenarios {
		if s.outages == 0 || s.hit == 1 {
			continue
		}
		withGossip, without := runs(s, estimated), runs(s, isolated)
		if withGossip.inTime < without.inTime+0.02 {
			t.Errorf("%s: in time %.4f, and %.4f without gossip", s.name, withGossip.inTime, without.inTime)
		}
	}
}

// TestCallersAreServed compares the estimates with a constant time to retry; -v prints
// the table.
func TestCallersAreServed(t *testing.T) {
	tests := map[string]struct {
		// served and least are by how much the share served, and that of the kind served least,
		// must exceed those of the constant; inTime is how much smaller the share in time may
		// be.
		served, least, inTime float64
	}{
		"overload of 1.3":                 {-0.005, -0.01, 0.005},
		"overload of 1.6 for 5 s":         {-0.005, -0.01, 0.005},
		"outage of 5 s":                   {0.04, 0.005, 0.025},
		"three outages of 2 to 3 s":       {0.08, 0.03, 0.045},
		"outage of 5 s at 2 boxes of 8":   {-0.003, -0.005, 0.003},
		"no target for 2 s":               {0.02, 0.005, 0.015},
		"load of weights":                 {-0.005, -0.01, 0.005},
		"load of weights, goals of 1.2 s": {0.002, 0.005, 0},
		"overload of 1.3, goals of 1.2 s": {0, 0, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			before, after := runs(s, constant), runs(s, estimated)
			t.Logf("%s, constant: %v", s.name, before)
			t.Logf("%s, estimated: %v", s.name, after)
			if s.hit > 0 && s.hit < 1 {
				t.Logf("%s, without gossip: %v", s.name, runs(s, isolated))
			}
			want := tests[s.name]
			if after.served < before.served+want.served || after.least < before.least+want.least {
				t.Errorf("served %.4f (least %.4f), want %.3f (%.3f) more than %.4f (%.4f)", after.served, after.least, want.served, want.least, before.served, before.least)
			}
			if after.inTime < before.inTime-want.inTime {
				t.Errorf("in time %.4f, want at most %.3f less than %.4f", after.inTime, want.inTime, before.inTime)
			}
		})
	}
}
