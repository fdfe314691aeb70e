package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/table"
)

// engines is a box that knows eight engines, e0 to e7.
func engines(name string) *Daemon {
	d := newDaemon(name)
	d.now = func() time.Time { return start }
	d.tables.members["b2"] = &member{}
	d.tables.membersKnown = true
	d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	var list []fleet.Entry
	for i := range 8 {
		list = append(list, engine(fmt.Sprintf("e%d", i), 1))
	}
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: list}, false})
	return d
}

// jobWithBody is a request with a body; equal bodies have equal fingerprints. Different ones share
// no part of their prompts.
func jobWithBody(name string) *deliver.Job {
	j := job("long", 10)
	j.ID, j.Body = "r", []byte(name)
	j.Parts = []deliver.Part{{ID: "of " + name, Tokens: 5}, {ID: "own", Tokens: 5}}
	return j
}

// placeAt is a placement on a target, ms after start.
func placeAt(ms int, target string) deliver.Placement {
	return deliver.Placement{Target: target, PlacedAt: start.Add(time.Duration(ms) * time.Millisecond)}
}

// Messages about targets.
func cutOff(target, name string) message {
	return attemptEnded{deliver.AttemptResult{Place: placeAt(0, target), Job: jobWithBody(name), Failed: true, Unreachable: true, CutOff: true}}
}

func refusesDial(target string) message {
	return attemptEnded{deliver.AttemptResult{Place: placeAt(0, target), Job: jobWithBody("another"), Failed: true, Unreachable: true, ConnectionRefused: true}}
}

// confirmEnds has a target that works be heard after others' addresses refused connections, which
// shows that the box's own links work.
func confirmEnds(d *Daemon) {
	later := start.Add(2 * refusalMargin)
	ids := d.tables.fleet.IDs()
	d.tables.heard(later, d.tables.fleet.Target(ids[len(ids)-1]))
	d.judgeRefusals(later, &d.tables)
}

func answersAt(ms int, target string) message { return answerBegan{placeAt(ms, target)} }

// placeCode returns the code of an immediate refusal, or an empty string.
func placeCode(d *Daemon, at time.Time, j *deliver.Job) string {
	reply := make(chan placementAnswer, 1)
	d.placementRequested(at, &d.tables, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: j}, reply: reply})
	select {
	case answer := <-reply:
		return codeOf(answer.err)
	default: // A hub is asked.
	}
	return ""
}

