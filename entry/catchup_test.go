package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/canary"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// boxThatRead returns a box that has read the operator's rows up to a revision at a time.
func boxThatRead(at time.Time, o Operator) *Daemon {
	d := newDaemon("box")
	d.now = func() time.Time { return at }
	d.update(at, operatorRead{at, o})
	return d
}

// TestNoProofWithoutRows has a box ask for the operator's rows and get an answer that does not say
// which rows it is from: a box of the release before this call answers it as it answers a spoke's
// gossip, and one that never read the rows itself knows of no restore.
func TestNoProofWithoutRows(t *testing.T) {
	proved, now := start.Add(time.Second), start.Add(4*time.Second)
	view := &peer.View{ConfigurationVersion: 2, ProofAgeMS: 100, WeightVersions: map[string][]peer.WeightVersion{}}
	tests := []struct {
		name   string
		answer peer.Message
	}{
		{"a box of the release before", peer.Message{Kind: peer.KindOperator, From: "other", View: view}},
		{"a box that never read the rows", peer.Message{Kind: peer.KindOperator, From: "other", View: view, ConfigurationVersion: 2, ProofAgeMS: 100}},
		{"a box that read after a restore", peer.Message{Kind: peer.KindOperator, From: "other", View: &peer.View{ConfigurationVersion: 1, ProofAgeMS: 100, WeightVersions: map[string][]peer.WeightVersion{}}, OperatorRevision: revision.Revision{Restores: 1, Number: 6}}},
		{"a box that waits for what a restore lost", peer.Message{Kind: peer.KindOperator, From: "other", View: &peer.View{ConfigurationVersion: 1, ProofAgeMS: 100, WeightVersions: map[string][]peer.WeightVersion{}}, OperatorRevision: rev(6), RewritePending: true}},
		{"a box that sent no configuration", peer.Message{Kind: peer.KindOperator, From: "other", View: view, ConfigurationVersion: 2, OperatorRevision: rev(6), ProofAgeMS: 100}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxThatRead(proved, Operator{Table: configuration(1), Changed: rev(4), Known: rev(5)})
			d.update(now, operatorFromBox{box: "other", requestedAt: now, answer: tt.answer})
			if at, _ := d.current.ProvedAt(); d.version() != 1 || !at.Equal(proved) {
				t.Errorf("configuration %d is proved %v after the box's own read", d.version(), at.Sub(proved))
			}
			if known := d.tables.operatorKnown; known != rev(5) {
				t.Errorf("the rows are known up to %v", known)
			}
		})
	}
}

// TestEvacuationsByRevision has a box get the operator's rows from another box and from its own
// read, which was answered late. The rows of the later revision count, whichever came last.
func TestEvacuationsByRevision(t *testing.T) {
	at := func(tenths int) time.Time { return start.Add(time.Duration(tenths) * 100 * time.Millisecond) }
	// other applies an answer of a box that has read up to a revision and was proved at a time.
	other := func(now, proved int, number uint64, domains ...string) func(*Daemon) {
		return func(d *Daemon) {
			age := at(now).Sub(at(proved)).Milliseconds()
			d.update(at(now), operatorFromBox{box: "other", requestedAt: at(now), answer: peer.Message{
				OperatorRevision: rev(number), ProofAgeMS: age, ConfigurationVersion: 1,
				View: &peer.View{ProofAgeMS: age, WeightVersions: map[string][]peer.WeightVersion{}, Evacuated: domains},
			}})
		}
	}
	// own applies this box's own read.
	own := func(now, requested int, number uint64, changes map[string]bool) func(*Daemon) {
		return func(d *Daemon) {
			d.update(at(now), operatorRead{at(requested), Operator{Evacuations: changes, Changed: rev(number), Known: rev(number)}})
		}
	}
	tests := []struct {
		name  string
		steps []func(*Daemon)
		want  []string
	}{
		{"an older own answer arrives first", []func(*Daemon){
			own(30, 2, 6, map[string]bool{}), other(31, 29, 7, "a"),
		}, []string{"a"}},
		{"own answers arrive before and after", []func(*Daemon){
			own(30, 2, 6, map[string]bool{}), other(31, 29, 8, "a"), own(60, 30, 7, map[string]bool{"a": true}), own(61, 60, 8, map[string]bool{}),
		}, []string{"a"}},
		{"another box whose proof is younger, but which lacks the change", []func(*Daemon){
			other(20, 15, 8, "a"), other(21, 19, 7),
		}, []string{"a"}},
		{"an evacuation is revoked", []func(*Daemon){
			own(30, 2, 6, map[string]bool{"a": true}), other(31, 29, 7),
		}, nil},
		{"an own answer from before the revocation arrives after it", []func(*Daemon){
			other(20, 15, 8), own(30, 2, 7, map[string]bool{"a": true}),
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxThatRead(start, Operator{Table: configuration(1), Evacuations: map[string]bool{}, Snapshot: true, Changed: rev(5), Known: rev(5)})
			for _, step := range tt.steps {
				step(d)
			}
			if got := d.tables.fleet.Evacuated(); !slices.Equal(got, tt.want) {
				t.Errorf("evacuated %v, want %v", got, tt.want)
			}
		})
	}
}

