package engineslow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/backlog"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/engineslow"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/overdue"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/throughput"
)

// The model: two boxes, each in a domain of its own, place prompts on 24 engines that prefill
// one after another. Only the speed of prefill and the delay of a first event differ by engine.
const (
	engines = 24
	token   = time.Millisecond / 112
	base    = 50 * ms
	prompt  = 4000.0 // Tokens, on average.
	step    = ms
	gossip  = 150 * ms
)

// box is the state of one placing box, as in package entry.
type box struct {
	backlog    backlog.Estimator
	overdue    overdue.Tracker
	throughput throughput.Estimator
	slow       engineslow.Tracker
	heard      map[uint64]engineslow.Evidence
	overdueAt  map[uint64]int // Another box's overdue tokens.
	even       bool           // Most engines are slow.
	chooser    affinity.Chooser
}

type answer struct {
	at, placed      time.Time
	box             *box
	engine          uint64
	backlog, tokens int
	slowdown        float64
}

type world struct {
	now     time.Time
	random  *rand.Rand
	targets []*fleet.Target
	index   map[uint64]int
	// factor is by which factor each engine is slower, idleAt when it has prefilled all.
	factor [engines]float64
	idleAt [engines]time.Time
	boxes  [2]*box
	queue  []answer
	// rate is the prompts in a second at each box.
	rate [2]float64
	// goal is the time within which answers are to begin.
	goal time.Duration
	// ignore has placement ignore the ratios, learnAll has all answers be samples of the speed.
	ignore, learnAll bool
	// all, late and foreign count answers, those after the goal, and those of engines in the
	// other domain; perEngine counts placements.
	all, late, foreign int
	perEngine          [engines]int
}

func newWorld(seed uint64, load float64) *world {
	w := &world{now: start, goal: 300 * ms, random: rand.New(rand.NewPCG(seed, 1)), index: make(map[uint64]int)}
	for i := range engines {
		w.factor[i] = 1
		x := &fleet.Target{ID: fmt.Sprintf("i-%08x", i*7919), Domain: string(rune('a' + i%2)), Versions: map[string]int64{"m": 1}}
		w.targets = append(w.targets, x)
		w.index[placement.Hash(x.ID)] = i
	}
	for i := range w.boxes {
		w.boxes[i] = w.newBox()
		w.rate[i] = load / 2
	}
	return w
}

func (w *world) newBox() *box {
	b := &box{heard: make(map[uint64]engineslow.Evidence), overdueAt: make(map[uint64]int)}
	b.backlog.TokenTime = func() time.Duration { _, t := b.throughput.Prefill(); return t }
	none := func(*affinity.Source) bool { return false }
	b.chooser = affinity.Chooser{
		Directory: directory.New(), Stores: func() []*affinity.Source { return nil }, TransferPerToken: func() time.Duration { return ms },
		PrefillPerToken: b.backlog.TokenTime, Slowdown: func(time.Time, string) float64 { return 1 }, Slack: affinity.Slack,
		FirstEventBase: func() time.Duration { v, _ := b.throughput.Prefill(); return v },
		AllowSave:      none, AllowStoreFetch: none, AllowEngineFetch: none,
		Load: func(now time.Time, x *fleet.Target) (int, int) {
			h := placement.Hash(x.ID)
			return 0, b.backlog.PrefillBacklog(now, h) + b.overdue.Tokens(now, h) + b.overdueAt[h]
		},
		EngineSlowdown: func(now time.Time, x *fleet.Target) (expected, possible float64) {
			if w.ignore || b.even {
				return 1, 1
			}
			h := placement.Hash(x.ID)
			return b.slow.Of(now, h).Add(b.heard[h]).Ratio()
		},
	}
	return b
}

// run advances the model.
func (w *world) run(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(step) {
		if w.now.Sub(start)%gossip == 0 {
			w.gossip()
		}
		w.answer()
		for i, rate := range w.rate {
			if w.random.Float64() < rate*step.Seconds() {
				w.place(i)
			}
		}
	}
}

func (w *world) gossip() {
	for i, b := range w.boxes {
		other := w.boxes[1-i]
		b.backlog.Merge(w.now, "other", other.backlog.Totals(w.now))
		clear(b.heard)
		other.slow.Each(w.now, func(engine uint64, e engineslow.Evidence) { b.heard[engine] = e })
		slow := 0
		for h := range w.index {
			if _, possible := b.slow.Of(w.now, h).Add(b.heard[h]).Ratio(); possible >= 1.5 {
				slow++
			}
			b.overdueAt[h] = other.overdue.Tokens(w.now, h)
		}
		b.even = !engineslow.IsUneven(slow, engines)
	}
}

