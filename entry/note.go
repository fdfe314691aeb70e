package entry

import (
	"strconv"

	"github.com/thymewind/thymewind/deliver"
)

// note logs and counts the end of a request.
func (d *Daemon) note(o deliver.Outcome) {
	pool := ""
	if o.Job != nil {
		pool = o.Job.Pool.Name
		if o.First > 0 {
			d.counts.first.WithLabelValues(pool).Observe(o.First.Seconds())
		}
		d.counts.took.WithLabelValues(pool).Observe(o.Took.Seconds())
	}
	if o.Place.Replaced > 0 {
		d.counts.replaced.Observe(o.Place.Replaced.Seconds())
	}
	if o.Left {
		d.counts.ending.WithLabelValues(pool).Observe(o.Ending.Seconds())
	}
	d.counts.requests.WithLabelValues(pool, strconv.Itoa(o.Status), kind(o)).Inc()
	d.learnLeast(o)
	if o.Refused != "" {
		d.counts.refusals.WithLabelValues(o.Refused).Inc()
	}
	if kind(o) == answered && !d.lines.Allow() {
		d.counts.unlogged.Inc()
		return
	}
	fields := []any{
		"request", o.Call.ID, "outcome", kind(o), "status", o.Status, "pool", pool, "target", o.Place.Target,
		"rule", o.Place.Rule, "sent", o.Sent, "first", o.First, "took", o.Took, "configuration", d.version(),
	}
	if o.Cause != "" {
		fields = append(fields, "cause", o.Cause, "reason", o.Reason, "come_back", o.ComeBack, "proved_ago", d.provedAgo(d.now()))
	}
	if o.Cause != "" && o.Sent > 0 || o.Refused == codeQuarantined {
		fields = append(fields, "fingerprint", o.Job.Fingerprint())
	}
	if o.Left {
		fields = append(fields, "ended_after", o.Ending)
	}
	if o.Job != nil && len(o.Job.Parts) > 0 {
		fields = append(fields, "tokens", o.Job.Input, "kept", o.Place.Kept, "fetched", o.Place.Fetched, "unread", o.Place.Unread, "saved", o.Place.Saved, "version", o.Place.Version, "newest", o.Place.Newest, "replaced_for", o.Place.Replaced)
	}
	d.Log.Info("request", fields...)
}

// answered is the kind of a whole answer.
const answered = "answered"

// kind names an outcome for counters.
func kind(o deliver.Outcome) string {
	switch {
	case o.Left:
		return "caller_left"
	case o.Broken:
		return "broken_off"
	case o.Cause != "":
		return "refused"
	}
	return answered
}

// noteRetry logs and counts one more try.
func (d *Daemon) noteRetry(r deliver.Retried) {
	d.counts.retries.WithLabelValues(r.Job.Pool.Name).Inc()
	d.Log.Info("another try", "request", r.Job.ID, "after", r.Place.Target, "cause", r.Cause, "resumed_behind", r.Resumed, "fingerprint", r.Job.Fingerprint())
}
