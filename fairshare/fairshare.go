// Package fairshare tracks how much engine memory each client account's running requests use at
// each pool, over all boxes, and which accounts use more than their max-min share while a pool is
// short of room.
//
//	t := fairshare.New()
//	t.Begin("models", "menu-app", 12000) // a request of this box was placed
//	t.NoRoom(now, "models", "menu-app")  // one was queued or refused for want of room
//	message.AccountLoads = t.Own(now)    // empty while no pool is short
//	used := t.Usage("models", "menu-app")
//
// It answers the load of one account that asks for several times its share of a full pool. In the
// order of arrival such an account also gets several times the memory, and the others' requests
// are late; in the order of least usage, all get what they ask for up to an equal share.
//
// Boxes name an account and a pool to each other by a hash of four bytes. Two accounts of a pool
// whose hashes are equal count as one: each seems to use what both use, goes behind accounts that
// use less and is listed once. With 24 accounts that happens in 7 of 100 million pools.
package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/peerload"
	"github.com/thymewind/thymewind/placement"
)

const (
	// ShortFor is how long a pool counts as short of room after a request last found none. A
	// burst lasts 4 to 7 s, and callers refused in it return within some hundred milliseconds:
	// the state lasts through one burst and ends soon after it.
	ShortFor = 2 * time.Second
	// settleTime is how long after a pool became short its transition is reported: by then all
	// boxes know of it and have sent their loads once, which takes up to two rounds of 150 ms.
	settleTime = 500 * time.Millisecond
	// maxLoads bounds the loads in one message, to some 3 kB. Those of accounts whose requests wait
	// and the largest are sent.
	maxLoads = 256
	// waitsTTL is how long an account counts as waiting at another box after that was last heard:
	// two rounds of the 150 ms in which boxes of a small fleet exchange loads, and some more. In that
	// time room may stay free for a request that was placed meanwhile.
	waitsTTL = 400 * time.Millisecond
)

// Tracker is not safe for concurrent use.
type Tracker struct {
	// Weight returns the weight of an account's share; nil gives each account a weight of 1.
	Weight func(account string) float64

	// own are the tokens of this box's running requests, by pool and key, without zero entries.
	own map[string]map[uint32]int
	// others are the tokens that other boxes reported, by key.
	others *peerload.Totals
	// waiting are the accounts whose requests wait at this box, waitingAt those at other boxes.
	waiting   map[uint32]int
	waitingAt map[string]waitReport
	// short are the pools that this box knows to be short of room.
	short map[string]*shortage
}

// shortage is the state of a pool that is short of room.
type shortage struct {
	// begunAt is when this box first found no room, lastAt when it last did; both are zero if only
	// other boxes are short. announced says that the transition was reported.
	begunAt, lastAt time.Time
	announced       bool
	// unserved is when each account last found no room here, by key.
	unserved map[uint32]time.Time
	// reportedAt is when other boxes last reported the pool as short.
	reportedAt map[string]time.Time
}

// Waiting is an account with requests in this box's queue of a pool, and the highest urgency
// of these.
type Waiting struct {
	Pool, Account string
	// Urgency is lower for requests that go first.
	Urgency int
}

// waitReport is which accounts' requests wait at another box: one more than the lowest Urgency,
// by key.
type waitReport struct {
	at    time.Time
	waits map[uint32]int
}

// Transition says that this box became short of room for a pool, or no longer is.
type Transition struct {
	Pool  string
	Short bool
	// Lasted is the time since the shortage began.
	Lasted time.Duration
	// At is the time for which the shares have to be computed.
	At time.Time
}

// New returns a tracker without any requests.
func New() *Tracker {
	return &Tracker{own: make(map[string]map[uint32]int), others: peerload.New(), waitingAt: make(map[string]waitReport), short: make(map[string]*shortage)}
}

// Key identifies an account at a pool in messages between boxes.
func Key(pool, account string) uint32 { return uint32(placement.Hash(pool + "\x00" + account)) }

// Begin counts a request that this box sent to a target of a pool.
func (t *Tracker) Begin(pool, account string, tokens int) {
	if tokens <= 0 {
		return
	}
	if t.own[pool] == nil {
		t.own[pool] = make(map[uint32]int)
	}
	t.own[pool][Key(pool, account)] += tokens
}

// End counts the end of a request that Begin counted.
func (t *Tracker) End(pool, account string, tokens int) {
	if tokens <= 0 {
		return
	}
	key := Key(pool, account)
	if left := t.own[pool][key] - tokens; left > 0 {
		t.own[pool][key] = left
		return
	}
	delete(t.own[pool], key)
	if len(t.own[pool]) == 0 {
		delete(t.own, pool)
	}
}

// Usage returns the tokens that an account's running requests use at a pool over all boxes.
func (t *Tracker) Usage(pool, account string) int {
	key := Key(pool, account)
	return t.own[pool][key] + t.others.Of(uint64(key)).Tokens
}

// NoRoom records that this box, as the one that places, queued or refused a request of an account
// for want of room.
func (t *Tracker) NoRoom(now time.Time, pool, account string) {
	s := t.shortage(pool)
	if !s.here(now) && !s.announced {
		s.begunAt = now
	}
	s.lastAt = now
	s.unserved[Key(pool, account)] = now
}