// TestCanarySpecAfterAnotherBox has a box learn of a canary version from another box before its own
// late read of the operator's rows tells it how long the rollout may take.
func TestCanarySpecAfterAnotherBox(t *testing.T) {
	spec := canary.Rollout{Pool: "orders", Version: "2", Order: 6, Timeout: time.Minute}
	d := boxThatRead(start, Operator{Table: configuration(1), Canaries: map[string]*canary.Rollout{}, Snapshot: true, Changed: rev(5), Known: rev(5), Clock: time.Hour})
	now := start.Add(2 * time.Second)
	d.update(now, operatorFromBox{box: "other", requestedAt: now, answer: peer.Message{
		OperatorRevision: rev(7), ConfigurationVersion: 1,
		View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, Canaries: []peer.Canary{{Pool: "orders", Version: "2", Order: 6}}},
	}})
	if row, changes := d.nextCanaryRow(now, &d.tables, d.tables.canaryOf("orders")); changes {
		t.Errorf("writes the row %+v before it knows how long the rollout may take", row)
	}
	d.update(now.Add(time.Second), operatorRead{start, Operator{Canaries: map[string]*canary.Rollout{"orders": &spec}, Changed: rev(6), Known: rev(6)}})
	if got := d.tables.canaryOf("orders").spec; got != spec {
		t.Errorf("the rollout is %+v, want %+v", got, spec)
	}
}

// TestServedByOneReader guards against boxes that refuse keys although another box they hear from
// has a proof: all reads are late except one box's, and nothing changes.
func TestServedByOneReader(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		boxes int
		late  func(f *lateFleet) []string
	}{
		{"without hubs, half", 12, func(f *lateFleet) []string { return f.allBoxes()[6:] }},
		{"without hubs, all but the first", 12, func(f *lateFleet) []string { return f.allBoxes()[1:] }},
		{"without hubs, all but the last", 12, func(f *lateFleet) []string { return f.allBoxes()[:11] }},
		{"all hubs but the first", 84, func(f *lateFleet) []string { return f.hubNames()[1:] }},
		{"all hubs but the last", 84, func(f *lateFleet) []string { hubs := f.hubNames(); return hubs[:len(hubs)-1] }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newLateFleet(tt.boxes, 2+tt.boxes/16)
			for _, name := range tt.late(f) {
				f.tableServiceDown[name] = true
			}
			refused := make(map[string]int)
			for end := f.now.Add(10 * time.Second); f.now.Before(end); {
				f.advance(emulatorStep, nil)
				for _, d := range f.boxes {
					if status, _ := f.ask(d, "good", "/stays/false/"); status != http.StatusOK {
						refused[d.Settings.Name]++
					}
				}
			}
			if len(refused) > 0 {
				t.Errorf("refused callers with keys: %v", refused)
			}
		})
	}
}

// TestConfigurationFetchedOnce has a hub's view name a later configuration: a spoke that is fetching it
// from that hub does not read it a second time meanwhile, and does once that has failed.
func TestConfigurationFetchedOnce(t *testing.T) {
	d := boxOfFleet("box-05")
	d.current.Replace(configuration(1), start)
	hub := d.viewHub(start, &d.tables)
	view := &peer.View{ConfigurationVersion: 2, WeightVersions: map[string][]peer.WeightVersion{}}
	effects := d.update(start, peerAnswered{name: hub, requestedAt: start, answer: peer.Message{From: hub, ConfigurationVersion: 2, View: view}})
	if len(effects) != 1 {
		t.Fatalf("effects %+v, want a call for the configuration", effects)
	}
	now := start.Add(2 * catchUpAfter)
	if again := d.catchUp(now, &d.tables); len(again) > 0 {
		t.Errorf("reads it a second time meanwhile: %+v", again)
	}
	d.update(now, configurationFromHub{err: context.DeadlineExceeded})
	if again := d.catchUp(now, &d.tables); len(again) != 1 {
		t.Errorf("effects %+v after the call failed, want a call", again)
	}
}