// codeOf returns the code of a refusal, or an empty string.
func codeOf(err error) string {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

// gossipFrom is another box's gossip message without content.
func gossipFrom(name string) peer.Message { return peer.Message{Kind: peer.KindGossip, From: name} }

// TestEndedUnder goes through the ways to find out that a target ended under a request, or did
// not.
func TestEndedUnder(t *testing.T) {
	eventsRefused := func(target string) message {
		return cacheEventsRead{source: target, err: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)}
	}
	tests := []struct {
		name string
		// after lists what follows after the request was cut off at a target.
		after func(target string) []message
		want  bool
	}{
		{"its address refuses connections", func(x string) []message { return []message{refusesDial(x)} }, true},
		{"its cache events can't be read, as its address refuses connections", func(x string) []message { return []message{eventsRefused(x)} }, true},
		{"its cache events can't be read", func(x string) []message { return []message{cacheEventsRead{source: x, err: errors.New("reset")}} }, false},
		{"the list drops it", func(x string) []message { return []message{targetsRead{start, Targets{Removed: []string{x}}, false}} }, true},
		{"it leaves and the list drops it", func(x string) []message {
			leaving := engine(x, 1)
			leaving.Leaving = true
			return []message{targetsRead{start, Targets{Listed: []fleet.Entry{leaving}}, false}, targetsRead{start, Targets{Removed: []string{x}}, false}}
		}, false},
		{"its address is another's", func(x string) []message { return []message{probed{probe{target: x}, ErrReplaced}} }, true},
		{"another box found it replaced", func(x string) []message {
			return []message{peerAnswered{name: "b2", answer: peer.Message{EndedIncarnations: []peer.Incarnation{{ID: x}}}}}
		}, true},
		{"asked for its health, it refuses connections", func(x string) []message {
			return []message{probed{probe{target: x, incarnation: fleet.Incarnation{ID: x}, decidedAt: start.Add(time.Second)}, syscall.ECONNREFUSED}}
		}, true},
		{"asked for its health, it says that it is unhealthy, and then ends", func(x string) []message {
			return []message{probed{probe{target: x, incarnation: fleet.Incarnation{ID: x}, decidedAt: start.Add(time.Second)}, ErrUnhealthy}, refusesDial(x)}
		}, false},
		{"it answers what was sent later, and then ends", func(x string) []message { return []message{answersAt(1, x), refusesDial(x)} }, false},
		{"it answers what was sent before, and then ends", func(x string) []message { return []message{answersAt(-1, x), refusesDial(x)} }, true},
		{"it sends cache events that were requested later, and then ends", func(x string) []message {
			return []message{cacheEventsRead{source: x, requestedAt: start.Add(time.Millisecond)}, refusesDial(x)}
		}, false},
		{"it sends cache events that were requested before, and then ends", func(x string) []message {
			return []message{cacheEventsRead{source: x, requestedAt: start.Add(-time.Millisecond)}, refusesDial(x)}
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := engines("b1")
			for i := range quarantine.Threshold {
				target := fmt.Sprintf("e%d", i)
				d.update(start, cutOff(target, "same"))
				for _, m := range tt.after(target) {
					d.update(start, m)
				}
				confirmEnds(d)
			}
			later := start.Add(10 * time.Second)
			d.tables.crashes.Expire(later)
			d.expireParts(later, &d.tables)
			d.update(later, operatorRead{later, Operator{}})
			if got := placeCode(d, later, jobWithBody("same")) == codeQuarantined; got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
			if got := placeCode(d, later, jobWithBody("another")); got == codeQuarantined {
				t.Error("another request is refused")
			}
		})
	}
}

// TestSuspectedCrashesCount refuses a request at once while three targets may have ended under
// it, and serves it again once one of them answers.
func TestSuspectedCrashesCount(t *testing.T) {
	d := engines("b1")
	for i := range quarantine.Threshold {
		d.update(start, cutOff(fmt.Sprintf("e%d", i), "same"))
	}
	if got := placeCode(d, start, jobWithBody("same")); got != codeQuarantined {
		t.Errorf("refused with %q", got)
	}
	d.update(start, answersAt(1, "e1"))
	if got := placeCode(d, start, jobWithBody("same")); got == codeQuarantined {
		t.Error("refused though one of the targets is alive")
	}
}

// TestBystanderIsServed has a request run on target after target as these end, and be answered
// now and then: it is not refused.
func TestBystanderIsServed(t *testing.T) {
	d := engines("b1")
	for i := range 30 {
		target := fmt.Sprintf("e%d", i%8)
		d.update(start, cutOff(target, "bystander"))
		d.update(start, refusesDial(target))
		confirmEnds(d)
		if i%2 == 1 {
			d.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(1, "e7"), Job: jobWithBody("bystander"), Began: true, Answered: true}})
		}
		if got := placeCode(d, start, jobWithBody("bystander")); got == codeQuarantined {
			t.Fatalf("refused after %d targets", i+1)
		}
	}
}

// TestCallerLeavesBeforeCrash blames a request whose caller left right before the target ended.
func TestCallerLeavesBeforeCrash(t *testing.T) {
	d := engines("b1")
	for i := range quarantine.Threshold {
		target := fmt.Sprintf("e%d", i)
		d.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, target), Job: jobWithBody("same"), CallerLeft: true}})
		if got := placeCode(d, start, jobWithBody("same")); got == codeQuarantined {
			t.Fatal("refused as callers left")
		}
		d.update(start, refusesDial(target))
		confirmEnds(d)
	}
	if got := placeCode(d, start, jobWithBody("same")); got != codeQuarantined {
		t.Errorf("refused with %q", got)
	}
}

