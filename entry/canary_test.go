package entry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/canary"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/routing"
)

// canaryFleet is a fleet whose plain service is to move to another version.
type canaryFleet struct {
	*emulator
	random *rand.Rand
	// answer returns how the new version answers, given how many answers it has given so far.
	answer func(route string, given int) (failed bool, slower float64)
	// sent and canarySent count the requests that reached the service and the new version since
	// the rollout was requested. bad counts the new version's bad answers, fiftiethBad is when
	// the fiftieth of them came, and late counts the requests that reached it after the
	// platform's bound for that.
	sent, canarySent, bad, late int
	fiftiethBad                 time.Time
	// olderAfterCompletion counts requests that reached the older version after completion.
	olderAfterCompletion int
	requested            bool
}

// rolloutTime is the rollout's time, as in the platform's own example.
const rolloutTime = 12 * time.Second

func serviceAt(id, software string, i int) fleet.Entry {
	return fleet.Entry{ID: id, Pool: "orders", Software: software, Domain: fmt.Sprintf("d%d", i%3), Slots: 8, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, 0, byte(i)}), 1)}
}

func newCanaryFleet(seed uint64, boxes int) *canaryFleet {
	w := &canaryFleet{emulator: emulate(boxes, 3, configuration(1)), random: rand.New(rand.NewPCG(seed, 4))}
	w.answer = func(string, int) (bool, float64) { return false, 1 }
	for i := range 5 {
		w.addTargets(serviceAt(fmt.Sprintf("old-%d", i), "v1", i))
	}
	w.advance(time.Second, w.serve)
	return w
}

// requestRollout has the operator request a version, whose targets start a second later.
func (w *canaryFleet) requestRollout(version string) {
	w.writeOperator(func(o *Operator) {
		o.Canaries = map[string]*canary.Rollout{"orders": {Pool: "orders", Version: version, Order: w.version, Timeout: rolloutTime}}
	})
	w.requested = true
	w.after(time.Second, func() {
		for i := range 5 {
			w.addTargets(serviceAt(fmt.Sprintf("%s-%d", version, i), version, 10+i))
		}
	})
}

// serve has each box send requests: some 400 a second in all.
func (w *canaryFleet) serve() {
	for _, d := range w.boxes {
		if w.dead[d.Settings.Name] || w.random.IntN(100) >= 28*70/len(w.boxes) {
			continue
		}
		w.request(d)
	}
}

func (w *canaryFleet) request(d *Daemon) {
	route := []string{"short", "long"}[min(w.random.IntN(3), 1)]
	job := &deliver.Job{Call: &deliver.Call{ID: "r"}, Route: &routing.Route{Name: route, Goal: 300 * time.Millisecond}, Pool: d.current.Load().Pools["orders"]}
	place, err := d.place(w.now, &d.tables, deliver.PlacementRequest{Job: job})
	if err != nil {
		return
	}
	took := time.Duration((40 + w.random.Float64()*40) * float64(time.Millisecond))
	failed := w.random.IntN(50) == 0
	if w.requested {
		w.sent++
	}
	if onCanary := w.targets[place.Target].Software != "v1"; onCanary {
		failed, took = w.answerFromCanary(route, took)
	} else if states := w.canaryReports["orders"]; len(states) > 0 && states[len(states)-1] == canary.Completed {
		w.olderAfterCompletion++
	}
	w.after(took, func() {
		w.receive(d, answerBegan{place})
		w.receive(d, attemptEnded{deliver.AttemptResult{Place: place, Job: job, Began: true, Failed: failed, Answered: true}})
	})
}

// answerFromCanary counts a request that reaches the new version, and draws its answer.
func (w *canaryFleet) answerFromCanary(route string, took time.Duration) (bool, time.Duration) {
	if !w.fiftiethBad.IsZero() && w.now.Sub(w.fiftiethBad) > 5*time.Second {
		w.late++
	}
	failed, slower := w.answer(route, w.canarySent)
	w.canarySent++
	if failed || slower > 1 {
		if w.bad++; w.bad == 50 {
			w.fiftiethBad = w.now
		}
	}
	return failed, time.Duration(float64(took) * slower)
}

