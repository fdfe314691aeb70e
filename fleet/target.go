package fleet

import (
	"net/netip"
	"time"
)

// Target is one replica as this box sees it.
type Target struct {
	// ID names the replica, StartedAt the start of this incarnation; a platform that does
	// not report start times gives each start a new ID. A Target is one incarnation.
	ID        string
	StartedAt time.Time
	Address   netip.AddrPort
	Domain    string
	Pool      string
	Slots     int
	// Software is the version of its software, ListedAt when this box first learned of it.
	Software string
	ListedAt time.Time
	// Unannounced is set until the table service is known to have Software among the versions of the
	// pool that may begin streams.
	Unannounced bool
	// Leaving is set once the list or the target itself says so, and never reset.
	Leaving bool
	// BackoffUntil is until when the target asked for no requests from this box; zero if it
	// did not. It does not apply to other boxes' requests.
	BackoffUntil time.Time
	// Limited is set if the target accepts at most Rate requests a second from all boxes
	// together, as it reported. Rate is never negative.
	Limited bool
	Rate    float64
	// Evacuated is set if its failure domain is to get no work.
	Evacuated bool
	// Versions are the known weight versions by model.
	Versions map[string]int64
	// StaleVersions are the weight versions, by model, with which it joined the list
	// although newer ones were named. As no box knew of it, parts made on these versions may
	// be being freed from the stores, so it fetches none. It recomputes shared parts until
	// it has newer weights, within seconds.
	StaleVersions map[string]int64
	// Orders is the number of orders the replica has accepted, as the list reports.
	Orders uint64
	// LoadingUntil is until when it is expected to load weights.
	LoadingUntil time.Time
	// ColdUntil is until when it is slow after its start, by its last report; MaybeColdUntil
	// is the same for a restart that may have gone unnoticed.
	ColdUntil, MaybeColdUntil time.Time
	// FeedLost is set while its cache events cannot be read: it may have restarted.
	FeedLost bool
	// LapsedAt is when its entry disappeared from the list after an outage of the platform;
	// zero if the entry is there.
	LapsedAt time.Time

	// InFlight counts this box's requests there.
	InFlight int
	// PrefillBacklog is the prompt tokens sent by this box that wait for prefill, Tokens the
	// memory that its requests take up.
	PrefillBacklog, Tokens int
	// waiting counts requests without any answer yet, since the first of them was sent or the
	// silence was restarted.
	waiting      int
	waitingSince time.Time
	// lastHeard is when anything was last received from it.
	lastHeard time.Time
	// failures counts failures in a row; ejectedUntil is until when they keep new work away.
	failures     int
	ejectedUntil time.Time
	// failedAt is when it last failed, recoveredAt when something was received from it after
	// that.
	failedAt, recoveredAt time.Time
	// bad and good are decayed counts of request results, as of scoredAt.
	bad, good float64
	scoredAt  time.Time
}

// Thresholds of failure detection.
const (
	// minEjection and maxEjection bound how long a target is ejected after failures in a
	// row; the time doubles in between. The first is about the time until another caller
	// notices a crashed process as well.
	minEjection = 200 * time.Millisecond
	maxEjection = 2 * time.Second
	// scoreHalfLife is how long it takes for a result to count half.
	scoreHalfLife = 3 * time.Second
	// minResults is how many results a share of failures needs, and greyShare is the share
	// from which a target is used only as a last resort. Services answer up to 15% failures
	// of their own.
	minResults = 4
	greyShare  = 0.3
)

// Incarnation returns the target's incarnation.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.StartedAt} }

// Sent records a request that is sent.
func (t *Target) Sent(now time.Time, prefillTokens, tokens int) {
	if t.waiting == 0 {
		t.waitingSince = now
	}
	t.waiting++
	t.InFlight++
	t.PrefillBacklog += prefillTokens
	t.Tokens += tokens
}

