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

// What speaks against a request that is refused may be chance: one that callers ask for all
// the time runs everywhere, so also on three targets of a failure domain that is lost. As
// all boxes refuse it, only answers that were under way could lift its quarantine. It is
// therefore tried again, by the box whose claim the table service takes, for all of them.
// The platform bears three sendings of a request that does take targets down, later than
// 3 s after the third of these; one is left for what boxes did not find out.
const (
	// maxTrials is how often a request is tried in all.
	maxTrials = 2
	// firstTrialDelay is when, after a box refused it first: by then most answers to those that
	// were under way elsewhere have come, and targets that were lost are back. One costs
	// what runs on a target, some 20 requests.
	firstTrialDelay = 10 * time.Second
	// nextTrialDelay is the time to the second one.
	nextTrialDelay = 10 * time.Minute
	// claimTimeout bounds the two calls of a claim; its caller waits.
	claimTimeout = time.Second
)

// trialPrefix begins the keys of the rows that count a request's trials.
const trialPrefix = "trial/"

// trialRow is the value of such a row.
type trialRow struct {
	Count int `json:"count"`
	// AtMS is when the last one was, in Unix milliseconds; seconds make no odds.
	AtMS int64 `json:"at_ms"`
}

// claimTrial asks for a request's trial.
type claimTrial struct {
	m   placementRequest
	sum fingerprint.Sum
}

// trialClaimed tells whether this request is the one.
type trialClaimed struct {
	claimTrial
	granted bool
	err     error
}

// refuseOrTry refuses a request that takes targets down, or claims its trial if one may be
// due. It says whether that is all that is to be done about it.
func (d *Daemon) refuseOrTry(now time.Time, t *tables, m placementRequest) ([]effect, bool) {
	refused := d.refuseQuarantined(now, t, m.ask.Job)
	if refused == nil || m.trial {
		return nil, false
	}
	sum := m.ask.Job.Fingerprint()
	if t.trialDue(now, sum) {
		return []effect{claimTrial{m, sum}}, true
	}
	m.reply <- placeAnswer{err: refused}
	return nil, true
}

// trialDue says whether this box should claim a request's trial now.
func (t *tables) trialDue(now time.Time, sum fingerprint.Sum) bool {
	at, known := t.nextTrial[sum]
	if !known {
		t.nextTrial[sum] = now.Add(firstTrialDelay)
		return false
	}
	if now.Before(at) || t.crashes.Suspects(sum) > 0 {
		return false
	}
	t.nextTrial[sum] = now.Add(nextTrialDelay)
	return true
}

// claimTrial reads how often the request was tried and counts once more, unless another box
// does so meanwhile. A claim whose answer is lost is none: one trial less is made.
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

// trialClaimed places the request that is tried, and refuses any other.
func (d *Daemon) trialClaimed(now time.Time, t *tables, m trialClaimed) []effect {
	d.Log.Info("request may be tried once more", "request", m.m.ask.Job.ID, "fingerprint", m.sum, "granted", m.granted, "err", m.err)
	m.m.trial = m.granted
	return d.placementRequested(now, t, m.m)
}

// expireTrials forgets when requests may be tried that are not refused any more. Their
// rows stay, a hundred bytes for three targets that ended: other boxes may refuse them yet.
func (t *tables) expireTrials() {
	maps.DeleteFunc(t.nextTrial, func(sum fingerprint.Sum, _ time.Time) bool {
		return t.quarantine.Crashes(sum) == 0 && t.crashes.Suspects(sum) == 0
	})
}
