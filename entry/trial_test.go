package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/table"
)

// codeWithTrial has a box handle a request, with its trial, and returns the refusal's code, or
// an empty string if it is placed.
func codeWithTrial(t *testing.T, d *Daemon, now time.Time, j *deliver.Job) string {
	t.Helper()
	d.now = func() time.Time { return now }
	reply := make(chan placementAnswer, 1)
	effects := d.placementRequested(now, &d.tables, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: j}, reply: reply})
	for _, e := range effects {
		d.update(now, d.claimTrial(context.Background(), e.(claimTrial)))
	}
	answer := <-reply
	if answer.err == nil {
		return ""
	}
	return codeOf(answer.err)
}

// quarantiningBoxes are two boxes with one table service that refuse a request.
func quarantiningBoxes() []*Daemon {
	boxes := []*Daemon{engines("b1"), engines("b2")}
	boxes[1].Platform = boxes[0].Platform
	for _, d := range boxes {
		for _, incarnation := range []string{"x", "y", "z"} {
			d.blameRequest(start, &d.tables, incarnation, jobWithBody("same").Fingerprint(), "b3")
		}
	}
	return boxes
}

// TestTrials checks how often a request that crashes targets is sent once it is refused,
// however often it comes and at which box.
func TestTrials(t *testing.T) {
	boxes := quarantiningBoxes()
	var sent []time.Duration
	for now := start; now.Before(start.Add(3 * nextTrialDelay)); now = now.Add(time.Second) {
		for _, d := range boxes {
			d.noteProof(now)
			if codeWithTrial(t, d, now, jobWithBody("same")) != codeQuarantined {
				sent = append(sent, now.Sub(start))
			}
		}
	}
	if len(sent) != maxTrials || sent[0] != firstTrialDelay || sent[1] < nextTrialDelay {
		t.Errorf("sent after %v", sent)
	}
}

// TestTrialLiftsQuarantine refuses a request that only happened to run on three targets as
// these were lost, until a trial was answered; then all boxes serve it.
func TestTrialLiftsQuarantine(t *testing.T) {
	boxes := quarantiningBoxes()
	now := start
	for codeWithTrial(t, boxes[0], now, jobWithBody("same")) == codeQuarantined {
		if now = now.Add(100 * time.Millisecond); now.After(start.Add(2 * firstTrialDelay)) {
			t.Fatal("never tried")
		}
	}
	if codeWithTrial(t, boxes[1], now, jobWithBody("same")) != codeQuarantined {
		t.Error("sent by another box beside its trial")
	}
	boxes[0].update(now, attemptEnded{deliver.AttemptResult{Place: placeAt(0, "e1"), Job: jobWithBody("same"), Began: true, Answered: true}})
	answer := boxes[0].peerRequest(now, &boxes[0].tables, gossipFrom("b2"))
	boxes[1].update(now, peerAnswered{"b2", now, answer, nil})
	for _, d := range boxes {
		if code := codeWithTrial(t, d, now, jobWithBody("same")); code != "" {
			t.Errorf("%s refuses with %q", d.Settings.Name, code)
		}
	}
	drop := boxes[0].reportCrashes(now, &boxes[0].tables)[0].(writeCrashes).tx.Delete
	if len(drop) != 1 || drop[0] != trialPrefix+jobWithBody("same").Fingerprint().String() {
		t.Errorf("dropped %v", drop)
	}
}

// TestNoTrialWithoutCount checks that no trial is made while the table service can't count it,
// or by a row that is invalid.
func TestNoTrialWithoutCount(t *testing.T) {
	failing := errors.New("away")
	tests := []struct {
		name   string
		read   func(context.Context, string) (table.Row, error)
		commit func(context.Context, table.Transaction) error
	}{
		{"it can't be read", func(context.Context, string) (table.Row, error) { return table.Row{}, failing }, nil},
		{"the row is another writer's", func(context.Context, string) (table.Row, error) { return table.Row{Value: []byte("seven")}, nil }, nil},
		{"the answer is lost", nil, func(context.Context, table.Transaction) error { return table.ErrOutcomeUnknown }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := quarantiningBoxes()[0]
			if tt.read != nil {
				d.Platform.Read = tt.read
			}
			if tt.commit != nil {
				d.Platform.Commit = tt.commit
			}
			for _, after := range []time.Duration{0, firstTrialDelay, 2 * firstTrialDelay} {
				if code := codeWithTrial(t, d, start.Add(after), jobWithBody("same")); code != codeQuarantined {
					t.Errorf("after %v: %q", after, code)
				}
			}
		})
	}
}
