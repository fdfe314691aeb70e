package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/poison"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/routing"
)

// jobWithParts is a request of an account with these parts and one of its own; no two are alike.
func jobWithParts(account, id string, parts ...string) *deliver.Job {
	j := job("long", 10)
	j.ID, j.Body, j.Parts = id, []byte(id), nil
	j.Account = &routing.Account{Name: account}
	for _, part := range append(parts, "of "+id) {
		j.Parts = append(j.Parts, deliver.Part{ID: part, Tokens: 5})
	}
	return j
}

// endUnder has engines e0, e1 and so on end, each with a request that had not begun.
func endUnder(d *Daemon, engines int, jobs func(i int) *deliver.Job) {
	for i := range engines {
		target := fmt.Sprint("e", i)
		d.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, target), Job: jobs(i), Failed: true, Unreachable: true, CutOff: true}})
		d.update(start, refusesDial(target))
		confirmEnds(d)
	}
}

// badJob returns different requests with the part "bad".
func badJob(i int) *deliver.Job { return jobWithParts("cafe", fmt.Sprint("r", i), "first", "bad") }

// TestPartEndsEngines checks which requests are refused after engines ended under different requests
// with one part.
func TestPartEndsEngines(t *testing.T) {
	begun := func(j *deliver.Job) func(*Daemon) {
		return func(d *Daemon) { d.update(start, firstEvent{j}) }
	}
	sound := jobWithParts("cafe", "sound", "first", "good")
	tests := []struct {
		name    string
		engines int
		jobs    func(i int) *deliver.Job
		// before and after come before and after the ends.
		before, after func(*Daemon)
		ask           *deliver.Job
		want          bool
	}{
		{"another request with the part", quarantine.Threshold, badJob, nil, nil, jobWithParts("cafe", "new", "first", "bad"), true},
		{"two ends", quarantine.Threshold - 1, badJob, nil, nil, jobWithParts("cafe", "new", "first", "bad"), false},
		{"sound requests share the first part", quarantine.Threshold, badJob, nil, begun(sound), jobWithParts("cafe", "new", "first", "other"), false},
		{"sound requests share the first part and began before", quarantine.Threshold, badJob, begun(sound), nil, jobWithParts("cafe", "new", "first", "other"), false},
		{"the bad part stays refused as sound ones begin", quarantine.Threshold, badJob, nil, begun(sound), jobWithParts("cafe", "new", "first", "bad"), true},
		{"a request with the part begins", quarantine.Threshold, badJob, nil, begun(jobWithParts("cafe", "mended", "first", "bad")), jobWithParts("cafe", "new", "first", "bad"), false},
		{"the part was good until lately, three ends", quarantine.Threshold, badJob, begun(jobWithParts("cafe", "old", "first", "bad")), nil, jobWithParts("cafe", "new", "first", "bad"), false},
		{"the part was good until lately, five ends", poison.KnownGoodThreshold, badJob, begun(jobWithParts("cafe", "old", "first", "bad")), nil, jobWithParts("cafe", "new", "first", "bad"), true},
		{"another account names the part", quarantine.Threshold, badJob, nil, nil, jobWithParts("bistro", "new", "first", "bad"), false},
		{"the last part is shared", quarantine.Threshold, func(i int) *deliver.Job {
			j := jobWithParts("cafe", fmt.Sprint("r", i), fmt.Sprint("p", i))
			j.Parts[1].ID = "session"
			return j
		}, nil, nil, func() *deliver.Job { j := jobWithParts("cafe", "new", "p9"); j.Parts[1].ID = "session"; return j }(), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := engines("b1")
			if tt.before != nil {
				tt.before(d)
			}
			endUnder(d, tt.engines, tt.jobs)
			if tt.after != nil {
				tt.after(d)
			}
			if got := placeCode(d, start, tt.ask) == codeQuarantined; got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestStreamsBrokenOffLaterBlameNoPart has engines end in the middle of answers.
func TestStreamsBrokenOffLaterBlameNoPart(t *testing.T) {
	d := engines("b1")
	for i := range 2 * quarantine.Threshold {
		target := fmt.Sprint("e", i)
		d.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, target), Job: badJob(i), Began: true, Events: true, Failed: true, Unreachable: true, CutOff: true}})
		d.update(start, refusesDial(target))
		confirmEnds(d)
	}
	if got := placeCode(d, start, badJob(9)); got == codeQuarantined {
		t.Error("refused")
	}
}

// TestPartsAreSharedByBoxes has three boxes each find one engine that ended. Others refuse the part by
// rows, by gossip and by their hub's view, and serve it again once a request began anywhere.
func TestPartsAreSharedByBoxes(t *testing.T) {
	ask := jobWithParts("cafe", "new", "first", "bad")
	by := []struct {
		name string
		tell func(from, to *Daemon, now time.Time)
	}{
		{"rows", func(from, to *Daemon, now time.Time) {
			for _, e := range from.reportCrashes(now, &from.tables) {
				to.update(now, ownRead{OwnRows{Rows: e.(writeCrashes).tx.Put}, true})
			}
			to.receiveQuarantine(now, &to.tables, partsOnly(from, now))
		}},
		{"gossip", func(from, to *Daemon, now time.Time) {
			m := from.peerRequest(now, &from.tables, gossipFrom(to.Settings.Name))
			to.update(now, peerAnswered{from.Settings.Name, now, m, nil})
		}},
	}
	for _, tt := range by {
		t.Run(tt.name, func(t *testing.T) {
			other := engines("b9")
			var boxes []*Daemon
			for i := range quarantine.Threshold {
				d := engines(fmt.Sprint("b", i+1))
				other.tables.members[d.Settings.Name], d.tables.members["b9"] = &member{}, &member{}
				d.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, fmt.Sprint("e", i)), Job: badJob(i), Failed: true, Unreachable: true, CutOff: true}})
				d.update(start, refusesDial(fmt.Sprint("e", i)))
				confirmEnds(d)
				boxes = append(boxes, d)
				tt.tell(d, other, start.Add(time.Second))
			}
			if got := placeCode(other, start.Add(time.Second), ask); got != codeQuarantined {
				t.Fatalf("refused with %q", got)
			}
			later := start.Add(2 * time.Second)
			boxes[0].update(later, firstEvent{ask})
			tt.tell(boxes[0], other, later)
			if got := placeCode(other, later, ask); got == codeQuarantined {
				t.Error("refused though a request with the part began")
			}
		})
	}
}