// HoldCopy records that the copy of another target's run takes up memory, ReleaseCopy that it
// no longer does.
func (t *Target) HoldCopy(tokens int) { t.Tokens += tokens }

// ReleaseCopy is the reverse of HoldCopy.
func (t *Target) ReleaseCopy(tokens int) { t.Tokens -= tokens }

// Began records the start of a request's answer.
func (t *Target) Began(now time.Time, prefillTokens int) {
	t.waiting--
	t.PrefillBacklog -= prefillTokens
	t.Heard(now)
}

// Heard records that something was received from the target.
func (t *Target) Heard(now time.Time) {
	t.lastHeard = now
	t.failures = 0
	if t.recoveredAt.IsZero() {
		t.recoveredAt = now
	}
}

// Waiting returns how many of this box's requests there have no answer yet.
func (t *Target) Waiting() int { return t.waiting }

// HeardSince reports whether something was received from the target after a time.
func (t *Target) HeardSince(at time.Time) bool { return t.lastHeard.After(at) }

// Ended records the end of a request, and whether Began was called for it.
func (t *Target) Ended(now time.Time, began bool, prefillTokens, tokens int, failed bool) {
	t.InFlight--
	t.Tokens -= tokens
	if !began {
		t.waiting--
		t.PrefillBacklog -= prefillTokens
	}
	t.score(now, failed)
}

// Fail records that the target could not be reached or broke the connection.
func (t *Target) Fail(now time.Time) {
	pause := min(minEjection<<min(t.failures, 8), maxEjection)
	t.failures++
	t.ejectedUntil = now.Add(pause)
	t.failedAt, t.recoveredAt = now, time.Time{}
}

func (t *Target) score(now time.Time, failed bool) {
	decay := 0.5
	if passed := now.Sub(t.scoredAt); passed < 10*scoreHalfLife {
		decay = decayed(passed)
	} else {
		t.bad, t.good = 0, 0
	}
	t.bad, t.good, t.scoredAt = t.bad*decay, t.good*decay, now
	if failed {
		t.bad++
		return
	}
	t.good++
}

// decayed returns the weight of a result after a time: exact at multiples of the
// half-life, linear in between.
func decayed(passed time.Duration) float64 {
	share := 1.0
	for ; passed >= scoreHalfLife; passed -= scoreHalfLife {
		share /= 2
	}
	return share * (1 - 0.5*float64(passed)/float64(scoreHalfLife))
}

// Grey reports whether the target fails an unusual share of its requests (grey failure).
func (t *Target) Grey(now time.Time) bool {
	total := t.bad + t.good
	return now.Sub(t.scoredAt) < scoreHalfLife && total >= minResults && t.bad/total > greyShare
}

// Silent reports whether requests wait there and nothing was received for longer than the
// time-out.
func (t *Target) Silent(now time.Time, timeout time.Duration) bool {
	if t.waiting == 0 {
		return false
	}
	last := t.waitingSince
	if t.lastHeard.After(last) {
		last = t.lastHeard
	}
	return now.Sub(last) > timeout
}

// Ejected reports whether recent failures keep new work away.
func (t *Target) Ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// Cold reports whether the target is slow after a start, or may be.
func (t *Target) Cold(now time.Time) bool {
	return now.Before(t.ColdUntil) || now.Before(t.MaybeColdUntil) || t.FeedLost
}

// Recovering reports whether the target could not be reached, and nothing was received from it
// since, or only for less time than a restarted one stays cold.
func (t *Target) Recovering(now time.Time, cold time.Duration) bool {
	return !t.failedAt.IsZero() && (t.recoveredAt.IsZero() || now.Sub(t.recoveredAt) < cold)
}

// InBackoff reports whether the target asked for no requests from this box.
func (t *Target) InBackoff(now time.Time) bool { return now.Before(t.BackoffUntil) }

// Loading reports whether the target is expected to load weights.
func (t *Target) Loading(now time.Time) bool { return now.Before(t.LoadingUntil) }
