package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/refusal"
)

// refuseImpossible returns why no target can run a request under this configuration, or nil.
// Refusing it as crowded would have its caller return only to be refused again.
func (d *Daemon) refuseImpossible(t *tables, job *deliver.Job) *refusal.Refusal {
	if refused := d.refuseRegion(t, job); refused != nil {
		return refused
	}
	engine := job.Pool.Engine
	if engine == nil {
		return nil
	}
	tokens := job.PromptTokens + job.MaxOutputTokens
	if engine.Capacity > 0 && (job.PromptTokens > engine.Capacity || float64(tokens)/float64(engine.Capacity) > maxShare) {
		return d.refusePermanently(job, "over_memory", "the request takes up %d tokens, and an engine of %s has %d", tokens, job.Pool.Name, engine.Capacity)
	}
	unknown := job.Model != "" && len(engine.Models) > 0 && !slices.Contains(engine.Models, job.Model)
	if unknown && !slices.ContainsFunc(t.fleet.Pool(job.Pool.Name), func(x *fleet.Target) bool { return servesModel(x, job.Model) }) {
		return d.refusePermanently(job, "no_model", "no engine of %s serves the model %q", job.Pool.Name, job.Model)
	}
	return nil
}

func (d *Daemon) refusePermanently(job *deliver.Job, code, format string, args ...any) *refusal.Refusal {
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, code, format, args...).WithRetryAfter(d.retryAfter(code, job))
}

// servesModel reports whether a target lists a model, in any version.
func servesModel(x *fleet.Target, model string) bool {
	_, listed := x.Versions[model]
	return listed
}

// minAnswerTime is the time in which no similar request was answered lately, if that is known.
func (d *Daemon) minAnswerTime(now time.Time, job *deliver.Job) (time.Duration, bool) {
	return d.minAnswerTimes.Min(now, answerTimeKey(job))
}

// learnMinAnswerTime learns from a complete answer how long it took once the request was placed,
// except of resumed streams, as these need less time.
func (d *Daemon) learnMinAnswerTime(o deliver.Outcome) {
	if o.Job != nil && o.Status == http.StatusOK && outcomeKind(o) == outcomeAnswered && o.Call.LastEventID == "" {
		d.minAnswerTimes.Observe(d.now(), answerTimeKey(o.Job), o.Took-o.Waited)
	}
}

// answerTimeKey is the key shared by requests that are expected to take about as long.
func answerTimeKey(job *deliver.Job) string { return job.Route.Name + " at " + job.Pool.Name }