func (w *world) place(domain int) {
	b, tokens := w.boxes[domain], 100+int(w.random.ExpFloat64()*prompt)
	c, _ := b.chooser.Choose(w.now, affinity.Request{
		Domain: string(rune('a' + domain)), Home: w.random.Uint64(), Parts: []affinity.Part{{Tokens: tokens}}, Model: "m", Tokens: tokens, Goal: w.goal,
		Keys: func(int64) []directory.Key { return []directory.Key{directory.Key(w.random.Uint64())} },
	}, w.targets)
	h := placement.Hash(c.Target.ID)
	n := w.index[h]
	firstBase, perToken := b.throughput.Prefill()
	b.overdue.Add(h, w.now, w.now.Add(firstBase+time.Duration(c.PrefillBacklog+tokens)*perToken+60*ms), tokens)
	b.backlog.Place(w.now, h, tokens)
	if w.idleAt[n].Before(w.now) {
		w.idleAt[n] = w.now
	}
	w.idleAt[n] = w.idleAt[n].Add(time.Duration(float64(tokens) * float64(token) * w.factor[n]))
	w.perEngine[n]++
	if c.Target.Domain != string(rune('a'+domain)) {
		w.foreign++
	}
	w.queue = append(w.queue, answer{at: w.idleAt[n].Add(time.Duration(float64(base) * w.factor[n])), placed: w.now, box: b, engine: h, backlog: c.PrefillBacklog, tokens: tokens, slowdown: c.Slowdown})
}

func (w *world) answer() {
	rest := w.queue[:0]
	for _, a := range w.queue {
		if a.at.After(w.now) {
			rest = append(rest, a)
			continue
		}
		took := a.at.Sub(a.placed)
		w.all++
		if took > w.goal {
			w.late++
		}
		b := a.box
		b.overdue.Done(a.engine, a.placed)
		firstBase, perToken := b.throughput.Prefill()
		if b.slow.Observe(w.now, a.engine, firstBase+time.Duration(a.backlog+a.tokens)*perToken, took, a.slowdown > 1) && !w.learnAll {
			continue
		}
		b.throughput.Observe(w.now, throughput.Sample{Took: time.Duration(float64(took) / a.slowdown), Tokens: a.backlog + a.tokens})
	}
	w.queue = rest
}

// count resets the counts, runs, and returns the share of late answers.
func (w *world) count(length time.Duration) float64 {
	w.all, w.late, w.foreign, w.perEngine = 0, 0, 0, [engines]int{}
	w.run(length)
	return float64(w.late) / float64(max(w.all, 1))
}

// slowShare is the share of placements at the first n engines.
func (w *world) slowShare(n int) float64 {
	slow, all := 0, 0
	for i, count := range w.perEngine {
		all += count
		if i < n {
			slow += count
		}
	}
	return float64(slow) / float64(max(all, 1))
}

// unevenPool counts the late answers of a pool of which a third is slower by a factor of 4, or of an
// even one of the same throughput, as shares: over the first 30 s, and over those after the first 3 s.
func unevenPool(utilization float64, goal time.Duration, even, ignore bool) (all, later float64) {
	const third, slower, seeds = engines / 3, 4.0, 2
	const first, rest = 3 * time.Second, 27 * time.Second
	throughputShare := (engines - third + third/slower) / engines
	late, answers, lateLater, answersLater := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		w := newWorld(seed, utilization*throughputShare*engines/(prompt*token.Seconds()))
		w.goal, w.ignore = goal, ignore
		for i := range w.factor {
			switch {
			case even:
				w.factor[i] = 1 / throughputShare
			case i < third:
				w.factor[i] = slower
			}
		}
		w.count(first)
		late, answers = late+w.late, answers+w.all
		w.count(rest)
		late, answers = late+w.late, answers+w.all
		lateLater, answersLater = lateLater+w.late, answersLater+w.all
	}
	return float64(late) / float64(answers), float64(lateLater) / float64(answersLater)
}

// TestUnevenPool guards against goals missed at slow engines: a pool of which a third is four
// times slower has at most 1.3 times the late answers of an even pool of the same throughput, from
// the first request on. Without the ratios it has several times as many. At a utilization of 0.8
// and more the fast engines alone can't bear the load, and this doesn't hold.
func TestUnevenPool(t *testing.T) {
	for _, utilization := range []float64{0.3, 0.5, 0.7} {
		t.Run(fmt.Sprint("utilization ", utilization), func(t *testing.T) {
			t.Parallel()
			even, _ := unevenPool(utilization, 300*ms, true, false)
			uneven, _ := unevenPool(utilization, 300*ms, false, false)
			without, _ := unevenPool(utilization, 300*ms, false, true)
			t.Logf("late %.4f in an even pool, %.4f in an uneven one, %.4f without the ratios", even, uneven, without)
			if uneven > 1.3*even || without < 3*uneven {
				t.Errorf("late %.4f in an uneven pool, %.4f in an even one, %.4f without the ratios", uneven, even, without)
			}
		})
	}
}

