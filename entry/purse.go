package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// In a fleet of more boxes than may each save up a retry, hubs keep the retries: boxes pay in
// what their requests earn, with their gossip, and ask for one where a request has to be tried
// again: parts below one would leave most requests without a retry while the fleet has many. A box
// that hears no hub has what it is drawn for (drawnBurst).

const (
	// purseShare is the part of what all boxes may save up that hubs hold together; drawnShare
	// is that of boxes that hear none.
	purseShare = 0.45
	// retryWithin bounds the call for a retry: the request waits for it.
	retryWithin = 50 * time.Millisecond
)

// lender is who keeps this box's retries.
type lender struct {
	// own says that this box is a hub and keeps them itself; at is where another is asked.
	own bool
	at  netip.AddrPort
}

// chooseLender notes who keeps this box's retries: nobody, unless there are too many boxes for
// each to save up one, and a hub.
func (d *Daemon) chooseLender(now time.Time, t *tables) {
	all := d.bounds.Load().RetryExtra * retryUse
	hub := t.members[t.hub]
	switch {
	case !t.partly(now) || float64(t.boxes(now)) <= all:
		d.lender.Store(nil)
	case !d.spoke.Load():
		d.purse.Bound(purseShare * all / float64(max(len(t.hubs()), 1)))
		d.lender.Store(&lender{own: true})
	case hub != nil && !d.lone(now, t):
		d.purse.Bound(1) // Until the next gossip.
		d.lender.Store(&lender{at: hub.at})
	default:
		d.lender.Store(nil)
	}
}

// earn notes a request, which earns a part of a retry.
func (d *Daemon) earn(pool string) {
	if d.lender.Load() == nil {
		d.budget.Request(pool)
		return
	}
	d.purse.Pay(pool, d.budget.Share)
}

// spend takes a retry, or returns false if there is none.
func (d *Daemon) spend(pool string) bool {
	l := d.lender.Load()
	switch {
	case l == nil:
		return d.budget.Spend(pool)
	case l.own:
		return d.purse.Spend(pool)
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryWithin)
	defer cancel()
	answer, err := d.peers.Call(ctx, l.at, peer.Message{Kind: peer.KindRetry, From: d.Settings.Name, Pool: pool})
	if err != nil {
		d.Log.Warn("the hub was not asked for a retry", "hub", l.at, "pool", pool, "err", err)
		return false
	}
	return answer.Granted
}

// refund gives back a retry that was taken and never made.
func (d *Daemon) refund(pool string) {
	if d.lender.Load() == nil {
		d.budget.Refund(pool)
		return
	}
	d.purse.Pay(pool, 1)
}

// paid is what this box's requests earned since it last told a hub; nil unless a hub keeps it.
func (d *Daemon) paid() map[string]float64 {
	if l := d.lender.Load(); l == nil || l.own {
		return nil
	}
	return d.purse.Empty()
}

// takePaid puts in what another box's requests earned.
func (d *Daemon) takePaid(m peer.Message) {
	if l := d.lender.Load(); l == nil || !l.own {
		return
	}
	for pool, amount := range m.Earned {
		d.purse.Pay(pool, amount)
	}
}
