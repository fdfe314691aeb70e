package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// lostChange is a fleet that was cut off from the table service while the operator changed
// its rows, right before a restore that loses the change.
type lostChange struct {
	*emulator
	copied writtenState
	// lostAt is when the lost change was confirmed.
	lostAt time.Time
	// back is when the table service answers again.
	back time.Time
}

// loseChange cuts a fleet off, has the operator write version 2 of the configuration, and
// restores the table service from the copy without it.
func loseChange(boxes int, away time.Duration) *lostChange {
	w := &lostChange{emulator: emulate(boxes, 3, configuration(1))}
	for _, d := range w.boxes {
		if err := d.writeRow(context.Background(), d.ownRow()); err != nil {
			panic(err) // Nothing disturbs the table service yet.
		}
	}
	w.advance(2*time.Second, nil)
	w.copied = w.writtenState()
	for _, d := range w.boxes {
		w.tableServiceDown[d.Settings.Name] = true
	}
	w.advance(emulatorStep, nil)
	w.lostAt = w.now
	w.writeOperator(func(o *Operator) { o.Table = configuration(2) })
	w.advance(away, nil)
	clear(w.tableServiceDown)
	w.restoreAgain()
	w.back = w.now
	return w
}

// restoreAgain restores the table service from the copy, some of its revisions ago.
func (w *lostChange) restoreAgain() {
	const lost = 30
	w.version += lost
	w.operator = w.copied.operator
	w.restore(lost, w.rows.Snapshot())
}

// falseProof describes a box that counts the restored rows as the newest although the operator
// did not write the lost change again, or returns an empty string.
func (w *lostChange) falseProof() string {
	for _, d := range w.boxes {
		if proved, _ := d.current.ProvedAt(); proved.After(w.lostAt) && d.version() < 2 {
			return fmt.Sprintf("%s counts version %d as the newest at %v, version 2 was confirmed at %v", d.Settings.Name, d.version(), proved.Sub(start), w.lostAt.Sub(start))
		}
	}
	return ""
}

// spokeCalls counts the spokes' calls to the table service.
func (w *lostChange) spokeCalls() int {
	n := 0
	for _, d := range w.boxes {
		if d.spoke.Load() {
			n += w.cost[d.Settings.Name].tableServiceCalls
		}
	}
	return n
}

// TestLostChangeProvesNothing guards against fleets in which hubs, spokes, boxes that start or
// boxes whose hub ends count restored rows as the newest, before the operator has had the time
// to write again what no box has read. Spokes must not read the table service meanwhile.
func TestLostChangeProvesNothing(t *testing.T) {
	t.Parallel()
	const (
		rewritten = 1600 * time.Millisecond
		// settled is when the boxes' reads, delayed by the outage, have ended.
		settled = 700 * time.Millisecond
	)
	nothing := func(*lostChange, func()) {}
	restart := func(box string) func(*lostChange, func()) {
		return func(w *lostChange, _ func()) { w.restart(box) }
	}
	end := func(boxes ...string) func(*lostChange, func()) {
		return func(w *lostChange, _ func()) {
			for _, box := range boxes {
				w.dead[box] = true
			}
		}
	}
	restoreTwice := func(w *lostChange, check func()) {
		for range 2 {
			w.restoreAgain()
			w.advance(900*time.Millisecond, check)
		}
	}
	tests := []struct {
		name   string
		boxes  int
		during func(w *lostChange, check func())
	}{
		{"a small fleet", 3, nothing},
		{"hubs and spokes", 16, nothing},
		{"60 boxes", 60, nothing},
		{"300 boxes", 300, nothing},
		{"a small fleet, three restores", 3, restoreTwice},
		{"60 boxes, three restores", 60, restoreTwice},
		{"a box of a small fleet starts", 3, restart("box-0001")},
		{"a hub starts", 16, restart("box-0005")},
		{"a spoke starts", 60, restart("box-0050")},
		{"a hub ends", 60, end("box-0005")},
		{"all hubs of a domain end", 60, end("box-0002", "box-0005")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := loseChange(tt.boxes, 4800*time.Millisecond)
			check := func() {
				if wrong := w.falseProof(); wrong != "" {
					t.Fatal(wrong)
				}
			}
			w.advance(settled, check)
			before := w.spokeCalls()
			tt.during(w, check)
			w.advance(rewritten-settled, check)
			if n := w.spokeCalls() - before; n > 0 && len(w.dead) == 0 {
				t.Errorf("spokes called the table service %d times", n)
			}
			w.writeOperator(func(o *Operator) { o.Table = configuration(2) })
			w.advance(appliedWithin, check)
			for _, d := range w.boxes {
				if name := d.Settings.Name; !w.dead[name] && (d.version() != 2 || d.provedAgo(w.now) > viewTTL) {
					t.Errorf("%s has version %d, proved %v ago", name, d.version(), d.provedAgo(w.now))
				}
			}
		})
	}
}

