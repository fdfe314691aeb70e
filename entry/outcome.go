package entry

import (
	"strconv"

	"github.com/thymewind/thymewind/deliver"
)

// recordOutcome logs and counts the end of a request.
func (d *Daemon) recordOutcome(o deliver.Outcome) {
	pool := ""
	if o.Job != nil {
		pool = o.Job.Pool.Name
		if o.FirstByte > 0 {
			d.metrics.firstByte.WithLabelValues(pool).Observe(o.FirstByte.Seconds())
		}
		d.metrics.answer.WithLabelValues(pool).Observe(o.Took.Seconds())
	}
	if o.Place.ReplacedFor > 0 {
		d.metrics.replaced.Observe(o.Place.ReplacedFor.Seconds())
	}
	if o.CallerLeft {
		d.metrics.teardown.WithLabelValues(pool).Observe(o.Teardown.Seconds())
	}
	d.metrics.requests.WithLabelValues(pool, strconv.Itoa(o.Status), outcomeKind(o)).Inc()
	d.learnMinAnswerTime(o)
	if o.RefusalCode != "" {
		d.metrics.refusals.WithLabelValues(o.RefusalCode).Inc()
	}
	if outcomeKind(o) == outcomeAnswered && !d.logLimiter.Allow() {
		d.metrics.unlogged.Inc()
		return
	}
	fields := []any{
		"request", o.Call.ID, "outcome", outcomeKind(o), "status", o.Status, "pool", pool, "target", o.Place.Target,
		"rule", o.Place.Rule, "sent", o.Attempts, "first", o.FirstByte, "took", o.Took, "configuration", d.version(),
	}
	if o.Cause != "" {
		fields = append(fields, "cause", o.Cause, "reason", o.Reason, "come_back", o.RetryAfter, "proved_ago", d.provedAgo(d.now()))
	}
	if o.Cause != "" && o.Attempts > 0 || o.RefusalCode == codeQuarantined {
		fields = append(fields, "fingerprint", o.Job.Fingerprint())
	}
	if o.CallerLeft {
		fields = append(fields, "ended_after", o.Teardown)
	}
	if o.Job != nil && len(o.Job.Parts) > 0 {
		fields = append(fields, "tokens", o.Job.PromptTokens, "kept", o.Place.CachedTokens, "fetched", o.Place.FetchedTokens, "unread", o.Place.PrefillTokens, "saved", o.Place.SavedTokens, "version", o.Place.Version, "newest", o.Place.NewestVersion, "replaced_for", o.Place.ReplacedFor)
	}
	d.Log.Info("request", fields...)
}

// outcomeAnswered is the kind of a complete answer.
const outcomeAnswered = "answered"

// outcomeKind is the outcome's label in counters and logs.
func outcomeKind(o deliver.Outcome) string {
	switch {
	case o.CallerLeft:
		return "caller_left"
	case o.Aborted:
		return "broken_off"
	case o.Cause != "":
		return "refused"
	}
	return outcomeAnswered
}

// recordRetry logs and counts a retry.
func (d *Daemon) recordRetry(r deliver.Retry) {
	d.metrics.retries.WithLabelValues(r.Job.Pool.Name).Inc()
	fields := []any{"request", r.Job.ID, "after", r.Place.Target, "cause", r.Cause, "resumed_behind", r.Resumed, "fingerprint", r.Job.Fingerprint()}
	if r.Copy {
		fields = append(fields, "copy", r.Place.CopyTarget)
	}
	d.Log.Info("another try", fields...)
}
