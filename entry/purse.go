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
	// hubRetryShare is the part of what all boxes may save up that hubs hold together; drawnShare
	// is that of boxes that hear none.
	hubRetryShare = 0.45
	// retryCallTimeout bounds the call for a retry: the request waits for it.
	retryCallTimeout = 50 * time.Millisecond
)

// retryBudgetSource is who keeps this box's retries.
type retryBudgetSource struct {
	// local says that this box is a hub and keeps them itself; at is where another is asked.
	local bool
	hub   netip.AddrPort
}

// chooseRetryBudget notes who keeps this box's retries: nobody, unless there are too many boxes for
// each to save up one, and a hub.
func (d *Daemon) chooseRetryBudget(now time.Time, t *tables) {
	all := d.bounds.Load().RetryExtra * retryUse
	hub := t.members[t.hub]
	switch {
	case !t.hasUnregistered(now) || float64(t.boxCount(now)) <= all:
		d.retryBudget.Store(nil)
	case !d.spoke.Load():
		d.sharedRetryBudget.SetBurst(hubRetryShare * all / float64(max(len(t.hubs()), 1)))
		d.retryBudget.Store(&retryBudgetSource{local: true})
	case hub != nil && !d.hubless(now, t):
		d.sharedRetryBudget.SetBurst(1) // Until the next gossip.
		d.retryBudget.Store(&retryBudgetSource{hub: hub.address})
	default:
		d.retryBudget.Store(nil)
	}
}

// earn notes a request, which earns a part of a retry.
func (d *Daemon) earn(pool string) {
	if d.retryBudget.Load() == nil {
		d.budget.Deposit(pool)
		return
	}
	d.sharedRetryBudget.Deposit(pool, d.budget.Share)
}

// spend takes a retry, or returns false if there is none.
func (d *Daemon) spend(pool string) bool {
	l := d.retryBudget.Load()
	switch {
	case l == nil:
		return d.budget.Spend(pool)
	case l.local:
		return d.sharedRetryBudget.Spend(pool)
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryCallTimeout)
	defer cancel()
	answer, err := d.peers.Call(ctx, l.hub, peer.Message{Kind: peer.KindRetry, From: d.Settings.Name, RetryPool: pool})
	if err != nil {
		d.Log.Warn("the hub was not asked for a retry", "hub", l.hub, "pool", pool, "err", err)
		return false
	}
	return answer.RetryGranted
}

// refund gives back a retry that was taken and never made.
func (d *Daemon) refund(pool string) {
	if d.retryBudget.Load() == nil {
		d.budget.Refund(pool)
		return
	}
	d.sharedRetryBudget.Deposit(pool, 1)
}

// takeCredits is what this box's requests earned since it last told a hub; nil unless a hub keeps it.
func (d *Daemon) takeCredits() map[string]float64 {
	if l := d.retryBudget.Load(); l == nil || l.local {
		return nil
	}
	return d.sharedRetryBudget.Drain()
}

// receiveCredits puts in what another box's requests earned.
func (d *Daemon) receiveCredits(m peer.Message) {
	if l := d.retryBudget.Load(); l == nil || !l.local {
		return
	}
	for pool, amount := range m.RetryCredits {
		d.sharedRetryBudget.Deposit(pool, amount)
	}
}