// last is the last state that was reported to the operator.
func (w *canaryFleet) last() canary.State {
	if states := w.canaryReports["orders"]; len(states) > 0 {
		return states[len(states)-1]
	}
	return canary.Trying
}

// badAnswers returns answers of which a share fail, or take four times as long.
func (w *canaryFleet) badAnswers(percent int, slow bool, from int, only string) func(string, int) (bool, float64) {
	return func(route string, given int) (bool, float64) {
		if given < from || only != "" && route != only || w.random.IntN(100) >= percent {
			return false, 1
		}
		if slow {
			return false, 4
		}
		return true, 1
	}
}

// TestCanary checks a good version and each documented kind of bad one: it is completed or
// rolled back in time, gets no more than its share of requests, and none later than the
// platform's bound after its fiftieth bad answer.
func TestCanary(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		answer func(w *canaryFleet) func(string, int) (bool, float64)
		want   canary.State
	}{
		{"good", func(w *canaryFleet) func(string, int) (bool, float64) { return w.answer }, canary.Completed},
		{"fails half", func(w *canaryFleet) func(string, int) (bool, float64) { return w.badAnswers(50, false, 0, "") }, canary.RolledBack},
		{"fails a fifth", func(w *canaryFleet) func(string, int) (bool, float64) { return w.badAnswers(20, false, 0, "") }, canary.RolledBack},
		{"four times as slow", func(w *canaryFleet) func(string, int) (bool, float64) { return w.badAnswers(100, true, 0, "") }, canary.RolledBack},
		{"half are slow", func(w *canaryFleet) func(string, int) (bool, float64) { return w.badAnswers(50, true, 0, "") }, canary.RolledBack},
		{"fails half, later", func(w *canaryFleet) func(string, int) (bool, float64) { return w.badAnswers(50, false, 60, "") }, canary.RolledBack},
		{"fails half, on one route", func(w *canaryFleet) func(string, int) (bool, float64) { return w.badAnswers(50, false, 0, "short") }, canary.RolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newCanaryFleet(1, 70)
			w.answer = tt.answer(w)
			w.requestRollout("v2")
			w.advance(rolloutTime, w.serve)
			t.Logf("%d of %d requests reached the new version, %d bad answers, reported %v", w.canarySent, w.sent, w.bad, w.canaryReports["orders"])
			if w.last() != tt.want {
				t.Errorf("reported %v at the end, want %v", w.canaryReports["orders"], tt.want)
			}
			if tt.want == canary.RolledBack && float64(w.canarySent) > 0.1*float64(w.sent)+50 {
				t.Errorf("a bad version got %d of %d requests", w.canarySent, w.sent)
			}
			if w.late > 0 || w.olderAfterCompletion > 0 {
				t.Errorf("%d requests came too late to the new version, %d to the older one after it was completed", w.late, w.olderAfterCompletion)
			}
		})
	}
}

// faults are the faults that may occur meanwhile.
var faults = []struct {
	name string
	do   func(w *canaryFleet)
}{
	{"none", func(*canaryFleet) {}},
	{"the holder dies", func(w *canaryFleet) { w.dead[w.holder()] = true }},
	{"the holder is cut off from the table service", func(w *canaryFleet) { w.tableServiceDown[w.holder()] = true }},
	{"hubs die", func(w *canaryFleet) { w.dead["box-0000"], w.dead["box-0001"] = true, true }},
	{"boxes restart", func(w *canaryFleet) {
		for i := 20; i < 40; i++ {
			w.restart(i)
		}
	}},
	{"the table service loses answers", func(w *canaryFleet) {
		w.rows.Fault = func() fake.Kind {
			return []fake.Kind{fake.None, fake.AnswerLost, fake.RequestLost, fake.Late}[w.random.IntN(4)]
		}
	}},
	{"requested again", func(w *canaryFleet) { w.requestRollout("v2") }},
	{"an older target goes", func(w *canaryFleet) { w.removeTargets("old-0") }},
}

// holder is the box that holds the lease, or the first box.
func (w *canaryFleet) holder() string {
	for _, d := range w.boxes {
		if _, _, held := d.lease.Held(); held {
			return d.Settings.Name
		}
	}
	return "box-0000"
}