// TestLateReadsOfRows is TestLateReads for evacuations, weight versions and canary versions.
func TestLateReadsOfRows(t *testing.T) {
	t.Parallel()
	const within = 2 * time.Second
	first := func(f *lateFleet) []string { return f.allBoxes()[:1] }
	lastBox := func(f *lateFleet) []string { return f.allBoxes()[len(f.boxes)-1:] }
	reader := func(f *lateFleet) []string { hubs := f.hubNames(); return hubs[len(hubs)-1:] }
	otherHubs := func(f *lateFleet) []string { hubs := f.hubNames(); return hubs[:len(hubs)-1] }
	domainButOne := func(f *lateFleet) []string { return f.ofDomain()[1:] }
	tests := []struct {
		name  string
		boxes int
		late  func(f *lateFleet) []string
	}{
		{"the first box", 6, first},
		{"the last box", 6, lastBox},
		{"the hub that reads for the others", 84, reader},
		{"all hubs but that one", 84, otherHubs},
		{"all boxes of a domain but one", 84, domainButOne},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newLateFleet(tt.boxes, 2+tt.boxes/16)
			for _, name := range tt.late(f) {
				f.tableServiceDown[name] = true
			}
			change := func(version int64, closed bool) {
				f.writeOperator(func(o *Operator) {
					o.Evacuations = map[string]bool{"d1": closed}
					o.Weights = map[string]int64{"m": version}
					o.Canaries = map[string]*canary.Rollout{"new": {Pool: "new", Version: fmt.Sprint(version), Order: uint64(version), Timeout: time.Minute}}
				})
				f.advance(within, nil)
				for _, d := range f.boxes {
					evacuated := len(d.tables.fleet.Evacuated()) > 0
					w, c := d.tables.weights["m"], d.tables.canaryOf("new")
					if evacuated != closed || w == nil || w.newestVersion != version || c == nil || c.spec.Order != uint64(version) {
						t.Errorf("%s (late %v, spoke %v) after %v: evacuated %v, want %v; weights %+v and canary %+v, want version %d", d.Settings.Name, f.tableServiceDown[d.Settings.Name], d.spoke.Load(), within, evacuated, closed, w, c, version)
					}
				}
			}
			change(1, true)
			change(2, false)
			change(3, true)
		})
	}
}

// TestLaterVersionThatNobodyHas has the only box that read a later configuration end in an outage of the
// table service: the others can't get it and go on serving callers without a key.
func TestLaterVersionThatNobodyHas(t *testing.T) {
	t.Parallel()
	const most = time.Second
	f := newLateFleet(12, 2)
	reader := f.allBoxes()[0]
	for _, name := range f.allBoxes()[1:] {
		f.tableServiceDown[name] = true
	}
	f.writeOperator(func(o *Operator) { o.Table = lateTable(2) })
	for f.byName[reader].version() < 2 {
		f.advance(emulatorStep, nil)
	}
	f.advance(gossipInterval, nil)
	f.dead[reader] = true
	refused := make(map[string]time.Duration)
	for end := f.now.Add(12 * time.Second); f.now.Before(end); {
		f.advance(emulatorStep, nil)
		for _, d := range f.boxes[1:] {
			if status, _ := f.ask(d, "", "/stays/true/"); status != http.StatusOK {
				refused[d.Settings.Name] += emulatorStep
			}
		}
	}
	for box, lasted := range refused {
		if f.byName[box].version() < 2 && lasted > most {
			t.Errorf("%s refused callers without a key for %v", box, lasted)
		}
	}
}

