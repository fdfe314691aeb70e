package entry

import (
	"fmt"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fairshare"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/waitqueue"
)

// This file shares with other boxes what each client account's requests use of the pools that are
// short of room; package fairshare holds the state. The admission queue orders by it.

// waitReportFor is how long an account is reported as waiting in a queue after a request of it was
// last placed from there, or after its first one was queued. Other boxes leave room to it meanwhile.
// An account under its share goes first and so waits less than a goal of 1.2 s while any room becomes
// free; one that waits longer can't use that room, for example because of its allowed regions.
const waitReportFor = time.Second

// codeCrowded is the refusal's code where no engine has memory for a request.
const codeCrowded = "crowded"

// noteShort records that this box, as the one that places, queued or refused a request of an
// account for want of room. While the last one is at most fairshare.ShortFor ago, boxes report
// what accounts use of the pool.
func (t *tables) noteShort(now time.Time, pool, account string) {
	t.accounts.NoRoom(now, pool, account)
}

// accountUsage is the engine memory, in tokens over all boxes as far as known, that an account's
// running requests use at a pool. An empty account stands for all callers without one.
func (t *tables) accountUsage(pool, account string) int {
	return t.accounts.Usage(pool, account)
}

// isShort reports whether this box knows a pool to be short of room.
func (t *tables) isShort(now time.Time, pool string) bool {
	return slices.Contains(t.accounts.Short(now), pool)
}

// accountName returns the name of a job's account, or an empty string if it has none.
func accountName(job *deliver.Job) string {
	if job.Account == nil {
		return ""
	}
	return job.Account.Name
}

// beginAccount counts a request that this box sends, endAccount its end.
func (t *tables) beginAccount(job *deliver.Job, place deliver.Placement) {
	t.accounts.Begin(job.Pool.Name, accountName(job), place.Tokens)
}

func (t *tables) endAccount(m attemptEnded) {
	if m.Job != nil {
		t.accounts.End(m.Job.Pool.Name, accountName(m.Job), m.Place.Tokens)
	}
}

// accountLoads is what this box reports of accounts: the use by its own requests and, on a hub of
// a large fleet, that by the boxes that report to it. It is empty unless a pool is short of room.
func (d *Daemon) accountLoads(now time.Time, t *tables) []peer.AccountLoad {
	t.accounts.SetWaiting(t.accountsWaiting(now))
	if !t.usesHubs() || d.spoke.Load() {
		return t.accounts.Own(now)
	}
	return t.accounts.OwnAndOthers(now, t.hubs())
}

// accountsWaiting lists the accounts for whose requests in this box's queues other boxes should leave
// room.
func (t *tables) accountsWaiting(now time.Time) []fairshare.Waiting {
	var list []fairshare.Waiting
	for pool, w := range t.waiting {
		first := make(map[string]*waiter) // The longest waiting of each account.
		urgencies := make(map[string]int)
		for _, x := range w.waiters {
			account := x.queued.Account
			if before := first[account]; before == nil || x.queuedAt.Before(before.queuedAt) {
				first[account] = x
			}
			if before, known := urgencies[account]; !known || x.queued.Urgency() < before {
				urgencies[account] = x.queued.Urgency()
			}
		}
		for account, x := range first {
			if now.Sub(x.queuedAt) < waitReportFor || now.Sub(w.placedAt[account]) < waitReportFor {
				list = append(list, fairshare.Waiting{Pool: pool, Account: account, Urgency: urgencies[account]})
			}
		}
	}
	return list
}

// yields returns whether a request leaves free room to those that wait at other boxes; it is nil if
// no request does.
func (d *Daemon) yields(now time.Time, t *tables, pool string) func(account string, urgency int) bool {
	return t.accounts.Yields(now, pool, d.accountNames)
}

// yieldsNow is yields for one request.
func (d *Daemon) yieldsNow(now time.Time, t *tables, pool string, r waitqueue.Request) bool {
	yields := d.yields(now, t, pool)
	return yields != nil && yields(r.Account, r.Urgency())
}

// accountNames lists the accounts that requests may have, with the empty one.
func (d *Daemon) accountNames() []string {
	names := []string{""}
	if table := d.current.Load(); table != nil {
		names = append(names, table.AccountNames()...)
	}
	return names
}

// accountLoadsTo returns the only gossip partner that gets this box's account loads, if there must
// be only one. A hub passes on what it hears from boxes that are not among the hubs, so a box that
// acts as a hub without being one of them would otherwise count once for each hub that it calls.
func (d *Daemon) accountLoadsTo(now time.Time, t *tables, partners []string) (name string, one bool) {
	if d.spoke.Load() || !t.usesHubs() || slices.Contains(t.hubs(), d.Settings.Name) {
		return "", false
	}
	return d.firstHub(now, t, func(name string, m *member) bool {
		return !now.Before(m.retryAt) && slices.Contains(partners, name)
	}), true
}

// receiveViewShort applies which pools a hub's view lists as short of room. A box that acts as a hub
// without being among the hubs gets views, too.
func (t *tables) receiveViewShort(now time.Time, m peerAnswered) {
	if m.answer.View != nil {
		t.accounts.HearShort(now, m.name, m.answer.View.Short)
	}
}

// receiveAccounts applies what another box reported of accounts.
func (t *tables) receiveAccounts(now time.Time, m peer.Message) {
	if t.members[m.From] == nil {
		return
	}
	t.accounts.HearShort(now, m.From, m.ShortPools)
	t.accounts.HearLoads(now, m.From, m.AccountLoads)
}

// expireAccounts drops what other boxes have not repeated within peerLoadTTL. Their accounts then
// count as using what this box's own requests use.
func (d *Daemon) expireAccounts(now time.Time, t *tables) {
	changes := t.accounts.Expire(now, now.Add(-peerLoadTTL))
	d.metrics.shortPools.Set(float64(len(t.accounts.ShortHere(now))))
	for _, change := range changes {
		d.Log.Info("pool's room", "pool", change.Pool, "short", change.Short, "lasted", change.Lasted, "most_used_by", d.largestAccounts(change.At, t, change.Pool))
	}
}

// largestAccounts describes the three accounts that use most of a pool.
func (d *Daemon) largestAccounts(now time.Time, t *tables, pool string) []string {
	list := t.accounts.Shares(now, pool, d.accountNames())
	texts := make([]string, min(len(list), 3))
	for i := range texts {
		texts[i] = fmt.Sprintf("%s: %d tokens, share %d", list[i].Account, list[i].Used, list[i].Share)
	}
	return texts
}
