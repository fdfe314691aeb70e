package entry

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/retryafter"
)

var (
	signalsLeaving = notice.Signals{Leaving: true}
	signalsBackoff = notice.Signals{Backoff: 3 * time.Second}
)

// withEngines makes a daemon know engines.
func withEngines(d *Daemon, ids ...string) *Daemon {
	d.now = func() time.Time { return start }
	var list []fleet.Entry
	for _, id := range ids {
		list = append(list, engine(id, 1))
	}
	d.update(start, operatorRead{start, Operator{Table: configuration(1), Weights: map[string]int64{"m": 1}, Evacuations: map[string]bool{}, Snapshot: true}})
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: list}, false})
	return d
}

// sendSignals has a target send signals, as its answers do.
func sendSignals(d *Daemon, now time.Time, incarnation fleet.Incarnation, signals notice.Signals) {
	d.notices.Observe(now, incarnation, signals)
	d.update(now, signalsReceived{incarnation})
}

// restartAfterBackoff has a target ask for a backoff at a time, and its box read the entry of its
// next incarnation at start.
func restartAfterBackoff(d *Daemon, asked time.Time, backoff time.Duration) {
	earlier := engine("a", 1)
	earlier.StartedAt = start.Add(-time.Hour)
	d.update(start.Add(-time.Minute), targetsRead{start, Targets{Listed: []fleet.Entry{earlier}}, false})
	sendSignals(d, asked, fleet.Incarnation{ID: "a", StartedAt: earlier.StartedAt}, notice.Signals{Backoff: backoff})
	again := engine("a", 1)
	again.StartedAt = start.Add(-restartLag - time.Minute)
	d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{again}}, false})
}

// placedOn lists the targets on which a box places requests one after the other, each once,
// until it refuses; and that refusal.
func placedOn(d *Daemon, now time.Time) ([]string, *refusal.Refusal) {
	var tried []string
	for {
		place, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: job("long", 1000), Attempted: tried})
		if err != nil {
			slices.Sort(tried)
			return tried, refusal.Of(err, "", 0)
		}
		tried = append(tried, place.Target)
	}
}

