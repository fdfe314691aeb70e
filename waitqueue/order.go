package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

// IsFirst reports whether a request that does not wait goes before all that do.
func (q *Queue) IsFirst(now time.Time, r Request) bool {
	if len(q.waiting) == 0 {
		return true
	}
	q.sort(now)
	return compare(q.place(now, r), q.waiting[0]) < 0
}

// place returns where a request would be in the order, which must be sorted.
func (q *Queue) place(now time.Time, r Request) *entry {
	own := &entry{Request: r, inGoal: r.inGoal(now), usage: q.Usage(r.Account)}
	for _, e := range q.waiting {
		if e.Account == r.Account && e.ID != r.ID && withinAccount(e, own) < 0 {
			own.usage += e.Tokens
		}
	}
	return own
}

// sort brings the requests in order.
func (q *Queue) sort(now time.Time) {
	if !q.sortedAt.IsZero() && now.Sub(q.sortedAt) < orderTTL {
		return
	}
	q.sortedAt = now
	for _, e := range q.grouped {
		e.inGoal = e.Request.inGoal(now)
	}
	slices.SortFunc(q.grouped, withinAccount)
	usage := make(map[string]int)
	for _, e := range q.grouped {
		used, known := usage[e.Account]
		if !known {
			used = q.Usage(e.Account)
		}
		e.usage = used
		usage[e.Account] = used + e.Tokens
	}
	slices.SortFunc(q.waiting, compare)
}

// compare orders requests of all accounts. Those that can't meet their goal any more use what the
// others leave: served first, each would make another one late. Always taking a request of the
// account that uses least, including what was taken before, is the same as sorting by what each
// request's account uses when its turn comes.
func compare(a, b *entry) int {
	if c := cmp.Or(compareUrgency(&a.Request, &b.Request), compareStanding(a, b)); c != 0 {
		return c
	}
	if a.usage == b.usage {
		return withinAccount(a, b)
	}
	return cmp.Compare(a.usage, b.usage)
}

// compareUrgency orders requests by Urgency alone.
func compareUrgency(a, b *Request) int { return cmp.Compare(a.Urgency(), b.Urgency()) }

// compareStanding puts first what can still meet its goal, and then the callers who returned when
// told to.
func compareStanding(a, b *entry) int {
	if a.inGoal != b.inGoal {
		return compareBool(b.inGoal, a.inGoal)
	}
	return compareBool(b.Returning, a.Returning)
}

// withinAccount orders requests of one account.
func withinAccount(a, b *entry) int {
	if c := cmp.Or(compareUrgency(&a.Request, &b.Request), compareStanding(a, b)); c != 0 {
		return c
	}
	if c := a.Since.Compare(b.Since); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