// rowsOf has a box write its crash reports and returns the rows.
func rowsOf(t *testing.T, d *Daemon, now time.Time) []table.Row {
	t.Helper()
	effects := d.reportCrashes(now, &d.tables)
	if len(effects) != 1 {
		t.Fatalf("%d effects", len(effects))
	}
	e := effects[0].(writeCrashes)
	d.update(now, crashesWritten{incarnations: e.incarnations})
	return e.tx.Put
}

// TestCrashRowsReachAllBoxes has three boxes each find one target that ended under a request. A
// fourth box refuses it by their rows alone, as does each of the three, and one of them after a
// restart.
func TestCrashRowsReachAllBoxes(t *testing.T) {
	var boxes []*Daemon
	var rows []table.Row
	for i, name := range []string{"b1", "b2", "b3"} {
		d := engines(name)
		target := fmt.Sprintf("e%d", i)
		d.update(start, cutOff(target, "same"))
		d.update(start, cutOff(target, "bystander of "+name))
		d.update(start, refusesDial(target))
		confirmEnds(d)
		rows = append(rows, rowsOf(t, d, start)...)
		boxes = append(boxes, d)
	}
	boxes = append(boxes, engines("b4"), engines("b1"))
	for _, d := range boxes {
		d.update(start, ownRead{OwnRows{Snapshot: true, Rows: rows}, true})
		if got := placeCode(d, start, jobWithBody("same")); got != codeQuarantined {
			t.Errorf("%s refuses with %q", d.Settings.Name, got)
		}
		if got := placeCode(d, start, jobWithBody("bystander of b1")); got == codeQuarantined {
			t.Errorf("%s refuses a request that merely ran there", d.Settings.Name)
		}
	}
	again := boxes[4]
	if effects := again.reportCrashes(start, &again.tables); len(effects) != 0 || len(again.tables.reports.byIncarnation) != 1 {
		t.Errorf("a restarted box writes its own rows again: %v", effects)
	}
}

// TestInvalidCrashRows has rows of other writers among the boxes' own.
func TestInvalidCrashRows(t *testing.T) {
	many, err := json.Marshal(crashRow{Fingerprints: slices.Repeat([]string{jobWithBody("same").Fingerprint().String()}, maxCrashFingerprints+1)})
	if err != nil {
		t.Fatal(err)
	}
	d := engines("b1")
	for i, value := range []string{"", "7", `{"sums":7}`, `{"sums":["xyz","",null]}`, string(many)} {
		d.update(start, ownRead{OwnRows{Rows: []table.Row{{Key: crashPrefix + "b2/e" + fmt.Sprint(i), Value: []byte(value)}}}, true})
	}
	d.update(start, ownRead{OwnRows{Rows: []table.Row{{Key: crashPrefix + "nobody", Value: []byte(`{}`)}}}, true})
	if n := d.tables.quarantine.Len(); n != 0 {
		t.Errorf("%d requests are counted", n)
	}
}

