// Package engineslow estimates by which factor each engine's first events are later than
// predicted, from the answers to the requests of all boxes.
//
//	var t engineslow.Tracker
//	t.Observe(now, engine, predicted, took, false) // an answer to this box's own request began
//	e := t.Of(now, engine).Add(fromOtherBoxes)
//	expected, possible := e.Ratio()                // 1 unless several answers were late lately
//
// The load that it answers: some engines of a pool become several times slower than the rest,
// or hold work that no box predicts. Package throughput predicts first events by one speed for
// the whole pool, so that placement goes on sending them as much as the others, and callers'
// goals of 300 to 1,200 ms are missed there. Package overdue counts prompts that have no answer
// yet; here only answers count, so that a prompt is never in both. Predictions include the
// overdue prompts that the placing box knew of, so that a queue counted there doesn't count
// again as slowness, and sources' slowdowns (package throughput).
//
// Nothing is held or reported of an engine that isn't suspected and none of whose answers was late
// within some seconds. In a large fleet a box sees an engine once in several seconds;
// so boxes report each late answer, and the boxes that place judge the sum.
package engineslow

import (
	"maps"
	"math"
	"time"
)

const (
	// lateFactor and jitter say when an answer counts as late: first events take 50 ms and, with
	// some thousand tokens to prefill, up to 200 ms, so that one of up to lateFactor times that plus
	// the usual error of predictions is still within the shortest goal of model routes, 400 ms.
	lateFactor = 1.5
	jitter     = 60 * time.Millisecond
	// decayTime is the time constant with which answers lose weight. An engine answers some 8
	// requests a second, so that the late ones of half a second are enough to act. Without
	// requests the ratio is gone decayTime * ln(maxLate/ignored), 4 s, after the last late answer;
	// it falls gradually, so that the engine is tried with a request before.
	decayTime = 3 * time.Second
	// ignored is how many late answers prove nothing, proof how many count in full: single ones
	// have causes of their own, such as a queue that was not known yet, and boxes report them
	// without the answers in time of the same engine. Each answer in time of a suspected engine
	// cancels a late one.
	ignored = 2
	proof   = 4
	// confirmed is how many late answers one counts as of an engine that was tried although it has
	// a ratio: it alone is more than ignored, so that each trial costs one late answer and not
	// proof of them.
	confirmed = ignored + 1
	// maxLate and minLate bound what one box's answers prove, so that what was observed for long
	// is forgotten as soon as what was observed for a second.
	maxLate = 8
	minLate = -1
	// maxRatio bounds the ratio. An engine 8 times slower gets no work unless all are busy for
	// longer than a goal.
	maxRatio = 8
	// maxTook bounds one answer, as in package throughput: longer waits have other causes.
	maxTook = 4 * time.Second
	// ownFault is the share of late answers over all engines above which the cause is this box
	// (it was paused, or is short of processor time) or the whole pool, until the share is below
	// ownFaultEnds. Even if a third of the engines is slow, most answers are normal. With one limit
	// for both, a pool that had become 3 times slower was learned as slower a second later, as
	// the share falls below ownFault while it is learned.
	ownFault     = 2.0 / 3
	ownFaultEnds = 1.0 / 2
	// minAnswers is how many answers that judgement needs.
	minAnswers = 2
	// answerDecay lowers the weight of earlier answers in that judgement with each answer, so that
	// about the last 20 count. By decayTime alone, late answers of a pool that had become 3 times slower
	// or more were left out of its learned speed for over 3 s.
	answerDecay = 0.95
	// maxEngines bounds the state: more than the engines in use at the largest deployment.
	maxEngines = 1024
	// resolution is the unit of Evidence.LateTenths. Less than negligible, in either direction, is
	// dropped: a late answer without another one is forgotten after 2 s.
	resolution = 0.1
	negligible = 0.5
)

// Evidence is what recent answers of one engine show.
type Evidence struct {
	// Expected is the time that the first events should have taken, Took the time they took.
	Expected, Took time.Duration
	// LateTenths counts the late answers among them less those in time, in tenths, as they lose
	// weight. It may be negative.
	LateTenths int
}

// Add returns the sum of two boxes' evidence.
func (e Evidence) Add(b Evidence) Evidence {
	return Evidence{e.Expected + b.Expected, e.Took + b.Took, e.LateTenths + b.LateTenths}
}

