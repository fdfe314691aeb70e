package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
)

// boxWithClock is a box with a clock that the test sets and random draws of zero, so that it
// gives the shortest retry-after times.
func boxWithClock(now *time.Time) *Daemon {
	d := newDaemon("b1")
	d.now = func() time.Time { return *now }
	d.retryEstimator.Draw = func() float64 { return 0 }
	d.update(*now, operatorRead{*now, Operator{Table: configuration(1)}})
	return d
}

const soonest = 60 * time.Millisecond

// TestRetryAfterByCause checks the retry-after time by the cause of the refusal.
func TestRetryAfterByCause(t *testing.T) {
	tests := []struct {
		name, code string
		happen     func(d *Daemon)
		passed     time.Duration
		want       time.Duration
	}{
		{"turned away", "turned_away", func(*Daemon) {}, 0, soonest},
		{"unreachable", "unreachable", func(*Daemon) {}, 0, soonest},
		{"crowded: by the route's goal", "crowded", func(*Daemon) {}, 0, 120 * time.Millisecond},
		{"no proof", "stale", refuseStale, 1200 * time.Millisecond, 1200 * time.Millisecond},
		{"no proof, the first one refused", "stale", func(*Daemon) {}, 1200 * time.Millisecond, soonest},
		{"no proof, and one again", "stale", func(d *Daemon) {
			refuseStale(d)
			d.update(start, operatorRead{start, Operator{}})
		}, 1200 * time.Millisecond, soonest},
		{"no proof, and an old one", "stale", func(d *Daemon) {
			refuseStale(d)
			d.update(start, operatorRead{start.Add(-time.Minute), Operator{}})
		}, 1200 * time.Millisecond, 1200 * time.Millisecond},
		{"no proof, another box admits callers", "stale", func(d *Daemon) {
			refuseStale(d)
			d.update(start.Add(500*time.Millisecond), peerRequest{peer.Message{Kind: peer.KindGossip, From: "b2"}, make(chan peer.Message, 1)})
		}, 1200 * time.Millisecond, soonest},
		{"no proof, another box answers that it admits callers", "stale", func(d *Daemon) {
			refuseStale(d)
			d.tables.members["b2"] = &member{}
			d.update(start.Add(500*time.Millisecond), peerAnswered{name: "b2", answer: peer.Message{Kind: peer.KindGossip}})
		}, 1200 * time.Millisecond, soonest},
		{"no proof, another box refuses callers as well", "stale", func(d *Daemon) {
			refuseStale(d)
			d.update(start.Add(500*time.Millisecond), peerRequest{peer.Message{Kind: peer.KindGossip, From: "b2", Stale: true}, make(chan peer.Message, 1)})
		}, 1200 * time.Millisecond, 1200 * time.Millisecond},
		{"no proof, another box admitted callers long ago", "stale", func(d *Daemon) {
			refuseStale(d)
			d.update(start, peerRequest{peer.Message{Kind: peer.KindGossip, From: "b2"}, make(chan peer.Message, 1)})
		}, 1200 * time.Millisecond, 1200 * time.Millisecond},
		{"no target for a while", "no_target", func(d *Daemon) { placeOne(d, start) }, 700 * time.Millisecond, 700 * time.Millisecond},
		{"no target beside those tried", "no_target", func(d *Daemon) { placeOne(d, start, "a") }, 700 * time.Millisecond, soonest},
		{"no target, and one again", "no_target", func(d *Daemon) {
			placeOne(d, start)
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			placeOne(d, start)
		}, 700 * time.Millisecond, soonest},
		{"no target, and one again by a hub", "no_target", func(d *Daemon) {
			placeOne(d, start)
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			d.acceptHubPlace(start, &d.tables, deliver.PlacementRequest{Job: job("short", 10)}, &peer.PlacementResponse{Target: "a"})
		}, 700 * time.Millisecond, soonest},
		{"no target, as a hub reports", "no_target", func(d *Daemon) {
			d.acceptHubPlace(start, &d.tables, deliver.PlacementRequest{Job: job("short", 10)}, &peer.PlacementResponse{Refused: "no_target"})
		}, 700 * time.Millisecond, 700 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			d := boxWithClock(&now)
			tt.happen(d)
			now = start.Add(tt.passed)
			j := job("short", 10)
			j.Route.Goal = 1200 * time.Millisecond
			if got := d.retryAfter(tt.code, j); got != tt.want {
				t.Errorf("retry after %v, want %v", got, tt.want)
			}
		})
	}
}

// refuseStale has a caller refused as the last proof of the configuration is too old.
func refuseStale(d *Daemon) {
	old := start.Add(-time.Minute)
	d.current.setProvedAt(old)
	d.retryAfter("stale", job("short", 10))
}

// placeOne asks for a placement.
func placeOne(d *Daemon, now time.Time, tried ...string) error {
	_, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: job("short", 10), Attempted: tried})
	return err
}

// TestNoConfigurationYet checks that a box without a configuration expects to stay without one
// for as long again, and that the route of a refused call need not be known.
func TestNoConfigurationYet(t *testing.T) {
	d := newDaemon("b1")
	d.retryEstimator.Draw = func() float64 { return 0 }
	d.now = func() time.Time { return d.startedAt.Add(900 * time.Millisecond) }
	if got := d.retryAfter("no_configuration", &deliver.Job{Call: &deliver.Call{}}); got != 900*time.Millisecond {
		t.Errorf("retry after %v", got)
	}
	d.update(d.now(), operatorRead{d.now(), Operator{Table: configuration(1)}})
	if got := d.retryAfter("no_configuration", &deliver.Job{Call: &deliver.Call{}}); got != soonest {
		t.Errorf("retry after %v though there is a configuration", got)
	}
}

// TestGossipsWhetherStale checks that a box reports to others whether it refuses callers.
func TestGossipsWhetherStale(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		closed bool
	}{
		{"just proved", 0, false},
		{"proved too long ago", 5 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			d := boxWithClock(&now)
			now = start.Add(tt.after)
			reply := make(chan peer.Message, 1)
			d.update(now, peerRequest{peer.Message{Kind: peer.KindGossip, From: "b2", Stale: true}, reply})
			if got := <-reply; got.Stale != tt.closed {
				t.Errorf("answers that it refuses callers: %v", got.Stale)
			}
			credential := "c"
			d.credential.Store(&credential)
			d.tables.members["b2"] = &member{address: netip.MustParseAddrPort("10.0.0.2:1")}
			effects := d.gossip(now, &d.tables)
			if len(effects) != 1 || effects[0].(callPeer).message.Stale != tt.closed {
				t.Errorf("calls with %+v", effects)
			}
		})
	}
}

// TestRefusalHasRetryAfter checks that a refusal carries a retry-after time.
func TestRefusalHasRetryAfter(t *testing.T) {
	now := start
	d := boxWithClock(&now)
	err := placeOne(d, now)
	if got := refusal.Of(err, "", 0); got.Code != "no_target" || got.RetryAfter != soonest {
		t.Errorf("refused %+v", got)
	}
	now = now.Add(time.Second)
	if got := refusal.Of(placeOne(d, now), "", 0); got.RetryAfter != time.Second {
		t.Errorf("refused %+v", got)
	}
}