// TestLateHubAfterRestore guards against a hub that was cut off from the table service as the
// lost change was confirmed, and after the restore takes over the young proof of a hub that
// knows the change.
func TestLateHubAfterRestore(t *testing.T) {
	t.Parallel()
	for _, boxes := range []int{16, 60} {
		t.Run(fmt.Sprintf("%d boxes", boxes), func(t *testing.T) {
			w := &lostChange{emulator: emulate(boxes, 3, configuration(1))}
			w.advance(2*time.Second, nil)
			w.copied = w.writtenState()
			const late = "box-0004"
			w.tableServiceDown[late], w.dead[late] = true, true // It hears of nothing by other boxes.
			w.lostAt = w.now
			w.writeOperator(func(o *Operator) { o.Table = configuration(2) })
			w.advance(time.Second, nil)
			w.restoreAgain()
			clear(w.dead)
			w.reconnect(late)
			w.advance(rewriteGrace, func() {
				if d := w.byName[late]; d.spoke.Load() {
					t.Fatal("the box is no hub")
				}
				if wrong := w.falseProof(); wrong != "" {
					t.Fatal(wrong)
				}
			})
		})
	}
}

// TestPeerProofInGracePeriod lists the answers of another hub in and after the grace period
// that follows a restore.
func TestPeerProofInGracePeriod(t *testing.T) {
	known := revision.Revision{Restores: 2, Number: 50}
	tests := []struct {
		name string
		m    peer.Message
		// after is the time from the first read after the restore to the answer.
		after time.Duration
		// proved means that the answer proves the configuration, contact that it saves a read.
		proved, contact bool
	}{
		{"a proof in the grace period", peer.Message{ProofAgeMS: 10}, time.Second, true, true},
		{"a read in the grace period", peer.Message{ProofAgeMS: 10, RewritePending: true, ReadAgeMS: 5}, time.Second, false, true},
		{"an old read in the grace period", peer.Message{ProofAgeMS: 10, RewritePending: true, ReadAgeMS: 800}, time.Second, false, false},
		{"a read after it", peer.Message{ProofAgeMS: 10, RewritePending: true, ReadAgeMS: 5}, 5 * time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxOfFleet("box-10")
			old := start.Add(-time.Minute)
			d.current.setProvedAt(old)
			d.update(start, operatorRead{start, Operator{Changed: known, Known: known}})
			if tt.after > rewriteGrace {
				d.update(start.Add(rewriteGrace), operatorRead{start.Add(rewriteGrace), Operator{Known: known}})
			}
			tt.m.OperatorRevision = known
			now := start.Add(tt.after)
			d.update(now, peerAnswered{name: "box-11", requestedAt: now, answer: tt.m})
			if got := d.provedAgo(now) < 100*time.Millisecond; got != tt.proved {
				t.Errorf("proved %v, %v ago", got, d.provedAgo(now))
			}
			if got := d.hasPeerProof(now); got != tt.contact {
				t.Errorf("goes without a read of its own: %v", got)
			}
		})
	}
}

// TestOlderRowsInARow guards against restores in a row that extend without end for how long a
// box waits for the operator to write again what is in force.
func TestOlderRowsInARow(t *testing.T) {
	d := newDaemon("b1")
	d.update(start, operatorRead{start, Operator{Snapshot: true, Table: configuration(7), Known: rev(50)}})
	restored := start.Add(time.Second)
	read := func(now time.Time, restores uint64) {
		known := revision.Revision{Restores: restores, Number: 40}
		d.update(now, operatorRead{now, Operator{Snapshot: true, Table: configuration(6), Known: known}})
	}
	read(restored, 1)
	read(restored.Add(2*time.Second), 2)
	read(restored.Add(3*time.Second), 3)
	now := restored.Add(operatorRewriteGrace)
	read(now, 3)
	if d.provedAgo(now) != 0 {
		t.Errorf("proved %v ago, %v after the first restore", d.provedAgo(now), operatorRewriteGrace)
	}
}

// TestSpokeReadsAfterRestore guards against a spoke that waits anew, when it first reads the
// table service itself, for what its hub knows to be written again.
func TestSpokeReadsAfterRestore(t *testing.T) {
	known := revision.Revision{Restores: 2, Number: 50}
	d := boxOfFleet("box-05")
	d.current.Store(configuration(1))
	v := peer.View{ConfigurationVersion: 1, WeightVersions: map[string][]peer.WeightVersion{}, OperatorRestores: known.Restores}
	d.update(start, peerAnswered{name: d.viewHub(start, &d.tables), requestedAt: start, answer: peer.Message{View: &v}})
	now := start.Add(time.Minute)
	d.update(now, operatorRead{now, Operator{Snapshot: true, Table: configuration(1), Known: known}})
	if d.provedAgo(now) != 0 {
		t.Errorf("proved %v ago", d.provedAgo(now))
	}
}

