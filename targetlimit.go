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

// A target in need names how many requests a second it takes of all boxes together. Boxes tell
// each other of that and divide the rate by quota over the boxes listed. Runs and requests to
// services count, and answers that are read again; reports, orders and cancels do not.

// grantLifetime is for how long a placed request may leave on the part that was taken for it.
const grantLifetime = time.Second

// allow returns why a request must not leave for its target any more, or nil.
func (d *Daemon) allow(p route.Placed) error {
	now := d.now()
	if d.notices.Limit(notice.IncarnationAt(p.Target, p.Address)).Active && (!p.Granted || now.Sub(p.At) > grantLifetime) {
		d.Log.Info("request is kept from a target at the last moment", "request", p.Request, "target", p.Target, "placed_ago", now.Sub(p.At))
		return notice.ErrLimited
	}
	return nil
}

// rateShare is this box's of the rate that a target takes of all boxes, in requests a second.
func (d *Daemon) rateShare(x *target.Target) float64 {
	t := &d.tables
	if t.quotaBoxes == nil {
		t.quotaBoxes = t.sharingBoxes(d.Settings.Name)
	}
	return quota.Share(x.Rate, x.Hash, d.Settings.Name, t.quotaBoxes)
}

// sharingBoxes lists the boxes that share targets' rates: those listed that don't leave, and this one.
func (t *tables) sharingBoxes(self string) []string {
	names := []string{self}
	for name, p := range t.peers.All() {
		if !p.leaving && name != self {
			names = append(names, name)
		}
	}
	return names
}

// applyLimits has targets be limited as far as is known.
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

// rateLimits lists the limits known, for a peer; which ones of many varies.
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

// receiveLimits takes over the limits that a peer knows.
func (d *Daemon) receiveLimits(now time.Time, t *tables, m peer.Message) {
	news := false
	for _, l := range m.RateLimits {
		x, err := l.Decode(now)
		if err != nil {
			d.Log.Warn("a peer's word of a limit can't be used", "from", m.From, "err", err)
			continue
		}
		news = d.notices.SetLimit(now, x) || news
	}
	if news {
		d.applyLimits(t)
	}
}

// resumeRun reads a run's answer again from a target, and has the loop count that.
func (d *Daemon) resumeRun(ctx context.Context, at netip.AddrPort, request string, attempt, offset int) (*engine.Frames, error) {
	if len(d.notices.Limits()) > 0 {
		_ = d.send(ctx, runResumed{at})
	}
	return d.engines.Resume(ctx, at, request, attempt, offset)
}

// runResumed counts that a run's answer is read again.
func (d *Daemon) runResumed(now time.Time, t *tables, m runResumed) {
	for _, x := range t.Targets.All() {
		if x.Address == m.at {
			t.Resumed(now, x)
		}
	}
}

// expireLimits forgets what makes no odds any more.
func (d *Daemon) expireLimits(now time.Time, _ *tables) []effect {
	d.notices.Expire(now)
	return nil
}
