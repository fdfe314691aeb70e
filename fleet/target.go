package fleet

import (
	"net/netip"
	"time"
)

// Target is one replica as this box sees it.
type Target struct {
	// ID names the replica, Born the start from which it lives; a platform that does
	// not tell the latter gives each start another ID. A Target is of one life.
	ID        string
	StartedAt time.Time
	Address   netip.AddrPort
	Domain    string
	Pool      string
	Slots     int
	// Software is the version of its software, ListedAt when this box first heard of it.
	Software string
	ListedAt time.Time
	// Leaving is set once the list, or the target itself, says so and never unset.
	Leaving bool
	// BackoffUntil is until when the target wants no requests from this box, as it said;
	// zero if it did not. It says nothing of other boxes' requests.
	BackoffUntil time.Time
	// Limited says that it takes no more than Rate requests a second of all boxes together,
	// as it said. Rate is never negative.
	Limited bool
	Rate    float64
	// Evacuated says that its failure domain is to get no work.
	Evacuated bool
	// Versions are the weight versions by model, as far as known.
	Versions map[string]int64
	// StaleVersions are the weight versions, by model, with which it came into the list
	// although newer ones were named: the stores may be being cleared of parts
	// made on them, as nobody knew of it, so it fetches none. That costs it the
	// reading of shared parts until it has newer weights, within seconds.
	StaleVersions map[string]int64
	// Orders counts the orders that the replica took, as the list tells.
	Orders uint64
	// LoadingUntil is until when it is thought to load weights.
	LoadingUntil time.Time
	// ColdUntil is until when it is slow from its start, by what it last said;
	// MaybeColdUntil the same where it may have become so unheard.
	ColdUntil, MaybeColdUntil time.Time
	// FeedLost says that its news broke off: it may have started again.
	FeedLost bool
	// LapsedAt is when the list lost the entry after an outage of the platform;
	// zero if the entry stands.
	LapsedAt time.Time

	// InFlight counts this box's requests there.
	InFlight int
	// PrefillBacklog sums the prompt tokens sent by this box that wait to be read,
	// Tokens the memory that its requests take up.
	PrefillBacklog, Tokens int
	// waiting counts requests that have not been answered at all, since the
	// first of them was sent.
	waiting      int
	waitingSince time.Time
	// heard is when anything last came from it.
	heard time.Time
	// failures counts failures in a row; avoid is until when they keep new work
	// away.
	failures int
	avoid    time.Time
	// failedAt is when it last failed so, backAt when something came from it after that.
	failedAt, backAt time.Time
	// bad and good are decayed counts of how requests ended, as of scored.
	bad, good float64
	scored    time.Time
}

// Patience of the evidence against a target.
const (
	// firstAvoid and longestAvoid bound how long a target is avoided after
	// failures in a row; it doubles in between. The first is about the time in
	// which a crashed process is noticed by another caller as well.
	firstAvoid   = 200 * time.Millisecond
	longestAvoid = 2 * time.Second
	// scoreHalf is how long it takes for evidence to count half.
	scoreHalf = 3 * time.Second
	// leastScore is how many ended requests a share of failures needs, and
	// greyShare is the share from which a target is used last only. Services
	// answer up to 15% failures of their own.
	leastScore = 4
	greyShare  = 0.3
)

// Incarnation names the target's.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.StartedAt} }

// Sent notes a request that goes out.
func (t *Target) Sent(now time.Time, unread, tokens int) {
	if t.waiting == 0 {
		t.waitingSince = now
	}
	t.waiting++
	t.InFlight++
	t.PrefillBacklog += unread
	t.Tokens += tokens
}

// Began notes that a request's answer has begun.
func (t *Target) Began(now time.Time, unread int) {
	t.waiting--
	t.PrefillBacklog -= unread
	t.Heard(now)
}

// Heard notes a sign of life.
func (t *Target) Heard(now time.Time) {
	t.heard = now
	t.failures = 0
	if t.backAt.IsZero() {
		t.backAt = now
	}
}

// Ended notes how a request ended, and whether Began was called.
func (t *Target) Ended(now time.Time, began bool, unread, tokens int, failed bool) {
	t.InFlight--
	t.Tokens -= tokens
	if !began {
		t.waiting--
		t.PrefillBacklog -= unread
	}
	t.score(now, failed)
}

// Fail notes that the target could not be reached or broke off.
func (t *Target) Fail(now time.Time) {
	pause := min(firstAvoid<<min(t.failures, 8), longestAvoid)
	t.failures++
	t.avoid = now.Add(pause)
	t.failedAt, t.backAt = now, time.Time{}
}

func (t *Target) score(now time.Time, failed bool) {
	fade := 0.5
	if passed := now.Sub(t.scored); passed < 10*scoreHalf {
		fade = halved(passed)
	} else {
		t.bad, t.good = 0, 0
	}
	t.bad, t.good, t.scored = t.bad*fade, t.good*fade, now
	if failed {
		t.bad++
		return
	}
	t.good++
}

// halved returns how much evidence counts after a time, by steps of a half.
func halved(passed time.Duration) float64 {
	share := 1.0
	for ; passed >= scoreHalf; passed -= scoreHalf {
		share /= 2
	}
	return share * (1 - 0.5*float64(passed)/float64(scoreHalf))
}

// Grey says that the target fails an unusual share of its requests.
func (t *Target) Grey(now time.Time) bool {
	total := t.bad + t.good
	return now.Sub(t.scored) < scoreHalf && total >= leastScore && t.bad/total > greyShare
}

// Silent says that requests wait there and nothing came for the time given.
func (t *Target) Silent(now time.Time, patience time.Duration) bool {
	if t.waiting == 0 {
		return false
	}
	last := t.waitingSince
	if t.heard.After(last) {
		last = t.heard
	}
	return now.Sub(last) > patience
}

// Ejected says that recent failures keep new work away.
func (t *Target) Ejected(now time.Time) bool { return now.Before(t.avoid) }

// Cold says that the target is slow from a start, or may be.
func (t *Target) Cold(now time.Time) bool {
	return now.Before(t.ColdUntil) || now.Before(t.MaybeColdUntil) || t.FeedLost
}

// Recovering says that the target could not be reached, and has not been heard again for
// as long as one that started meanwhile stays cold.
func (t *Target) Recovering(now time.Time, cold time.Duration) bool {
	return !t.failedAt.IsZero() && (t.backAt.IsZero() || now.Sub(t.backAt) < cold)
}

// InBackoff says that the target wants no requests from this box.
func (t *Target) InBackoff(now time.Time) bool { return now.Before(t.BackoffUntil) }

// Loading says that the target is thought to load weights.
func (t *Target) Loading(now time.Time) bool { return now.Before(t.LoadingUntil) }