// TestSignalsExcludeTarget checks which targets get requests after one sent signals.
func TestSignalsExcludeTarget(t *testing.T) {
	later := fleet.Entry{ID: "a", Pool: "models", Versions: map[string]int64{"m": 1}, StartedAt: start.Add(time.Second)}
	tests := []struct {
		name   string
		happen func(d *Daemon)
		after  time.Duration
		want   string
	}{
		{"nothing", func(*Daemon) {}, 0, "[a b]"},
		{"it leaves", func(d *Daemon) { sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsLeaving) }, time.Hour / 2, "[b]"},
		{"it asks for a backoff", func(d *Daemon) { sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsBackoff) }, 2 * time.Second, "[b]"},
		{"its backoff is over", func(d *Daemon) { sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsBackoff) }, 3 * time.Second, "[a b]"},
		{"its cache events say that it leaves", func(d *Daemon) {
			d.tables.watched["a"] = func() {}
			d.update(start, cacheEventsRead{source: "a", events: CacheEvents{Signals: signalsLeaving}, requestedAt: start})
		}, 0, "[b]"},
		{"its cache events are refused, with a backoff", func(d *Daemon) {
			d.tables.watched["a"] = func() {}
			d.update(start, cacheEventsRead{source: "a", events: CacheEvents{Signals: signalsBackoff}, requestedAt: start, err: errors.New("503")})
		}, 2500 * time.Millisecond, "[b]"},
		{"it leaves, goes from the list, and a stale list has it", func(d *Daemon) {
			sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsLeaving)
			d.update(start, targetsRead{start, Targets{Removed: []string{"a"}}, false})
			d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{engine("a", 1)}}, false})
		}, 0, "[b]"},
		{"the list says that it leaves, it goes, and a stale list has it as ready", func(d *Daemon) {
			gone := engine("a", 1)
			gone.Leaving = true
			d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{gone}}, false})
			d.update(start, targetsRead{start, Targets{Removed: []string{"a"}}, false})
			d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{engine("a", 1)}}, false})
		}, 0, "[b]"},
		{"it asks for a backoff, and a list adds it again", func(d *Daemon) {
			sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsBackoff)
			d.update(start, targetsRead{start, Targets{Removed: []string{"a"}}, false})
			d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{engine("a", 1)}}, false})
		}, time.Second, "[b]"},
		{"it left, and a later incarnation has its ID", func(d *Daemon) {
			d.notices.Observe(start, fleet.Incarnation{ID: "a", StartedAt: start.Add(-time.Hour)}, notice.Signals{Leaving: true, Backoff: time.Minute})
			d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{later}}, false})
		}, 0, "[a b]"},
		{"it starts again and asks for a backoff before its entry is read", func(d *Daemon) {
			restartAfterBackoff(d, start.Add(-time.Second), 3*time.Second)
		}, 1900 * time.Millisecond, "[b]"},
		{"it starts again and asks for a backoff before its entry is read, which ends", func(d *Daemon) {
			restartAfterBackoff(d, start.Add(-time.Second), 3*time.Second)
		}, 2 * time.Second, "[a b]"},
		{"it starts again, and an answer to an earlier request asks for a backoff", func(d *Daemon) {
			restartAfterBackoff(d, start.Add(-time.Minute), time.Second)
			earlier := d.tables.fleet.Target("a").StartedAt.Add(-time.Minute)
			sendSignals(d, start.Add(time.Second), fleet.Incarnation{ID: "a", StartedAt: earlier}, signalsBackoff)
		}, 2 * time.Second, "[b]"},
		{"it asks for a backoff long before the entry of its next incarnation is read", func(d *Daemon) {
			restartAfterBackoff(d, start.Add(-restartLag-1), time.Minute)
		}, 0, "[a b]"},
		{"it asks for a long backoff before the entry of its next incarnation is read", func(d *Daemon) {
			restartAfterBackoff(d, start.Add(-time.Second), time.Minute)
		}, maxInheritedBackoff, "[a b]"},
		{"its report says that it leaves, and a later incarnation has its ID", func(d *Daemon) {
			d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{{ID: "a", Pool: "models", Versions: map[string]int64{"m": 1}, StartedAt: start}}}, false})
			d.Platform.Report = func(context.Context, netip.AddrPort) (Report, error) { return Report{Signals: signalsLeaving}, nil }
			d.perform(context.Background(), pollLoaded{"a", netip.AddrPort{}, d.tables.fleet.Target("a").Incarnation()})
			d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{later}}, false})
		}, 0, "[a b]"},
		{"its report says that it leaves", func(d *Daemon) {
			d.Platform.Report = func(context.Context, netip.AddrPort) (Report, error) { return Report{Signals: signalsLeaving}, nil }
			d.perform(context.Background(), pollLoaded{"a", netip.AddrPort{}, d.tables.fleet.Target("a").Incarnation()})
			d.update(start, <-d.messages)
		}, 0, "[b]"},
		{"both leave", func(d *Daemon) {
			sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsLeaving)
			sendSignals(d, start, fleet.Incarnation{ID: "b"}, signalsLeaving)
		}, 0, "[]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := withEngines(newDaemon("b1"), "a", "b")
			tt.happen(d)
			now := start.Add(tt.after)
			proved := now
			d.current.setProvedAt(proved)
			if got, _ := placedOn(d, now); fmt.Sprint(got) != tt.want {
				t.Errorf("placed on %v, want %v", got, tt.want)
			}
		})
	}
}