// restart replaces a box by one without any state.
func (w *canaryFleet) restart(i int) {
	old := w.boxes[i]
	d := w.addBox(old.Settings.Name, old.Settings.Domain, false)
	w.boxes = slices.Delete(w.boxes, len(w.boxes)-1, len(w.boxes))
	w.boxes[i] = d
	w.join(d)
}

// TestCanaryWithFaults draws the version's quality, a fault and its time, over 70 boxes. A bad
// version never gets more than its share, nor anything after the bound following its fiftieth
// bad answer. A good one is never rolled back because of a fault of boxes. The older version
// gets nothing once completion was reported to the operator.
func TestCanaryWithFaults(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 10
	properties := gopter.NewProperties(parameters)
	properties.Property("within its bounds", prop.ForAll(func(seed uint64, percent, trouble, after int) bool {
		w := newCanaryFleet(seed, 70)
		w.answer = w.badAnswers(percent, seed%2 == 0, int(seed%50), "")
		w.requestRollout("v2")
		w.advance(time.Duration(after)*time.Second, w.serve)
		faults[trouble].do(w)
		w.advance(rolloutTime+time.Second, w.serve) // Asking again restarts the rollout's time.
		ok := w.late == 0 && w.olderAfterCompletion == 0 && w.last().Ended()
		if percent > 0 {
			ok = ok && float64(w.canarySent) <= 0.1*float64(w.sent)+50 && w.last() == canary.RolledBack
		}
		if !ok {
			t.Logf("seed %d, %d in 100 bad, %s after %d s: %d of %d reached it, %d late, %d to the older one, reported %v", seed, percent, faults[trouble].name, after, w.canarySent, w.sent, w.late, w.olderAfterCompletion, w.canaryReports["orders"])
		}
		return ok
	}, gen.UInt64Range(1, 1000), gen.OneConstOf(0, 20, 50, 100), gen.IntRange(0, len(faults)-1), gen.IntRange(1, 6)))
	properties.TestingRun(t)
}

// TestExposureOverBoxes guards against boxes that together send a version more than its share.
// Until it is completed it gets no more at any time, also if it is good, or so seldom bad that
// this is found late. The last case removes the share, and the check must fail.
func TestExposureOverBoxes(t *testing.T) {
	t.Parallel()
	const share, extra = 0.1, 50
	tests := []struct {
		name    string
		percent int
		share   float64
		holds   bool
	}{
		{"good", 0, share, true},
		{"fails 5 in 100", 5, share, true},
		{"slow 20 in 100", 20, share, true},
		{"without the share", 5, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newCanaryFleet(5, 70)
			for _, d := range w.boxes {
				d.Settings.Bounds.TriedShare = tt.share
				d.bounds.Store(&d.Settings.Bounds)
			}
			w.answer = w.badAnswers(tt.percent, tt.percent == 20, 0, "")
			w.requestRollout("v2")
			over := 0.0
			w.advance(rolloutTime, func() {
				w.serve()
				if c := w.boxes[0].tables.canaryOf("orders"); c == nil || c.state == canary.Trying {
					over = max(over, float64(w.canarySent)-share*float64(w.sent)-extra)
				}
			})
			t.Logf("%d of %d requests reached the new version, reported %v", w.canarySent, w.sent, w.canaryReports["orders"])
			if holds := over <= 0; holds != tt.holds {
				t.Errorf("%v requests more than the share at the most", over)
			}
		})
	}
}

// TestCanaryParts checks that each part is needed: without it the checks of TestCanary fail.
func TestCanaryParts(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		take func(d *Daemon)
		bad  int
	}{
		{"the share", func(d *Daemon) { d.Settings.Bounds.TriedShare = 1; d.bounds.Store(&d.Settings.Bounds) }, 5},
		{"the judging", func(d *Daemon) { d.systems = slices.Clone(d.systems[:1]) }, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newCanaryFleet(1, 70)
			for _, d := range w.boxes {
				tt.take(d)
			}
			w.answer = w.badAnswers(tt.bad, false, 0, "")
			w.requestRollout("v2")
			w.advance(rolloutTime, w.serve)
			if float64(w.canarySent) <= 0.1*float64(w.sent)+50 && w.late == 0 && w.last() == canary.RolledBack {
				t.Errorf("holds without: %d of %d reached it, reported %v", w.canarySent, w.sent, w.canaryReports["orders"])
			}
		})
	}
}
