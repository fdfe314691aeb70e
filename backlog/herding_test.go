package backlog_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/backlog"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
)

// The model: five boxes each place the prompts of one failure domain on 99 engines that
// prefill one prompt after another. Requests arrive in bursts.
const (
	domains        = 5
	engines        = 99
	perSecond      = 200.0 // Prompts a second in each domain.
	burst          = 3.0   // Prompts in a burst, on average.
	duration       = 8 * time.Second
	token          = time.Millisecond / 70
	firstEvent     = 50 * time.Millisecond  // Without any token to prefill.
	reportInterval = 300 * time.Millisecond // How often boxes report to the hub of their domain.
	gossipInterval = 150 * time.Millisecond // How often hubs gossip.
	goal           = 300 * time.Millisecond
	longGoal       = 500 * time.Millisecond
	longPrompt     = 4500 // Prompts with more tokens have the long goal.
	herdSeeds      = 2
)

type sent struct {
	hub           int
	tokens        int
	placed        time.Time
	prefilled     time.Time // When the engine has prefilled it.
	reportedAfter time.Duration
	gossipedAfter time.Duration
}

// countedBy reports whether a hub counts a prompt as backlog, if each box reports what
// waits there.
func (s *sent) countedBy(now time.Time, hub int) bool {
	from, to := s.placed, s.prefilled.Add(s.reportedAfter)
	if hub != s.hub {
		from, to = from.Add(s.gossipedAfter), to.Add(s.gossipedAfter)
	}
	return !now.Before(from) && now.Before(to)
}

type herd struct {
	random     *rand.Rand
	now        time.Time
	targets    []*fleet.Target
	index      map[string]int
	idleAt     []time.Time // When each engine has prefilled all.
	waiting    [][]*sent
	estimators [domains]*backlog.Estimator
}

func newHerd(seed uint64) *herd {
	h := &herd{random: rand.New(rand.NewPCG(seed, 1)), now: start, index: make(map[string]int), idleAt: make([]time.Time, engines), waiting: make([][]*sent, engines)}
	for i := range engines {
		x := &fleet.Target{ID: fmt.Sprintf("i-%08x", i*7919), Domain: domain(i % domains), Versions: map[string]int64{"m": 1}}
		h.targets = append(h.targets, x)
		h.index[x.ID] = i
	}
	for i := range h.estimators {
		h.estimators[i] = newEstimator()
	}
	return h
}

func domain(i int) string { return string(rune('a' + i)) }

// chooser returns a hub's chooser with its view of the engines' backlog.
func (h *herd) chooser(queued func(x *fleet.Target) int) *affinity.Chooser {
	none := func(*affinity.Source) bool { return false }
	return &affinity.Chooser{
		Directory: directory.New(), Stores: func() []*affinity.Source { return nil }, TransferPerToken: func() time.Duration { return time.Microsecond },
		PrefillPerToken: func() time.Duration { return token }, Slowdown: func(time.Time, string) float64 { return 1 },
		Slack: affinity.Slack, AllowSave: none, AllowStoreFetch: none, AllowEngineFetch: none,
		Load: func(_ time.Time, x *fleet.Target) (int, int) { return 0, queued(x) },
	}
}

// tokens draws the length of a prompt: a quarter are long.
func (h *herd) tokens() int {
	switch n := h.random.IntN(100); {
	case n < 25:
		return 2000 + int(h.random.ExpFloat64()*7000)
	case n < 78:
		return 100 + int(h.random.ExpFloat64()*1300)
	}
	return 50 + int(h.random.ExpFloat64()*400)
}

// run simulates all requests and returns the share of answers that began late. With
// useReports, hubs use the sums that boxes report instead of the estimator.
func (h *herd) run(useReports bool) float64 {
	late, all := 0, 0
	ticks := [domains]time.Time{}
	for step := time.Millisecond; h.now.Before(start.Add(duration)); h.now = h.now.Add(step) {
		h.gossip(&ticks)
		for hub := range domains {
			if h.random.Float64() >= perSecond/burst*step.Seconds() {
				continue
			}
			for range 1 + int(math.Round(h.random.ExpFloat64()*(burst-1))) {
				all++
				if h.place(hub, useReports) {
					late++
				}
			}
		}
	}
	return float64(late) / float64(all)
}

// gossip has hubs exchange their totals.
func (h *herd) gossip(due *[domains]time.Time) {
	for hub, at := range due {
		if h.now.Before(at) {
			continue
		}
		due[hub] = h.now.Add(gossipInterval)
		for other, e := range h.estimators {
			if other != hub {
				e.Merge(h.now, domain(hub), h.estimators[hub].Totals(h.now))
			}
		}
	}
}

// place places one prompt and reports whether its answer begins late.
func (h *herd) place(hub int, useReports bool) bool {
	queued := func(x *fleet.Target) int { return h.estimators[hub].PrefillBacklog(h.now, placement.Hash(x.ID)) }
	if useReports {
		queued = func(x *fleet.Target) int { return h.reported(h.index[x.ID], hub) }
	}
	tokens := h.tokens()
	choice, _ := h.chooser(queued).Choose(h.now, affinity.Request{
		Domain: domain(hub), Home: h.random.Uint64(), Parts: []affinity.Part{{Tokens: tokens}}, Model: "m", Tokens: tokens,
		Keys: func(int64) []directory.Key { return []directory.Key{directory.Key(h.random.Uint64())} },
	}, h.targets)
	n := h.index[choice.Target.ID]
	h.estimators[hub].Place(h.now, placement.Hash(choice.Target.ID), tokens)
	if h.idleAt[n].Before(h.now) {
		h.idleAt[n] = h.now
	}
	h.idleAt[n] = h.idleAt[n].Add(time.Duration(tokens) * token)
	h.waiting[n] = append(h.waiting[n], &sent{
		hub: hub, tokens: tokens, placed: h.now, prefilled: h.idleAt[n].Add(firstEvent),
		reportedAfter: time.Duration(h.random.Int64N(int64(reportInterval))), gossipedAfter: time.Duration(h.random.Int64N(int64(gossipInterval))),
	})
	limit := goal
	if tokens > longPrompt {
		limit = longGoal
	}
	return h.idleAt[n].Add(firstEvent).Sub(h.now) > limit
}

// reported is an engine's backlog as a hub sees it by what each box reports.
func (h *herd) reported(engine, hub int) int {
	sum := 0
	rest := h.waiting[engine][:0]
	for _, s := range h.waiting[engine] {
		if s.countedBy(h.now, hub) {
			sum += s.tokens
		}
		if h.now.Before(s.prefilled.Add(reportInterval + gossipInterval)) {
			rest = append(rest, s)
		}
	}
	h.waiting[engine] = rest
	return sum
}

// TestHerd guards against herding: hubs that learn of each other's choices late keep few
// callers waiting if they estimate the backlog ahead, and many if they sum up what each
// box reports.
func TestHerd(t *testing.T) {
	for seed := range uint64(herdSeeds) {
		withReports, withEstimator := newHerd(seed).run(true), newHerd(seed).run(false)
		t.Logf("seed %d: late %.3f with reported backlogs, %.3f with the estimator", seed, withReports, withEstimator)
		if withEstimator > 0.008 || withReports < 3*withEstimator {
			t.Errorf("seed %d: late %.3f with the estimator, %.3f with reported backlogs", seed, withEstimator, withReports)
		}
	}
}