// TestAllInBackoff checks the time after which callers should return if all targets asked for a
// backoff: when the first backoff ends, within bounds.
func TestAllInBackoff(t *testing.T) {
	tests := []struct {
		name   string
		spans  [2]time.Duration
		from   time.Duration
		within time.Duration
	}{
		{"soon", [2]time.Duration{500 * time.Millisecond, time.Minute}, 500 * time.Millisecond, 700 * time.Millisecond},
		{"for long", [2]time.Duration{time.Hour, time.Hour}, retryafter.MaxOutage, retryafter.MaxOutage + 200*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := withEngines(newDaemon("b1"), "a", "b")
			for i, id := range []string{"a", "b"} {
				sendSignals(d, start, fleet.Incarnation{ID: id}, notice.Signals{Backoff: tt.spans[i]})
			}
			_, refused := placedOn(d, start)
			if d.retryEstimator.Ended(start, noTarget+"models") != 0 {
				t.Error("the pool counts as one without targets")
			}
			if refused.Code != codeBackoff || refused.Outcome != refusal.DidNotRun || refused.RetryAfter < tt.from || refused.RetryAfter > tt.within {
				t.Errorf("refused as %q, %v, retry after %v", refused.Code, refused.Outcome, refused.RetryAfter)
			}
		})
	}
}

// TestHubMissesSignal has a hub that received no signal place for a box that was asked for a
// backoff, and a hub that was itself asked for one place there for others.
func TestHubMissesSignal(t *testing.T) {
	for _, signals := range []notice.Signals{signalsLeaving, signalsBackoff} {
		t.Run(fmt.Sprintf("%+v", signals), func(t *testing.T) {
			d := withEngines(largeFleet("box-05"), "a", "b")
			sendSignals(d, start, fleet.Incarnation{ID: "a"}, signals)
			if _, ok := d.acceptHubPlace(start, &d.tables, deliver.PlacementRequest{Job: job("long", 1000)}, &peer.PlacementResponse{Target: "a", Version: 1}); ok {
				t.Error("the hub's placement is accepted")
			}
			reply := make(chan placementAnswer, 1)
			effects := d.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: job("long", 1000)}, reply: reply})
			request := effects[0].(askHub).ask
			if want := shortID(d.tables.fleet.Target("a")); len(request.Excluded) != 1 || request.Excluded[0] != want {
				t.Fatalf("reported %v to the hub, want %v", request.Excluded, want)
			}
			hub := withEngines(largeFleet("box-00"), "a", "b")
			hub.tables.hubWarm = true
			for range 20 {
				if placed := hub.placeForPeer(start, &hub.tables, peer.Message{From: "box-05", PlacementRequest: &request}); placed.Target != "b" {
					t.Fatalf("the hub places on %q", placed.Target)
				}
			}
			request.Excluded = append(request.Excluded, shortID(hub.tables.fleet.Target("b")))
			if placed := hub.placeForPeer(start, &hub.tables, peer.Message{From: "box-05", PlacementRequest: &request}); placed.Refused != codeBackoff {
				t.Errorf("the hub refuses as %q", placed.Refused)
			}
		})
	}
}

// TestAllExcludedAtHub has a hub know only targets that the asking box named as excluded. The
// box refuses for its own reason, or asks another hub if it knows of another target.
func TestAllExcludedAtHub(t *testing.T) {
	tests := []struct {
		name   string
		happen func(d *Daemon)
		tried  []string
		want   string
	}{
		{"they ask for a backoff", func(d *Daemon) {
			sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsBackoff)
			sendSignals(d, start, fleet.Incarnation{ID: "b"}, signalsBackoff)
		}, nil, codeBackoff},
		{"they leave", func(d *Daemon) {
			sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsLeaving)
			sendSignals(d, start, fleet.Incarnation{ID: "b"}, signalsLeaving)
		}, nil, "no_target"},
		{"one is available", func(d *Daemon) { sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsBackoff) }, nil, ""},
		{"one is available and was tried", func(d *Daemon) { sendSignals(d, start, fleet.Incarnation{ID: "a"}, signalsBackoff) }, []string{"b"}, codeBackoff},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := withEngines(largeFleet("box-05"), "a", "b")
			tt.happen(d)
			answer, done := d.acceptHubPlace(start, &d.tables, deliver.PlacementRequest{Job: job("long", 1000), Attempted: tt.tried}, &peer.PlacementResponse{Refused: codeBackoff})
			if done != (tt.want != "") {
				t.Fatalf("refused: %v", done)
			}
			if got := refusal.Of(answer.err, "", 0); done && (got.Code != tt.want || got.RetryAfter == 0) {
				t.Errorf("refused as %q, retry after %v", got.Code, got.RetryAfter)
			}
		})
	}
}