// Ratio returns by which factor first events are expected to be later than predicted, 1 to
// maxRatio, and by which factor they may be. Without further late answers both fall gradually, the
// first one sooner, so that an engine is tried again with requests that it answers within their
// goal even if it still is slow.
func (e Evidence) Ratio() (expected, possible float64) {
	weight := min((float64(e.LateTenths)*resolution-ignored)/(proof-ignored), 1)
	if weight <= 0 || e.Expected <= 0 || e.Took <= e.Expected {
		return 1, 1
	}
	excess := min(float64(e.Took)/float64(e.Expected), maxRatio) - 1
	// With the weight itself for both, more than twice as many answers were late in TestUnevenPool.
	return 1 + weight*weight*excess, 1 + math.Sqrt(weight)*excess
}

// IsUneven reports whether ratios tell the engines of a pool apart, given how many are slow. If
// most are, the pool as a whole is short of room and queues are longer than predicted; scaling
// predictions then made more answers late, as work gathered at the few engines without a ratio.
func IsUneven(slow, engines int) bool { return 2*slow <= engines }

// Tracker holds what the answers to one box's requests show. The zero value is ready; it is not
// safe for concurrent use.
type Tracker struct {
	engines map[uint64]*sum
	// all are the answers of all engines.
	all sum
	// ownFault is whether the cause of late answers was last found to be common to all engines.
	ownFault bool
}

// sum adds up answers whose weight decays, as of at.
type sum struct {
	expected, took float64
	// late counts the late answers, inTime the others; of one engine, late is their difference.
	late, inTime float64
	at           time.Time
}

func (s *sum) decay(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		left := math.Exp(-float64(passed) / float64(decayTime))
		s.expected, s.took, s.late, s.inTime, s.at = s.expected*left, s.took*left, s.late*left, s.inTime*left, now
	}
}

// Observe learns from an answer of an engine: the time to its first event as predicted, without
// any ratio, and as it was. Suspected says that the engine was placed with a ratio, which an answer
// in time then contradicts. It reports whether the answer was late because of the engine, so that
// it is no sample of the pool's usual speed.
func (t *Tracker) Observe(now time.Time, engine uint64, predicted, took time.Duration, suspected bool) bool {
	took = min(took, maxTook)
	late := took > time.Duration(lateFactor*float64(predicted))+jitter
	t.all.decay(now)
	t.all.late *= answerDecay
	t.all.inTime *= answerDecay
	if late {
		t.all.late++
	} else {
		t.all.inTime++
	}
	if t.notEngines(now) {
		clear(t.engines) // The late answers until this was found had the same cause.
		return false
	}
	if s := t.of(now, engine, late || suspected); s != nil {
		s.expected += float64(predicted)
		s.took += float64(took)
		switch {
		case late && suspected:
			s.late = min(s.late+confirmed, maxLate)
		case late:
			s.late = min(s.late+1, maxLate)
		default:
			s.late = max(s.late-1, minLate)
		}
	}
	return late
}

// of returns an engine's sum, decayed to now, or nil if there is none and none may be created.
func (t *Tracker) of(now time.Time, engine uint64, create bool) *sum {
	s := t.engines[engine]
	if s == nil {
		if !create || len(t.engines) >= maxEngines {
			return nil
		}
		if t.engines == nil {
			t.engines = make(map[uint64]*sum)
		}
		s = &sum{at: now}
		t.engines[engine] = s
	}
	s.decay(now)
	return s
}

// Of returns what this box knows of an engine.
func (t *Tracker) Of(now time.Time, engine uint64) Evidence {
	s := t.engines[engine]
	if s == nil || t.notEngines(now) {
		return Evidence{}
	}
	s.decay(now)
	if math.Abs(s.late) < negligible {
		return Evidence{}
	}
	return Evidence{time.Duration(s.expected), time.Duration(s.took), int(s.late / resolution)}
}

// notEngines reports whether so many answers were late that single engines aren't the cause.
func (t *Tracker) notEngines(now time.Time) bool {
	t.all.decay(now)
	answers := t.all.late + t.all.inTime
	limit := ownFault
	if t.ownFault {
		limit = ownFaultEnds
	}
	t.ownFault = answers >= minAnswers && t.all.late > limit*answers
	return t.ownFault
}

// Each calls yield with what this box reports to others: the engines with late
// answers, and those that it heard to be slow and that answered in time.
func (t *Tracker) Each(now time.Time, yield func(engine uint64, e Evidence)) {
	for engine := range t.engines {
		if e := t.Of(now, engine); e.LateTenths != 0 {
			yield(engine, e)
		}
	}
}

// IsEmpty reports whether no engine had a late answer lately.
func (t *Tracker) IsEmpty() bool { return len(t.engines) == 0 }

// Expire drops the engines without recent late answers. Call it about once a second.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.engines, func(_ uint64, s *sum) bool {
		s.decay(now)
		return math.Abs(s.late) < negligible
	})
}
