package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/leastrequest"
)

// isSuspect asks the loop whether a target looks dead.
func (d *Daemon) isSuspect(ctx context.Context, target string) bool {
	reply := make(chan bool, 1)
	d.postContext(ctx, suspectQuery{target, reply})
	select {
	case dead := <-reply:
		return dead
	case <-ctx.Done():
	case <-d.ended:
	}
	return false
}

// silenceTTL is how long a connection that was found silent counts against requests that wait
// on other connections to the same target. A waiting request asks after each 0.4 to 1.5 s
// whether its target looks dead; this spans several such rounds.
const silenceTTL = 3 * time.Second

// silenceSeen records that a connection to an address was found silent.
func (t *tables) silenceSeen(now time.Time, at netip.AddrPort) {
	t.silences[at] = now
	for _, id := range t.fleet.IDs() {
		if x := t.fleet.Target(id); x.Address == at {
			t.reach.Failed(now, x.Pool, id)
		}
	}
}

// looksDead reports whether a target is gone, unreachable or silent, or had a connection that
// was found silent within silenceTTL.
func (d *Daemon) looksDead(now time.Time, t *tables, id string) bool {
	x := t.fleet.Target(id)
	if x == nil || x.Ejected(now) || d.isSilent(now, t, x) {
		return true
	}
	at, silent := t.silences[x.Address]
	return silent && now.Sub(at) < silenceTTL
}

// isSilent reports whether a target has been silent for longer than a live one is. An engine
// may queue requests for seconds; its cache events show that it is alive, but only a box that
// watches it receives them.
func (d *Daemon) isSilent(now time.Time, t *tables, x *fleet.Target) bool {
	if table := d.current.Load(); table == nil || table.Pools[x.Pool] == nil || table.Pools[x.Pool].Engine == nil {
		return x.Silent(now, leastrequest.SilenceTimeout)
	}
	return t.watched[x.ID] != nil && x.Silent(now, affinity.SilenceTimeout)
}