// TestCrashRowsAreWritten checks that each row is written once, again after a failure, and that
// there are never more than allowed. Rows of refused requests are deleted last.
func TestCrashRowsAreWritten(t *testing.T) {
	d := engines("b1")
	d.update(start, cutOff("e0", "same"))
	d.update(start, refusesDial("e0"))
	confirmEnds(d)
	first := d.reportCrashes(start, &d.tables)[0].(writeCrashes)
	if again := d.reportCrashes(start, &d.tables); len(again) != 0 {
		t.Error("two writes at once")
	}
	d.update(start, crashesWritten{incarnations: first.incarnations, err: errors.New("lost")})
	if early := d.reportCrashes(start.Add(crashRetryDelay-1), &d.tables); len(early) != 0 {
		t.Error("no pause after a failed write")
	}
	if rows := rowsOf(t, d, start.Add(crashRetryDelay)); len(rows) != 1 || rows[0].Key != "ended/b1/e0" {
		t.Errorf("rows %v", rows)
	}
	now := start.Add(time.Second)
	for i := range 2 {
		d.blameRequest(now, &d.tables, fmt.Sprint("x", i), jobWithBody("same").Fingerprint(), "b2")
	}
	deleted := 0
	for i := range 3 * maxCrashRows {
		now = now.Add(time.Second)
		d.reportCrash(now, &d.tables, fmt.Sprint("n", i), []fingerprint.Sum{{byte(i)}}, "test")
		e := d.reportCrashes(now, &d.tables)[0].(writeCrashes)
		d.update(now, crashesWritten{incarnations: e.incarnations})
		deleted += len(e.tx.Delete)
		if slices.Contains(e.tx.Delete, "ended/b1/e0") {
			t.Error("the row of a refused request was deleted before others")
		}
	}
	if n := len(d.tables.reports.byIncarnation); n != maxCrashRows || deleted != 2*maxCrashRows+1 {
		t.Errorf("%d rows are kept, %d were deleted", n, deleted)
	}
	late := d.reportCrashes(now.Add(quarantine.Retention+time.Second), &d.tables)[0].(writeCrashes)
	if len(late.tx.Delete) != maxCrashRows-1 || slices.Contains(late.tx.Delete, "ended/b1/e0") {
		t.Errorf("an hour later %d rows are deleted", len(late.tx.Delete))
	}
}

// TestQuarantineInHubView has a spoke refuse what the hub refuses, and serve it again once
// another box has had it answered.
func TestQuarantineInHubView(t *testing.T) {
	hub, spoke := boxWithEngines("box-00"), boxWithEngines("box-05")
	sum := jobWithBody("same").Fingerprint()
	for i := range quarantine.Threshold {
		hub.blameRequest(start, &hub.tables, fmt.Sprint("e", i), sum, "box-07")
	}
	ask := func(now time.Time) peer.Message {
		return hub.peerRequest(now, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", QuarantineVersion: spoke.tables.hubQuarantineVersion})
	}
	answer := ask(start)
	spoke.update(start, peerAnswered{"box-00", start, answer, nil})
	if got := placeCode(spoke, start, jobWithBody("same")); got != codeQuarantined {
		t.Errorf("refused with %q", got)
	}
	if again := ask(start); len(answer.View.Quarantined) != 1 || len(again.View.Quarantined) != 0 || again.View.QuarantineVersion != answer.View.QuarantineVersion {
		t.Errorf("the set is sent again: %v", again.View.Quarantined)
	}
	hub.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, "a"), Job: jobWithBody("same"), Began: true, Answered: true}})
	spoke.update(start, peerAnswered{"box-00", start, ask(start), nil})
	if got := placeCode(spoke, start, jobWithBody("same")); got == codeQuarantined {
		t.Error("refused though it was answered")
	}
}

// TestCrashesAreGossiped has boxes exchange crash reports that they can't write.
func TestCrashesAreGossiped(t *testing.T) {
	b1, b2 := engines("b1"), engines("b2")
	b2.tables.members["b1"] = &member{}
	b1.update(start, cutOff("e0", "same"))
	b1.update(start, refusesDial("e0"))
	confirmEnds(b1)
	answer := b1.peerRequest(start, &b1.tables, peer.Message{Kind: peer.KindGossip, From: "b2"})
	b2.update(start, peerAnswered{"b1", start, answer, nil})
	if got := b2.tables.quarantine.Crashes(jobWithBody("same").Fingerprint()); got != 1 {
		t.Errorf("%d targets count, want 1", got)
	}
	late := b1.peerRequest(start.Add(announceFor+time.Second), &b1.tables, peer.Message{Kind: peer.KindGossip, From: "b2"})
	if len(late.CrashReports) != 0 {
		t.Error("still reported after announceFor")
	}
}