// TestUnevenPoolGoals guards against goals missed at slow engines on routes with longer goals. There
// an even pool has next to no late answers, so that those before the slow engines are known are
// several times as many: the aim of 1.3 times holds within a difference of 0.3 percent from the first
// request on, and of 0.05 percent after 3 s.
func TestUnevenPoolGoals(t *testing.T) {
	for _, goal := range []time.Duration{400 * ms, 600 * ms, 1200 * ms} {
		for _, utilization := range []float64{0.3, 0.7} {
			t.Run(fmt.Sprint(goal, ", utilization ", utilization), func(t *testing.T) {
				t.Parallel()
				even, evenLater := unevenPool(utilization, goal, true, false)
				uneven, unevenLater := unevenPool(utilization, goal, false, false)
				without, _ := unevenPool(utilization, goal, false, true)
				t.Logf("late %.4f in an even pool, %.4f in an uneven one, %.4f without the ratios; after 3 s %.4f and %.4f", even, uneven, without, evenLater, unevenLater)
				if uneven > 1.3*even+0.003 || unevenLater > 1.3*evenLater+0.0005 || without < 3*uneven {
					t.Errorf("late %.4f in an uneven pool, %.4f in an even one, %.4f without the ratios; after 3 s %.4f and %.4f", uneven, even, without, unevenLater, evenLater)
				}
			})
		}
	}
}

// TestEngineBecomesSlow guards against work that goes on to an engine that became four times slower,
// and against one that gets none once it is as fast as the others again.
func TestEngineBecomesSlow(t *testing.T) {
	const load = 0.5 * engines / (prompt * 1.0 / 112000)
	w := newWorld(1, load)
	w.run(3 * time.Second)
	w.count(5 * time.Second)
	usual := w.slowShare(1)
	w.factor[0] = 4
	w.run(time.Second)
	w.count(5 * time.Second)
	slow := w.slowShare(1)
	w.factor[0] = 1
	w.run(5 * time.Second)
	w.count(5 * time.Second)
	again := w.slowShare(1)
	t.Logf("share of the engine: %.4f, slow %.4f, normal again %.4f", usual, slow, again)
	if slow > usual/2 || again < 0.7*usual {
		t.Errorf("share of the engine: %.4f, slow %.4f, normal again %.4f", usual, slow, again)
	}
}

// TestDemandMoves guards against placement that follows demand late: when all demand moves from one
// domain to the other, engines there get it within a second, and no more answers are late than
// before. A third of the engines is slow meanwhile.
func TestDemandMoves(t *testing.T) {
	const load = 0.3 * engines / (prompt * 1.0 / 112000)
	w := newWorld(1, load)
	for i := range engines / 3 {
		w.factor[i] = 4
	}
	w.rate = [2]float64{load, 0}
	w.run(3 * time.Second)
	before := w.count(5 * time.Second)
	foreign := float64(w.foreign) / float64(w.all)
	w.rate = [2]float64{0, load}
	w.run(time.Second)
	after := w.count(5 * time.Second)
	foreignAfter := float64(w.foreign) / float64(w.all)
	t.Logf("late %.4f and %.4f, at the other domain's engines %.3f and %.3f", before, after, foreign, foreignAfter)
	if after > 1.3*before+0.01 || foreignAfter > foreign+0.1 {
		t.Errorf("late %.4f and %.4f, at the other domain's engines %.3f and %.3f", before, after, foreign, foreignAfter)
	}
}

// learnedShare is the time to the first event of a usual prompt as the box that learned least
// predicts it, as a share of the time in a pool that is slower by a factor.
func (w *world) learnedShare(factor float64) float64 {
	least := 1.0
	for _, b := range w.boxes {
		firstBase, perToken := b.throughput.Prefill()
		least = min(least, (float64(firstBase)+prompt*float64(perToken))/(factor*(float64(base)+prompt*float64(token))))
	}
	return least
}

// TestPoolBecomesSlower guards against a pool that becomes slower as a whole and isn't learned as
// slower within some seconds, as late answers are no samples of its speed. Each box sees 34 answers a
// second.
func TestPoolBecomesSlower(t *testing.T) {
	for _, factor := range []float64{1.5, 2, 2.5, 3, 4, 6, 8} {
		for seed := range uint64(3) {
			learn := func(all bool) (after2, after3 float64) {
				w := newWorld(seed, 0.1*engines/(prompt*token.Seconds()))
				w.learnAll = all
				w.run(5 * time.Second)
				for i := range w.factor {
					w.factor[i] = factor
				}
				w.run(2 * time.Second)
				after2 = w.learnedShare(factor)
				w.run(time.Second)
				return after2, w.learnedShare(factor)
			}
			all2, all3 := learn(true)
			after2, after3 := learn(false)
			t.Logf("%.1f times slower: learned %.2f after 2 s and %.2f after 3 s, %.2f and %.2f if all answers are samples", factor, after2, after3, all2, all3)
			if after2 < 0.55*all2 || after3 < 0.75*all3 {
				t.Errorf("%.1f times slower: learned %.2f after 2 s and %.2f after 3 s, %.2f and %.2f if all answers are samples", factor, after2, after3, all2, all3)
			}
		}
	}
}
