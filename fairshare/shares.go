package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/thymewind/thymewind/fair"
)

// Share is what one account uses of a pool, and its max-min share of what all accounts use.
type Share struct {
	Account     string
	Used, Share int
	// Over says that the account uses more than its share.
	Over bool
}

// Shares lists the accounts that use a pool or found no room in it within ShortFor, those that use
// most first. What is divided is the memory that all of them use: an account that found no room
// wants more than it has, any other one wants what it uses. Accounts that are not named are left out.
func (t *Tracker) Shares(now time.Time, pool string, accounts []string) []Share {
	return t.shares(pool, accounts, func(key uint32) bool { return t.unserved(now, pool, key) })
}

// Yields returns whether a request of an account and an urgency leaves free room to requests that
// wait at other boxes; it is nil if no request does. That is so if the account uses more than its
// max-min share, and one that doesn't has a request of no less urgency waiting at another box.
// Each box's queue has an order of its own: without this, one that holds only requests of a large
// account takes what becomes free while other accounts' requests wait elsewhere. An account is never
// held below its share, so no two boxes yield to each other.
func (t *Tracker) Yields(now time.Time, pool string, accounts func() []string) func(account string, urgency int) bool {
	if len(t.waitingAt) == 0 {
		return nil
	}
	waits := make(map[uint32]int)
	for _, r := range t.waitingAt {
		if now.Sub(r.at) < waitsTTL {
			for key, wait := range r.waits {
				addWait(waits, key, wait)
			}
		}
	}
	if len(waits) == 0 {
		return nil
	}
	over, first := make(map[uint32]bool), 0 // The most urgent of those that are not over.
	wants := func(key uint32) bool { return waits[key] > 0 || t.waiting[key] > 0 }
	for _, s := range t.shares(pool, accounts(), wants) {
		key := Key(pool, s.Account)
		over[key] = s.Over
		if wait := waits[key]; wait > 0 && !s.Over && (first == 0 || wait < first) {
			first = wait
		}
	}
	if first == 0 {
		return nil
	}
	return func(account string, urgency int) bool { return over[Key(pool, account)] && first <= urgency+1 }
}

// shares is Shares with another definition of the accounts that want more than they have.
func (t *Tracker) shares(pool string, accounts []string, wantsMore func(key uint32) bool) []Share {
	var list []Share
	var demands []fair.Demand
	capacity := 0.0
	keys := make(map[uint32]bool)
	for _, account := range accounts {
		key := Key(pool, account)
		used, wants := t.Usage(pool, account), wantsMore(key)
		if keys[key] || used == 0 && !wants {
			continue
		}
		keys[key] = true
		demand := fair.Demand{Amount: float64(used), Weight: t.weight(account)}
		if wants {
			demand.Amount = math.Inf(1)
		}
		capacity += float64(used)
		list, demands = append(list, Share{Account: account, Used: used}), append(demands, demand)
	}
	level := fair.Level(capacity, demands)
	for i, s := range list {
		share := t.weight(s.Account) * level
		list[i].Share, list[i].Over = s.Used, float64(s.Used) > share
		if list[i].Over || wantsMore(Key(pool, s.Account)) {
			list[i].Share = int(share)
		}
	}
	slices.SortFunc(list, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Account, b.Account))
	})
	return list
}

func (t *Tracker) weight(account string) float64 {
	if t.Weight == nil {
		return 1
	}
	return t.Weight(account)
}

// unserved reports whether an account found no room here within ShortFor.
func (t *Tracker) unserved(now time.Time, pool string, key uint32) bool {
	s := t.short[pool]
	if s == nil {
		return false
	}
	at, known := s.unserved[key]
	return known && now.Sub(at) < ShortFor
}
