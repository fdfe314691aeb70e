package thymewind

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quota"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/target"
)

// An overloaded target may announce a rate limit: the requests a second that it takes from all
// boxes together. Boxes gossip the limit and divide the rate among the listed boxes by quota.
// Runs, requests to services and resumed answers count against it; load reports, orders and
// cancels do not.

// grantLifetime is how long after its placement a request may be sent on the quota that it took.
const grantLifetime = time.Second

// allow returns an error if a placed request must not be sent to its target any more: the target
// has a rate limit, and the request took no quota or took it too long ago.
func (d *Daemon) allow(p route.Placement) error {
	now := d.now()
	if d.notices.Limit(notice.IncarnationAt(p.Target, p.Address)).Active && (!p.QuotaGranted || now.Sub(p.PlacedAt) > grantLifetime) {
		d.Log.Info("request is kept from a target at the last moment", "request", p.Request, "target", p.Target, "placed_ago", now.Sub(p.PlacedAt))
		return notice.ErrLimited
	}
	return nil
}

// rateShare returns this box's share of a target's rate limit, in requests a second.
func (d *Daemon) rateShare(x *target.Target) float64 {
	t := &d.tables
	if t.quotaBoxes == nil {
		t.quotaBoxes = t.sharingBoxes(d.Settings.Name)
	}
	return quota.Share(x.Rate, x.Hash, d.Settings.Name, t.quotaBoxes)
}

// sharingBoxes lists the boxes that share targets' rate limits: this box and all listed ones that
// are not leaving.
func (t *tables) sharingBoxes(self string) []string {
	names := []string{self}
	for name, p := range t.peers.All() {
		if !p.leaving && name != self {
			names = append(names, name)
		}
	}
	return names
}

// applyLimits sets the known rate limits on the targets.
func (d *Daemon) applyLimits(t *tables) {
	t.quotaBoxes = nil
	for name, x := range t.Targets.All() {
		limit := d.notices.Limit(notice.IncarnationAt(name, x.Address))
		if x.Limited != limit.Active {
			d.Log.Info("target's limit on the requests of all boxes", "target", name, "limited", limit.Active, "per_second", limit.PerSecond, "known_for", d.now().Sub(limit.At))
		}
		t.SetLimit(x, limit.Active, limit.PerSecond)
	}
}

// rateLimits returns up to maxLimits known rate limits for a gossip message. If there are more,
// the selection varies.
func (d *Daemon) rateLimits(now time.Time) []peer.RateLimit {
	var list []peer.RateLimit
	for _, x := range d.notices.Limits() {
		if len(list) == maxLimits {
			break
		}
		list = append(list, peer.NewRateLimit(now, x))
	}
	return list
}

// receiveLimits applies the rate limits that a peer knows.
func (d *Daemon) receiveLimits(now time.Time, t *tables, m peer.Message) {
	changed := false
	for _, l := range m.RateLimits {
		x, err := l.Decode(now)
		if err != nil {
			d.Log.Warn("peer sent an invalid rate limit; ignored", "from", m.From, "err", err)
			continue
		}
		changed = d.notices.SetLimit(now, x) || changed
	}
	if changed {
		d.applyLimits(t)
	}
}

// resumeRun resumes a run's answer from an offset and has the loop count it against the target's
// rate limit, if any limits are known.
func (d *Daemon) resumeRun(ctx context.Context, at netip.AddrPort, request string, attempt, offset int) (*engine.Frames, error) {
	if len(d.notices.Limits()) > 0 {
		_ = d.send(ctx, runResumed{at})
	}
	return d.engines.Resume(ctx, at, request, attempt, offset)
}

// runResumed counts a resumed run against its target's rate limit.
func (d *Daemon) runResumed(now time.Time, t *tables, m runResumed) {
	for _, x := range t.Targets.All() {
		if x.Address == m.at {
			t.Resumed(now, x)
		}
	}
}

// expireLimits drops expired rate limits.
func (d *Daemon) expireLimits(now time.Time, _ *tables) []effect {
	d.notices.Expire(now)
	return nil
}