// partsOnly is a gossip message with what a box learned of parts.
func partsOnly(d *Daemon, now time.Time) peer.Message {
	m := gossipFrom(d.Settings.Name)
	d.tables.addParts(now, &m)
	return m
}

// TestPartsInHubView has a spoke refuse the parts that its hub refuses.
func TestPartsInHubView(t *testing.T) {
	hub, spoke := boxWithEngines("box-00"), boxWithEngines("box-05")
	part := fingerprint.OfPart("cafe", "m", "bad")
	for i := range quarantine.Threshold {
		hub.blamePart(start, &hub.tables, fmt.Sprint("e", i), part, "box-07")
	}
	answer := hub.peerRequest(start, &hub.tables, gossipFrom("box-05"))
	answer.View.Entries = nil // They have no addresses.
	spoke.update(start, peerAnswered{"box-00", start, answer, nil})
	if got := placeCode(spoke, start, badJob(9)); got != codeQuarantined {
		t.Errorf("refused with %q", got)
	}
	again := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", QuarantineVersion: spoke.tables.hubQuarantineVersion})
	if len(again.View.QuarantinedParts) != 0 {
		t.Error("the set is sent again")
	}
}

// TestKnownGoodIsTold has a box that saw a part begin tell others when ends are reported.
func TestKnownGoodIsTold(t *testing.T) {
	d, part := engines("b1"), fingerprint.OfPart("cafe", "m", "first")
	d.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, "e7"), Job: badJob(0), Began: true, Events: true, Answered: true}})
	d.blamePart(start, &d.tables, "e0", part, "b2")
	if m := partsOnly(d, start); !slices.Contains(m.KnownGoodParts, part) {
		t.Errorf("told %v", m.KnownGoodParts)
	}
	if m := partsOnly(d, start.Add(announceFor+time.Second)); len(m.KnownGoodParts) > 0 {
		t.Error("still told after announceFor")
	}
}

// TestRetryOfSuspectPart has two engines be suspected under a part with which nothing began: a request
// that was cut off is not sent to a third.
func TestRetryOfSuspectPart(t *testing.T) {
	d := engines("b1")
	for i := range 2 {
		d.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, fmt.Sprint("e", i)), Job: badJob(i), Failed: true, Unreachable: true, CutOff: true}})
	}
	for _, tt := range []struct {
		attempted []string
		want      bool
	}{{nil, false}, {[]string{"e0"}, true}} {
		refused, _ := d.refuseSuspect(start, &d.tables, deliver.PlacementRequest{Job: badJob(9), Attempted: tt.attempted})
		if got := refused != nil; got != tt.want {
			t.Errorf("after attempts at %v refused: %v", tt.attempted, got)
		}
	}
}

// TestPartThatBeganIsNoSuspect guards against a part that stays a suspect of engines that may have ended before
// a request with it began elsewhere.
func TestPartThatBeganIsNoSuspect(t *testing.T) {
	for _, began := range []bool{false, true} {
		d := engines("b1")
		for i := range poison.KnownGoodThreshold - 1 { // With the retry that is one more.
			d.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, fmt.Sprint("e", i)), Job: badJob(i), Failed: true, Unreachable: true, CutOff: true}})
		}
		if began {
			d.update(start, firstEvent{jobWithParts("cafe", "sound", "first", "bad")})
		}
		refused, _ := d.refuseSuspect(start, &d.tables, deliver.PlacementRequest{Job: badJob(9), Attempted: []string{"e0"}})
		if got := refused != nil; got == began {
			t.Errorf("a request with the part began: %v, a retry is refused: %v", began, got)
		}
	}
}

// TestTrialLiftsPart tries one request with a refused part 10 s later; as it begins, the part is
// served again.
func TestTrialLiftsPart(t *testing.T) {
	d := engines("b1")
	endUnder(d, quarantine.Threshold, badJob)
	ask := placementRequest{ctx: t.Context(), ask: deliver.PlacementRequest{Job: badJob(9)}, reply: make(chan placementAnswer, 9)}
	if effects := d.placementRequested(start, &d.tables, ask); len(effects) > 0 {
		t.Fatal("tried at once")
	}
	later := start.Add(firstTrialDelay + time.Second)
	d.expireParts(later, &d.tables)
	d.tables.expireTrials()
	effects := d.placementRequested(later, &d.tables, ask)
	if len(effects) != 1 || effects[0].(claimTrial).sum != fingerprint.OfPart("cafe", "m", "first") && effects[0].(claimTrial).sum != fingerprint.OfPart("cafe", "m", "bad") {
		t.Fatalf("effects %v", effects)
	}
	d.update(later, trialClaimed{effects[0].(claimTrial), true, nil})
	d.update(later, firstEvent{badJob(9)})
	if got := placeCode(d, later, badJob(10)); got == codeQuarantined {
		t.Error("refused though the trial began")
	}
}
