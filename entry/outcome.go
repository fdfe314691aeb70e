package entry

import (
	"strconv"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/routing"
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
	if o.Call.HandedOn != nil {
		d.metrics.takenOver.WithLabelValues(poolName(o), outcomeKind(o)).Inc()
	}
	if o.RefusalCode != "" {
		d.metrics.refusals.WithLabelValues(o.RefusalCode).Inc()
	}
	d.countByPriority(o)
	d.countContinued(o)
	if outcomeKind(o) == outcomeAnswered && !d.logLimiter.Allow() {
		d.metrics.unlogged.Inc()
		return
	}
	fields := []any{
		"request", o.Call.ID, "outcome", outcomeKind(o), "status", o.Status, "pool", poolName(o), "target", o.Place.Target,
		"rule", o.Place.Rule, "sent", o.Attempts, "first", o.FirstByte, "took", o.Took, "configuration", d.version(),
	}
	if o.Cause != "" {
		fields = append(fields, "cause", o.Cause, "reason", o.Reason, "come_back", o.RetryAfter, "proved_ago", d.provedAgo(d.now()))
	}
	if o.Cause != "" && o.Attempts > 0 || o.RefusalCode == codeQuarantined {
		fields = append(fields, "fingerprint", o.Job.Fingerprint())
	}
	if o.Call.HandedOn != nil {
		fields = append(fields, "handed_on_by", o.Call.HandedOn.By)
	}
	if o.Place.Box != "" {
		fields = append(fields, "handed_on_to", o.Place.Box)
	}
	if o.Call.LastEventID != "" {
		fields = append(fields, "begun_by", o.Call.BegunBy, "resumed_behind", o.Call.LastEventID)
	}
	if o.CallerLeft {
		fields = append(fields, "ended_after", o.Teardown)
	}
	if o.Job != nil && len(o.Job.Parts) > 0 {
		fields = append(fields, "tokens", o.Job.PromptTokens, "kept", o.Place.CachedTokens, "fetched", o.Place.FetchedTokens, "unread", o.Place.PrefillTokens, "saved", o.Place.SavedTokens, "version", o.Place.Version, "newest", o.Place.NewestVersion, "replaced_for", o.Place.ReplacedFor)
	}
	d.Log.Info("request", append(fields, recordFields(o)...)...)
}

// countContinued counts a stream that its caller took up again, and targets of other software
// versions that continued one.
func (d *Daemon) countContinued(o deliver.Outcome) {
	if o.Call.LastEventID != "" {
		d.metrics.takenUp.WithLabelValues(poolName(o), outcomeKind(o)).Inc()
	}
	if o.OtherSoftware > 0 {
		d.metrics.otherSoftware.WithLabelValues(poolName(o)).Add(float64(o.OtherSoftware))
	}
}

// countByPriority counts a request's wait, pause, refusal and lateness by pool and priority.
// The client account is no label: there may be many.
func (d *Daemon) countByPriority(o deliver.Outcome) {
	pool, priority := poolName(o), priorityText(o)
	if o.Job != nil {
		d.metrics.waited.WithLabelValues(pool, priority).Observe(o.Waited.Seconds())
	}
	if o.Events > 1 {
		d.metrics.pause.WithLabelValues(pool, priority).Observe(o.Pause.Seconds())
	}
	if o.RefusalCode != "" {
		d.metrics.refused.WithLabelValues(pool, priority, o.RefusalCode).Inc()
	}
	if late(o) != "" {
		d.metrics.late.WithLabelValues(pool, priority, late(o)).Inc()
	}
}

// recordFields are the log fields that show whose request it was, what it waited for and
// whether its answer was in time.
func recordFields(o deliver.Outcome) []any {
	lateBy := late(o)
	if lateBy == deliver.LateResumed {
		lateBy = deliver.LatePause // The field resumed tells the rest.
	}
	fields := []any{
		"route", routeName(o), "account", outcomeAccount(o), "priority", priorityText(o),
		"waited", o.Waited, "pause", o.Pause, "late_by", lateBy, "resumed", o.Resumed,
	}
	if p := o.Place.Permit; p.Keeper != "" {
		fields = append(fields, "permit_by", p.Keeper, "level", p.Level, "bears", p.Bears, "said_ago", p.SaidAgo, "permit_asks", p.Asks, "permit_took", p.Took)
	}
	if o.BeganOn != "" {
		fields = append(fields, "began_on", o.BeganOn, "other_software", o.OtherSoftware)
	}
	if judged(o) {
		fields = append(fields, "in_goal", lateBy == "")
	}
	if o.Job != nil && o.Job.Pool.Engine != nil {
		fields = append(fields, "next_best", o.Place.NextBest, "next_best_cost", o.Place.NextBestCost.Round(time.Millisecond))
	}
	return fields
}

// judged says that a request got a complete answer on a route with a goal.
func judged(o deliver.Outcome) bool { return o.HasGoal && outcomeKind(o) == outcomeAnswered }

// late returns what made a complete answer late, or an empty string.
func late(o deliver.Outcome) string {
	if !judged(o) {
		return ""
	}
	return o.LateBy
}

// poolName returns the name of a request's pool, or an empty string if it has none; routeName
// and outcomeAccount likewise.
func poolName(o deliver.Outcome) string {
	if o.Pool == nil {
		return ""
	}
	return o.Pool.Name
}

func routeName(o deliver.Outcome) string {
	if o.Route == nil {
		return ""
	}
	return o.Route.Name
}

func outcomeAccount(o deliver.Outcome) string {
	if o.Account == nil {
		return ""
	}
	return o.Account.Name
}

// priorityText returns a request's priority, or an empty string if no route was found for it.
func priorityText(o deliver.Outcome) string {
	if o.Route == nil {
		return ""
	}
	return strconv.Itoa(routing.Priority(o.Route, o.Account))
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
	fields := []any{"request", r.Job.ID, "after", r.Place.Target, "cause", r.Cause, "resumed_behind", r.Resumed, "software", r.Place.Software, "began_on", r.BeganOn, "fingerprint", r.Job.Fingerprint()}
	if r.Copy {
		fields = append(fields, "copy", r.Place.CopyTarget)
	}
	d.Log.Info("another try", fields...)
}
