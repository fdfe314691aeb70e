package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// TestAdmission checks that requests of the lowest priority leave room for the others.
func TestAdmission(t *testing.T) {
	tests := []struct {
		name, route string
		taken       int
		admitted    bool
	}{
		{"room for all", "long", 50000, true},
		{"nearly full, lowest priority", "long", 90000, false},
		{"nearly full, high priority", "short", 90000, true},
		{"over full, high priority", "short", 140000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.now = func() time.Time { return start }
			d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			d.tables.members["b1"], d.tables.members["b2"] = &member{}, &member{}
			d.update(start, peerRequest{peer.Message{From: "b2", TargetLoads: []peer.TargetLoad{{Target: placement.Hash("a"), Tokens: tt.taken}}}, make(chan peer.Message, 1)})
			place, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: job(tt.route, 5000)})
			if (err == nil) != tt.admitted {
				t.Fatalf("place %+v, %v", place, err)
			}
			want := 0
			if tt.admitted {
				want = 5000
			}
			if x := d.tables.fleet.Target("a"); x.Tokens != want {
				t.Errorf("counted %d tokens, want %d", x.Tokens, want)
			}
		})
	}
}

// withMemoryUsed returns a box that knows one engine, some tokens of whose memory are used by
// another box's requests.
func withMemoryUsed(tokens int) *Daemon {
	d := newDaemon("b1")
	d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	d.tables.members["b2"] = &member{}
	d.tables.receiveLoads(start, "b2", []peer.TargetLoad{{Target: placement.Hash("a"), Tokens: tokens}})
	return d
}

// TestAdmissionBySize checks that a long prompt is admitted where its route's typical prompt
// is, as long as it fits.
func TestAdmissionBySize(t *testing.T) {
	const typical = 10000
	tests := []struct {
		name          string
		taken, tokens int
		admitted      bool
	}{
		{"typical, fits", 80000, typical, true},
		{"long, a typical one fits", 80000, 30000, true},
		{"typical, does not fit", 83000, typical, false},
		{"short, a typical one does not fit", 83000, 1000, false},
		{"long, does not fit", 80000, 40000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := withMemoryUsed(tt.taken)
			for range 200 {
				d.tables.learnTypicalTokens(job("long", typical))
			}
			_, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: job("long", tt.tokens)})
			if (err == nil) != tt.admitted {
				t.Errorf("admitted: %v (%v)", err == nil, err)
			}
		})
	}
}

// TestTypicalTokens checks that typical request sizes are learned by route, and that a hub
// admits by the bound that the asking box sent.
func TestTypicalTokens(t *testing.T) {
	d := newDaemon("b1")
	if got := d.tables.learnTypicalTokens(job("long", 8000)); got != 8000 {
		t.Errorf("typical size after the first request: %d", got)
	}
	for range 200 {
		d.tables.learnTypicalTokens(job("short", 1000))
		d.tables.learnTypicalTokens(job("long", 12000))
	}
	if got := d.tables.learnTypicalTokens(job("long", 12000)); got < 11500 || got > 12000 {
		t.Errorf("typical size of the long route: %d", got)
	}
	if got := d.tables.learnTypicalTokens(job("short", 1000)); got != 1000 {
		t.Errorf("typical size of the short route: %d", got)
	}
	if got := peerAdmissionLimit(&peer.PlacementRequest{MaxMemoryShare: 0.9, TypicalTokens: 700}); got != (admissionLimit{0.9, 700}) {
		t.Errorf("bound at a hub: %+v", got)
	}
}

// TestAdmissionWhileLate checks that requests of the lowest priority get less room while
// answers are late, the others as much as before, and that this ends when answers are in time
// again.
func TestAdmissionWhileLate(t *testing.T) {
	tests := []struct {
		name, route string
		late        []bool
		admitted    bool
	}{
		{"answers in time, lowest priority", "long", []bool{false}, true},
		{"answers late, lowest priority", "long", []bool{true}, false},
		{"answers late, high priority", "short", []bool{true}, true},
		{"answers in time again, lowest priority", "long", []bool{true, false}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := withMemoryUsed(75000)
			for _, late := range tt.late {
				for range 100 {
					x := d.tables.fleet.Target("a")
					x.Sent(start, 0, 0)
					d.update(start, attemptEnded{deliver.AttemptResult{Place: deliver.Placement{Target: "a"}, Job: job("long", 0), Began: true, Completed: true, Late: late}})
				}
			}
			_, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: job(tt.route, 5000)})
			if (err == nil) != tt.admitted {
				t.Errorf("admitted: %v (%v)", err == nil, err)
			}
		})
	}
}

// TestCongestedService has a service answer quickly, then with full queues. A share of the
// requests is refused before it is sent; requests sent before, and those to other pools, are
// not.
func TestCongestedService(t *testing.T) {
	tests := []struct {
		name  string
		took  time.Duration
		goal  time.Duration
		tried []string
		// least and most bound how many of 200 are refused.
		least, most int
	}{
		{"quick", 40 * time.Millisecond, 150 * time.Millisecond, nil, 0, 0},
		{"queues", 130 * time.Millisecond, 150 * time.Millisecond, nil, 50, 110},
		{"queues, without a goal", 130 * time.Millisecond, 0, nil, 0, 0},
		{"queues, sent before", 130 * time.Millisecond, 150 * time.Millisecond, []string{"i-a"}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxWithThreeDomains()
			job := &deliver.Job{Call: &deliver.Call{ID: "r"}, Route: &routing.Route{Goal: tt.goal}, Pool: &routing.Pool{Name: "orders"}}
			now := start
			answered := func(took time.Duration) {
				place, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: job, Attempted: []string{"i-c"}})
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(took)
				d.update(now, answerBegan{place})
				d.update(now, attemptEnded{deliver.AttemptResult{Place: place, Job: job, Began: true}})
			}
			answered(40 * time.Millisecond)
			for range 20 {
				answered(tt.took)
			}
			refused := 0
			for range 200 {
				_, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: job, Attempted: tt.tried})
				if err == nil {
					continue
				}
				r := refusal.Of(err, "", 0)
				if r.Code != "congested" || r.Outcome != refusal.DidNotRun || r.RetryAfter < 400*time.Millisecond {
					t.Fatalf("refused with %+v", r)
				}
				refused++
			}
			if refused < tt.least || refused > tt.most {
				t.Errorf("%d of 200 refused, want %d to %d", refused, tt.least, tt.most)
			}
		})
	}
}
