package entry

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/table"
)

// A request may be quarantined by chance: one that is in flight everywhere at all times also
// runs on three targets of a failure domain that is lost. As all boxes refuse it, only answers
// to attempts already in flight could lift the quarantine. It is therefore attempted again, for
// all boxes, by the box whose claim the table service accepts. The platform allows three
// attempts of a request that does crash targets later than 3 s after the third crash. Two are
// made here; one is left for crashes that boxes did not notice.
const (
	// maxTrials is the maximum number of trials of a request.
	maxTrials = 2
	// firstTrialDelay is the delay from a box's first refusal to the first trial. By then most
	// answers in flight elsewhere have come and lost targets are back. A trial may cost the
	// requests that run on a target, some 20.
	firstTrialDelay = 10 * time.Second
	// nextTrialDelay is the delay from the first trial to the second.
	nextTrialDelay = 10 * time.Minute
	// claimTimeout bounds the two calls of a claim, as the caller waits for them.
	claimTimeout = time.Second
)

// trialPrefix begins the keys of the rows that count a request's trials.
const trialPrefix = "trial/"

// trialRow is the value of such a row.
type trialRow struct {
	Count int `json:"count"`
	// AtMS is the time of the last trial in Unix milliseconds; clock skew of seconds does not
	// matter.
	AtMS int64 `json:"at_ms"`
}

// claimTrial claims a request's trial.
type claimTrial struct {
	request placementRequest
	sum     fingerprint.Sum
}

// trialClaimed is the result; granted means that this request is the trial.
type trialClaimed struct {
	claimTrial
	granted bool
	err     error
}

// refuseOrClaimTrial refuses a quarantined request, or claims its trial if one may be due. It reports
// whether the request needs no further handling.
func (d *Daemon) refuseOrClaimTrial(now time.Time, t *tables, m placementRequest) ([]effect, bool) {
	refused, sum := d.refuseSuspect(now, t, m.ask)
	if refused == nil || m.trial {
		return nil, false
	}
	if t.trialDue(now, sum) {
		return []effect{claimTrial{m, sum}}, true
	}
	t.answer(now, m, placementAnswer{err: refused})
	return nil, true
}

// trialDue reports whether this box should claim a request's trial now.
func (t *tables) trialDue(now time.Time, sum fingerprint.Sum) bool {
	at, known := t.nextTrial[sum]
	if !known {
		t.nextTrial[sum] = now.Add(firstTrialDelay)
		return false
	}
	if now.Before(at) || t.crashes.Suspects(sum)+t.partCrashes.Suspects(sum) > 0 {
		return false
	}
	t.nextTrial[sum] = now.Add(nextTrialDelay)
	return true
}

// claimTrial reads how many trials a request has had and adds one, unless another box does so
// meanwhile. A claim whose answer is lost is not granted, so one trial fewer is made.
func (d *Daemon) claimTrial(ctx context.Context, e claimTrial) trialClaimed {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := trialPrefix + e.sum.String()
	var last trialRow
	stored, err := d.Platform.Read(ctx, key)
	if err == nil {
		err = json.Unmarshal(stored.Value, &last)
	}
	if err != nil && !trace.IsNotFound(err) {
		return trialClaimed{e, false, err}
	}
	now := d.now()
	if last.Count >= maxTrials || last.Count > 0 && now.Sub(time.UnixMilli(last.AtMS)) < nextTrialDelay {
		return trialClaimed{e, false, nil}
	}
	value, err := json.Marshal(trialRow{last.Count + 1, now.UnixMilli()})
	if err != nil {
		return trialClaimed{e, false, err}
	}
	err = d.Platform.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: key, Revision: stored.Revision, Restores: stored.Restores}}, Put: []table.Row{{Key: key, Value: value}},
	})
	if trace.IsCompareFailed(err) {
		return trialClaimed{e, false, nil}
	}
	return trialClaimed{e, err == nil, err}
}

// trialClaimed places the request if it is the trial, and refuses it otherwise.
func (d *Daemon) trialClaimed(now time.Time, t *tables, m trialClaimed) []effect {
	d.Log.Info("request may be tried once more", "request", m.request.ask.Job.ID, "fingerprint", m.sum, "granted", m.granted, "err", m.err)
	m.request.trial = m.granted
	return d.placementRequested(now, t, m.request)
}

// expireTrials forgets the trials of requests that are not refused any more. Their rows stay,
// as other boxes may still refuse these requests: a hundred bytes for each request that ended
// three targets.
func (t *tables) expireTrials() {
	maps.DeleteFunc(t.nextTrial, func(sum fingerprint.Sum, _ time.Time) bool {
		return t.quarantine.Crashes(sum)+t.crashes.Suspects(sum)+t.parts.Crashes(sum)+t.partCrashes.Suspects(sum) == 0
	})
}