// TestServedByNewHubAfterRestore has a box become a hub some time after a restore of the table service,
// with late reads: it takes the other hubs' proofs, as what it knows is from after that restore.
func TestServedByNewHubAfterRestore(t *testing.T) {
	t.Parallel()
	for _, changed := range []bool{false, true} {
		t.Run(fmt.Sprintf("changed %v", changed), func(t *testing.T) {
			t.Parallel()
			f := newLateFleet(84, 7)
			f.restore(5, f.rows.Snapshot())
			f.advance(10*time.Second, nil)
			hub := f.newHub(t)[0]
			f.tableServiceDown[hub] = true
			if changed {
				f.writeOperator(func(o *Operator) { o.Table = lateTable(2) })
			}
			refused := 0
			for end := f.now.Add(lateFor); f.now.Before(end); {
				f.advance(emulatorStep, nil)
				if status, _ := f.ask(f.byName[hub], "good", "/stays/false/"); status != http.StatusOK {
					refused++
				}
			}
			if refused > 0 {
				t.Errorf("%s refused a good key in %d rounds of %v", hub, refused, emulatorStep)
			}
		})
	}
}

// TestLateReadsAmongOldReleases is TestLateReads for boxes that can't get the operator's rows from the
// other ones, which are of the release before. They refuse callers once they have to.
func TestLateReadsAmongOldReleases(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		boxes int
		late  func(t *testing.T, f *lateFleet) []string
	}{
		{"without hubs, the first box", 6, func(_ *testing.T, f *lateFleet) []string { return f.allBoxes()[:1] }},
		{"without hubs, the last box", 6, func(_ *testing.T, f *lateFleet) []string { return f.allBoxes()[5:] }},
		{"a hub", 32, func(_ *testing.T, f *lateFleet) []string { return f.hubNames()[:1] }},
		{"a box that becomes a hub", 32, func(t *testing.T, f *lateFleet) []string { t.Helper(); return f.newHub(t) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newLateFleet(tt.boxes, 2+tt.boxes/16)
			late := tt.late(t, f)
			f.oldRelease = make(map[string]bool)
			for _, name := range f.allBoxes() {
				f.oldRelease[name] = name != late[0]
			}
			last := f.changeLate(late, false)
			for i, r := range lateRequests {
				if took, broke := last[i][late[0]]; broke {
					t.Errorf("%s: goes by the old configuration up to %v after the change, allowed %v", r.name, took, r.within)
				}
			}
		})
	}
}

// TestConfigurationAge checks for how long a box says that its configuration exists: since it was first
// told of it, not since it has it. Other boxes refuse callers by that.
func TestConfigurationAge(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	told := func(now, version, age int) func(*Daemon) {
		return func(d *Daemon) {
			m := peer.Message{Kind: peer.KindGossip, From: "other", ConfigurationVersion: int64(version), ConfigurationAgeMS: int64(age)}
			d.peerRequest(at(now), &d.tables, m)
		}
	}
	read := func(now, version int) func(*Daemon) {
		return func(d *Daemon) {
			d.update(at(now), operatorRead{at(now), Operator{Table: configuration(int64(version)), Changed: rev(uint64(4 + version)), Known: rev(uint64(4 + version))}})
		}
	}
	fromBox := func(now, version, age int) func(*Daemon) {
		return func(d *Daemon) {
			d.update(at(now), operatorFromBox{box: "other", requestedAt: at(now), table: configuration(int64(version)), answer: peer.Message{
				ConfigurationVersion: int64(version), ConfigurationAgeMS: int64(age), OperatorRevision: rev(uint64(4 + version)),
				View: &peer.View{ConfigurationVersion: int64(version), WeightVersions: map[string][]peer.WeightVersion{}},
			}})
		}
	}
	const now = 2000
	tests := []struct {
		name  string
		steps []func(*Daemon)
		want  int64
	}{
		{"read", []func(*Daemon){read(1500, 2)}, 500},
		{"told, then read", []func(*Daemon){told(1000, 2, 300), read(1500, 2)}, 1300},
		{"told of a later one, then read", []func(*Daemon){told(1000, 2, 300), told(1100, 3, 0), read(1500, 3)}, 900},
		{"told, then read a later one", []func(*Daemon){told(1000, 2, 300), read(1500, 3)}, 500},
		{"from another box", []func(*Daemon){fromBox(1500, 2, 700)}, 1200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxThatRead(start, Operator{Table: configuration(1), Changed: rev(5), Known: rev(5)})
			for _, step := range tt.steps {
				step(d)
			}
			var m peer.Message
			d.addVersion(at(now), &d.tables, &m)
			if m.ConfigurationAgeMS != tt.want {
				t.Errorf("configuration %d exists for %d ms, want %d", m.ConfigurationVersion, m.ConfigurationAgeMS, tt.want)
			}
		})
	}
}
