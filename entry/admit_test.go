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

// TestAdmission shows that the least urgent kind leaves room for the others.
func TestAdmission(t *testing.T) {
	tests := []struct {
		name, route string
		taken       int
		admitted    bool
	}{
		{"room for all", "long", 50000, true},
		{"nearly full, least urgent", "long", 90000, false},
		{"nearly full, urgent", "short", 90000, true},
		{"over full, urgent", "short", 140000, false},
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

// withMemoryUsed returns a box that knows one engine, of whose memory another box's
// requests take up some tokens.
func withMemoryUsed(tokens int) *Daemon {
	d := newDaemon("b1")
	d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	d.tables.members["b2"] = &member{}
	d.tables.receiveLoads(start, "b2", []peer.TargetLoad{{Target: placement.Hash("a"), Tokens: tokens}})
	return d
}

// TestAdmissionBySize shows that a long prompt is admitted where its route's
// usual one is, as long as it fits at all.
func TestAdmissionBySize(t *testing.T) {
	const usual = 10000
	tests := []struct {
		name         string
		taken, asked int
		admitted     bool
	}{
		{"a usual one, room for it", 80000, usual, true},
		{"a long one, room for a usual one", 80000, 30000, true},
		{"a usual one, no room for it", 83000, usual, false},
		{"a short one, no room for a usual one", 83000, 1000, false},
		{"a long one that does not fit", 80000, 40000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := withMemoryUsed(tt.taken)
			for range 200 {
				d.tables.learnTypicalTokens(job("long", usual))
			}
			_, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: job("long", tt.asked)})
			if (err == nil) != tt.admitted {
				t.Errorf("admitted: %v (%v)", err == nil, err)
			}
		})
	}
}

// TestTypicalTokens shows that what requests take up as a rule is learnt by route, and
// that a hub admits by what the asking box learnt.
func TestTypicalTokens(t *testing.T) {
	d := newDaemon("b1")
	if got := d.tables.learnTypicalTokens(job("long", 8000)); got != 8000 {
		t.Errorf("the first one: %d", got)
	}
	for range 200 {
		d.tables.learnTypicalTokens(job("short", 1000))
		d.tables.learnTypicalTokens(job("long", 12000))
	}
	if got := d.tables.learnTypicalTokens(job("long", 12000)); got < 11500 || got > 12000 {
		t.Errorf("the long route's: %d", got)
	}
	if got := d.tables.learnTypicalTokens(job("short", 1000)); got != 1000 {
		t.Errorf("the short route's: %d", got)
	}
	if got := peerAdmissionLimit(&peer.PlacementRequest{MaxMemoryShare: 0.9, TypicalTokens: 700}); got != (admissionLimit{0.9, 700}) {
		t.Errorf("a hub's: %+v", got)
	}
}

// TestAdmissionWhileLate shows that the least urgent get less room while answers
// are late, the others as much as ever, and both get it back.
func TestAdmissionWhileLate(t *testing.T) {
	tests := []struct {
		name, route string
		late        []bool
		admitted    bool
	}{
		{"answers in time, least urgent", "long", []bool{false}, true},
		{"answers late, least urgent", "long", []bool{true}, false},
		{"answers late, urgent", "short", []bool{true}, true},
		{"answers in time again, least urgent", "long", []bool{true, false}, true},
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

// TestCongestedService has a service answer quickly, then with its queues full: a part of
// the requests is refused before it is sent, those sent before are not, and others' pools
// are not touched.
func TestCongestedService(t *testing.T) {
	tests := []struct {
		name  string
		took  time.Duration
		goal  time.Duration
		tried []string
		// least and most are how many of 200 are refused.
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