// ShortHere lists the pools for which this box found no room within ShortFor, in order.
func (t *Tracker) ShortHere(now time.Time) []string {
	var pools []string
	for pool, s := range t.short {
		if s.here(now) {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// Short lists the pools for which this box or one that reports to it is short of room, in order.
func (t *Tracker) Short(now time.Time) []string {
	var pools []string
	for pool, s := range t.short {
		if s.here(now) || len(s.reportedAt) > 0 {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// HearShort replaces the pools that another box reported as short of room.
func (t *Tracker) HearShort(now time.Time, box string, pools []string) {
	for _, pool := range pools {
		t.shortage(pool).reportedAt[box] = now
	}
	for pool, s := range t.short {
		if !slices.Contains(pools, pool) {
			delete(s.reportedAt, box)
		}
	}
}

// HearLoads replaces the loads that another box reported.
func (t *Tracker) HearLoads(now time.Time, box string, loads []peer.AccountLoad) {
	delete(t.waitingAt, box)
	if len(loads) == 0 && len(t.Short(now)) == 0 {
		t.others.Drop(box)
		return
	}
	list := make([]peer.TargetLoad, len(loads))
	waits := make(map[uint32]int)
	for i, x := range loads {
		list[i] = peer.TargetLoad{Target: uint64(x.Key), Tokens: x.Tokens}
		if x.Waits > 0 {
			waits[x.Key] = x.Waits
		}
	}
	if len(waits) > 0 {
		t.waitingAt[box] = waitReport{now, waits}
	}
	t.others.Set(now, box, list)
}

// Place counts a request that this box placed for another one, until that box's next report. It
// changes nothing for a box that has not reported, as that box's first report holds the request.
func (t *Tracker) Place(box, pool, account string, tokens int) {
	if tokens > 0 && t.short[pool] != nil {
		t.others.Add(box, peer.TargetLoad{Target: uint64(Key(pool, account)), Tokens: tokens})
	}
}

// SetWaiting replaces which accounts are reported as having requests in this box's queues.
func (t *Tracker) SetWaiting(list []Waiting) {
	t.waiting = nil
	for _, x := range list {
		if t.waiting == nil {
			t.waiting = make(map[uint32]int)
		}
		addWait(t.waiting, Key(x.Pool, x.Account), x.Urgency+1)
	}
}

// addWait adds requests that wait, of which the most urgent count.
func addWait(waits map[uint32]int, key uint32, wait int) {
	if before := waits[key]; before == 0 || wait < before {
		waits[key] = wait
	}
}

// Own returns the loads of this box's requests at the pools that are short of room.
func (t *Tracker) Own(now time.Time) []peer.AccountLoad {
	if len(t.short) == 0 {
		return nil
	}
	return t.loads(now, nil)
}

// OwnAndOthers returns the loads of this box's requests at the pools that are short of room, and
// those that boxes other than the named ones reported.
func (t *Tracker) OwnAndOthers(now time.Time, except []string) []peer.AccountLoad {
	if len(t.short) == 0 {
		return nil
	}
	return t.loads(now, t.others.Without(except))
}

// loads sums the own loads and the given ones, the largest first.
func (t *Tracker) loads(now time.Time, others map[uint64]peer.TargetLoad) []peer.AccountLoad {
	pools := t.Short(now)
	if len(pools) == 0 {
		return nil
	}
	sum := make(map[uint32]int, len(others))
	for key, x := range others {
		sum[uint32(key)] += x.Tokens
	}
	for _, pool := range pools {
		for key, tokens := range t.own[pool] {
			sum[key] += tokens
		}
	}
	for key := range t.waiting {
		sum[key] += 0 // Listed, too, if it uses nothing.
	}
	var list []peer.AccountLoad
	for key, tokens := range sum {
		if wait := t.waiting[key]; tokens > 0 || wait > 0 {
			list = append(list, peer.AccountLoad{Key: key, Tokens: tokens, Waits: wait})
		}
	}
	slices.SortFunc(list, func(a, b peer.AccountLoad) int {
		return cmp.Or(cmp.Compare(min(b.Waits, 1), min(a.Waits, 1)), cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(len(list), maxLoads)]
}

// Expire drops what other boxes last reported before a time, and the pools that are no longer
// short. It returns the transitions of this box's own shortages since the last call: the beginning
// of each is reported settleTime later, so that the other boxes' loads are known.
func (t *Tracker) Expire(now, since time.Time) []Transition {
	t.others.Expire(since)
	maps.DeleteFunc(t.waitingAt, func(_ string, r waitReport) bool { return now.Sub(r.at) >= waitsTTL })
	var list []Transition
	for pool, s := range t.short {
		maps.DeleteFunc(s.unserved, func(_ uint32, at time.Time) bool { return s.lastAt.Sub(at) >= ShortFor })
		maps.DeleteFunc(s.reportedAt, func(_ string, at time.Time) bool { return at.Before(since) })
		if here := s.here(now); here != s.announced && (!here || now.Sub(s.begunAt) >= settleTime) {
			s.announced = here
			list = append(list, Transition{pool, here, now.Sub(s.begunAt), s.lastAt})
			continue // The pool is kept until the next call, so that its shares can be computed.
		}
		if !s.here(now) && len(s.reportedAt) == 0 {
			delete(t.short, pool)
		}
	}
	return list
}

// shortage returns the state of a pool, which is added if it is new.
func (t *Tracker) shortage(pool string) *shortage {
	s := t.short[pool]
	if s == nil {
		s = &shortage{unserved: make(map[uint32]time.Time), reportedAt: make(map[string]time.Time)}
		t.short[pool] = s
	}
	return s
}

// here reports whether this box itself found no room within ShortFor.
func (s *shortage) here(now time.Time) bool {
	return !s.lastAt.IsZero() && now.Sub(s.lastAt) < ShortFor
}