// TestCrashReportBlamesEarlierRequest has one box find that a target ended. Another box, whose
// caller had left a request there, blames that request, and its hub passes the report on.
func TestCrashReportBlamesEarlierRequest(t *testing.T) {
	hub, spoke, finder := boxWithEngines("box-00"), boxWithEngines("box-05"), boxWithEngines("box-07")
	spoke.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, "a"), Job: jobWithBody("same"), CallerLeft: true}})
	finder.update(start, cutOff("a", "bystander"))
	finder.update(start, refusesDial("a"))
	confirmEnds(finder)
	hub.update(start, ownRead{OwnRows{Rows: rowsOf(t, finder, start)}, true})
	answer := hub.peerRequest(start, &hub.tables, gossipFrom("box-05"))
	answer.View = nil // Its list has no addresses, so the view would show the same.
	spoke.update(start, peerAnswered{"box-00", start, answer, nil})
	if got := spoke.tables.quarantine.Crashes(jobWithBody("same").Fingerprint()); got != 1 {
		t.Errorf("%d targets count, want 1", got)
	}
	if rows := rowsOf(t, spoke, start); len(rows) != 1 || rows[0].Key != "ended/box-05/a" {
		t.Errorf("rows %v", rows)
	}
	later := start.Add(announceFor + time.Second)
	if late := hub.peerRequest(later, &hub.tables, gossipFrom("box-05")); len(late.CrashReports) != 0 {
		t.Errorf("still reported after announceFor: %v", late.CrashReports)
	}
}

// TestProbeSuspects probes a target that cut a request off, unless the box watches it.
func TestProbeSuspects(t *testing.T) {
	tests := []struct {
		name string
		box  *Daemon
		want int
	}{
		{"a box that watches it", engines("b1"), 0},
		{"a spoke", boxWithEngines("box-05"), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := tt.box.tables.fleet.IDs()[0]
			tt.box.update(start, cutOff(target, "same"))
			later := start.Add(time.Second)
			effects := tt.box.probeSuspects(later, &tt.box.tables)
			if len(effects) != tt.want {
				t.Fatalf("%d probes", len(effects))
			}
			if again := tt.box.probeSuspects(later, &tt.box.tables); len(again) != 0 {
				t.Error("probed twice")
			}
			for _, e := range effects {
				p := e.(probe)
				tt.box.update(later, probed{p, syscall.ECONNREFUSED})
				tt.box.tables.heard(later.Add(2*refusalMargin), tt.box.tables.fleet.Target(tt.box.tables.fleet.IDs()[1]))
				tt.box.judgeRefusals(later.Add(2*refusalMargin), &tt.box.tables)
				if tt.box.tables.quarantine.Crashes(jobWithBody("same").Fingerprint()) != 1 {
					t.Error("the answer does not count")
				}
			}
		})
	}
}

// TestIncarnationKey checks that two incarnations of one target have different IDs.
func TestIncarnationKey(t *testing.T) {
	plain, started := fleet.Incarnation{ID: "i-7f"}, fleet.Incarnation{ID: "i-7f", StartedAt: start}
	if incarnationKey(plain) == incarnationKey(started) || incarnationTarget(incarnationKey(plain)) != "i-7f" || incarnationTarget(incarnationKey(started)) != "i-7f" || strings.Contains(incarnationKey(plain), incarnationMark) {
		t.Errorf("%q and %q", incarnationKey(plain), incarnationKey(started))
	}
}

// BenchmarkRefuseQuarantined is the cost of a request in the loop while some are quarantined.
func BenchmarkRefuseQuarantined(b *testing.B) {
	d := engines("b1")
	for _, remembered := range []int{0, 1} {
		b.Run(fmt.Sprintf("%d remembered", remembered), func(b *testing.B) {
			if remembered > 0 {
				d.blameRequest(start, &d.tables, "e0", fingerprint.Sum{1}, "b2")
			}
			body := make([]byte, 2400)
			for b.Loop() {
				j := jobWithBody("")
				j.Body = body
				d.refuseQuarantined(start, &d.tables, j)
			}
		})
	}
}
