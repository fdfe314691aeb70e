package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// In a fleet with more boxes than retries that may be saved up, hubs keep the retry budget.
// Boxes send with their gossip what their requests earned, and ask for a retry when they need
// one. Shares below one retry a box would leave most requests without a retry while the fleet
// has many. Of the boxes that no hub answers, a random few may save up one (sampledBurst).

const (
	// hubRetryShare is the share of the fleet's saved-up retries that all hubs hold together;
	// sampledShare is that of boxes that no hub answers.
	hubRetryShare = 0.45
	// retryCallTimeout bounds the call for a retry, as the request waits for it.
	retryCallTimeout = 50 * time.Millisecond
)

// retryBudgetSource is where this box's retry budget is kept.
type retryBudgetSource struct {
	// local is true if this box is a hub and keeps it itself; hub is the hub to ask otherwise.
	local bool
	hub   netip.AddrPort
}

// chooseRetryBudget sets where this box's retry budget is kept. Each box keeps its own if all
// are listed, if there are no more of them than may save up one retry each, or if no hub
// answers.
func (d *Daemon) chooseRetryBudget(now time.Time, t *tables) {
	all := d.bounds.Load().RetryExtra * retryUtilization
	hub := t.members[t.hub]
	switch {
	case !t.hasUnlisted(now) || float64(t.boxCount(now)) <= all:
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

// earn notes a request, which earns a fraction of a retry.
func (d *Daemon) earn(pool string) {
	if d.retryBudget.Load() == nil {
		d.budget.Deposit(pool)
		return
	}
	d.sharedRetryBudget.Deposit(pool, d.budget.Share)
}

// spend takes a retry from the budget; it returns false if there is none.
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

// refund returns a retry that was taken and not made.
func (d *Daemon) refund(pool string) {
	if d.retryBudget.Load() == nil {
		d.budget.Refund(pool)
		return
	}
	d.sharedRetryBudget.Deposit(pool, 1)
}

// takeCredits returns what this box's requests earned since the last gossip with its hub; nil
// unless a hub keeps the budget.
func (d *Daemon) takeCredits() map[string]float64 {
	if l := d.retryBudget.Load(); l == nil || l.local {
		return nil
	}
	return d.sharedRetryBudget.Drain()
}

// receiveCredits adds what another box's requests earned.
func (d *Daemon) receiveCredits(m peer.Message) {
	if l := d.retryBudget.Load(); l == nil || !l.local {
		return
	}
	for pool, amount := range m.RetryCredits {
		d.sharedRetryBudget.Deposit(pool, amount)
	}
}