// TestHubBackoffIsItsOwn has a target ask a hub for a backoff. The hub still places other
// boxes' requests there.
func TestHubBackoffIsItsOwn(t *testing.T) {
	hub := withEngines(largeFleet("box-00"), "a")
	hub.tables.hubWarm = true
	sendSignals(hub, start, fleet.Incarnation{ID: "a"}, signalsBackoff)
	request := peer.PlacementRequest{Request: "r", Pool: "models", Model: "m", Tokens: 1000, MaxMemoryShare: 1, TypicalTokens: 1000}
	if placed := hub.placeForPeer(start, &hub.tables, peer.Message{From: "box-05", PlacementRequest: &request}); placed.Target != "a" {
		t.Errorf("placed on %q, refused as %q", placed.Target, placed.Refused)
	}
	if got, _ := placedOn(hub, start); len(got) > 0 {
		t.Errorf("its own request is placed on %v", got)
	}
}

// TestAllowBeforeSend checks that requests are allowed right before they are sent, however long
// ago they were placed.
func TestAllowBeforeSend(t *testing.T) {
	tests := []struct {
		name        string
		incarnation fleet.Incarnation
		signals     notice.Signals
		want        error
	}{
		{"nothing", fleet.Incarnation{ID: "a"}, notice.Signals{}, nil},
		{"it leaves", fleet.Incarnation{ID: "a"}, signalsLeaving, notice.ErrLeaving},
		{"it asks for a backoff", fleet.Incarnation{ID: "a"}, signalsBackoff, notice.ErrBackoff},
		{"another leaves", fleet.Incarnation{ID: "b"}, signalsLeaving, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := withEngines(newDaemon("b1"), "a", "b")
			allowed := errors.New("not asked")
			d.Platform.Send = func(_ context.Context, s deliver.Attempt) (*deliver.Reply, error) {
				d.notices.Observe(start, tt.incarnation, tt.signals) // While the request waits for its connection.
				allowed = s.Allow()
				return &deliver.Reply{}, nil
			}
			if _, err := d.send(context.Background(), deliver.Attempt{Job: job("long", 1000), Place: deliver.Placement{Target: "a"}}); err != nil {
				t.Fatal(err)
			}
			if !errors.Is(allowed, tt.want) || (allowed == nil) != (tt.want == nil) {
				t.Errorf("allowed: %v, want %v", allowed, tt.want)
			}
		})
	}
}

// TestSignalsReachLoop has an answer carry signals of its target. The next request is not
// placed there, so that no attempt is wasted.
func TestSignalsReachLoop(t *testing.T) {
	for _, signals := range []notice.Signals{signalsLeaving, signalsBackoff} {
		t.Run(fmt.Sprintf("%+v", signals), func(t *testing.T) {
			d := withEngines(newDaemon("b1"), "a", "b")
			d.Platform.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) {
				return &deliver.Reply{Status: 200, Signals: signals}, nil
			}
			if _, err := d.send(context.Background(), deliver.Attempt{Job: job("long", 1000), Place: deliver.Placement{Target: "a"}}); err != nil {
				t.Fatal(err)
			}
			select {
			case m := <-d.messages:
				d.update(start, m)
			default:
				t.Fatal("the loop gets no message")
			}
			if got, _ := placedOn(d, start); fmt.Sprint(got) != "[b]" {
				t.Errorf("placed on %v", got)
			}
		})
	}
}