// TestRestoresInARow guards against restores in a row that keep a fleet from ever proving its
// configuration, and so from serving callers with keys.
func TestRestoresInARow(t *testing.T) {
	t.Parallel()
	const restores = 8
	for _, boxes := range []int{3, 16} {
		for _, pause := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d boxes, each %v", boxes, pause), func(t *testing.T) {
				w := loseChange(boxes, time.Second)
				oldest := time.Duration(0)
				for range restores {
					w.advance(pause, func() {
						for _, d := range w.boxes {
							oldest = max(oldest, d.provedAgo(w.now))
						}
					})
					w.restoreAgain()
				}
				if most := time.Second + maxRewriteGrace + time.Second; oldest > most {
					t.Errorf("a box's proof was %v old, want at most %v", oldest, most)
				}
			})
		}
	}
}

// TestVersionLostInRestore guards against weights that are named too late: a version that a
// restore lost appears again after reads that lack it, which do not show that it was not named
// before them.
func TestVersionLostInRestore(t *testing.T) {
	const away, clock = 5 * time.Second, time.Hour
	d := newDaemon("b1")
	// Each read but the snapshots is held for hold.
	const hold = 1400 * time.Millisecond
	read := func(at time.Time, held bool, o Operator) {
		o.Clock, o.Held = clock+at.Sub(start), held
		requestedAt := at
		if held {
			requestedAt = at.Add(-hold)
		}
		d.update(at, operatorRead{requestedAt, o})
	}
	read(start, false, Operator{Snapshot: true, Table: configuration(1), Weights: map[string]int64{"m": 1}, Known: rev(50)})
	back := start.Add(away)
	known := revision.Revision{Restores: 1, Number: 40}
	read(back, false, Operator{Snapshot: true, Table: configuration(1), Weights: map[string]int64{"m": 1}, Known: known})
	read(back.Add(hold), true, Operator{Known: known})
	now := back.Add(rewriteGrace - time.Millisecond)
	read(now, true, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}, Known: revision.Revision{Restores: 1, Number: 41}})
	if age := d.tables.rolloutOf("m").age(now, 2); age < now.Sub(start) {
		t.Errorf("version 2 counts as named at most %v ago, it may have been named %v ago", age, now.Sub(start))
	}
}

// TestEvacuationLostInRestore guards against a box that, by its own read of restored rows,
// ignores a hub that knows an evacuation which the restore lost.
func TestEvacuationLostInRestore(t *testing.T) {
	d := boxWithThreeDomains()
	back := start.Add(time.Second)
	d.update(back, operatorRead{back, Operator{Snapshot: true, Table: configuration(1), Evacuations: map[string]bool{}, Known: revision.Revision{Restores: 1, Number: 40}}})
	d.applyHubEvacuations(back.Add(100*time.Millisecond), &d.tables, "hub", start, []string{"b"})
	if got := d.tables.fleet.Evacuated(); len(got) != 1 || got[0] != "b" {
		t.Errorf("evacuated: %v, want b", got)
	}
}

// TestViewAfterRestore lists the hub's views by which a spoke keeps its hub though its proof
// is old, as both wait for the operator to write again what a restore lost.
func TestViewAfterRestore(t *testing.T) {
	const restores = 2
	tests := []struct {
		name string
		v    peer.View
		// known is the highest number of restores for which a hub told the spoke that the rows
		// are written again.
		known uint64
		stays bool
	}{
		{"a young proof", peer.View{ProofAgeMS: 200, OperatorRestores: restores}, 0, true},
		{"an old proof", peer.View{ProofAgeMS: 3000, OperatorRestores: restores}, 0, false},
		{"waits and reads", peer.View{ProofAgeMS: 3000, OperatorRestores: restores, RewritePending: true, ReadAgeMS: 200}, 1, true},
		{"waits and no longer reads", peer.View{ProofAgeMS: 3000, OperatorRestores: restores, RewritePending: true, ReadAgeMS: 1500}, 1, false},
		{"waits for what others know to be over", peer.View{ProofAgeMS: 3000, OperatorRestores: restores, RewritePending: true, ReadAgeMS: 200}, restores, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxOfFleet("box-05")
			d.current.Store(configuration(1))
			d.tables.rewriteGrace.End(start, tt.known)
			hub := d.viewHub(start, &d.tables)
			tt.v.ConfigurationVersion, tt.v.WeightVersions = 1, map[string][]peer.WeightVersion{}
			d.update(start, peerAnswered{name: hub, requestedAt: start, answer: peer.Message{View: &tt.v}})
			if got := d.viewHub(start, &d.tables) == hub; got != tt.stays {
				t.Errorf("stays with its hub: %v", got)
			}
			if got := d.hasFreshView(start.Add(time.Second)); got != tt.stays {
				t.Errorf("goes without reading the table service: %v", got)
			}
			if want := start.Add(-time.Duration(tt.v.ProofAgeMS) * time.Millisecond); d.provedAt().After(want) {
				t.Errorf("proved at %v, the hub's proof is of %v", d.provedAt(), want)
			}
		})
	}
}
