package entry

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
)

// TestSilentBox has gossip with a box fail. After a silent connection the box is called again
// in the next round, as a new connection may work, and after other errors once a longer pause
// is over.
func TestSilentBox(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		failed bool
		again  time.Duration
	}{
		{"answered", nil, false, 0},
		{"silent", peer.ErrSilent, false, gossipInterval},
		{"unreachable", errors.New("refused"), true, gossipRetryDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			m := &member{address: netip.MustParseAddrPort("10.0.0.2:7700"), calling: true}
			d.tables.members["b2"] = m
			d.update(start, peerAnswered{name: "b2", err: tt.err})
			if m.unanswered != tt.failed || m.calling {
				t.Errorf("failed %v, calling %v", m.unanswered, m.calling)
			}
			if early := start.Add(tt.again - 1); tt.again > 0 && !early.Before(m.retryAt) || start.Add(tt.again).Before(m.retryAt) {
				t.Errorf("called again after %v, want %v", m.retryAt.Sub(start), tt.again)
			}
		})
	}
}

// TestLooksDead lists when a waiting request should move on to another target.
func TestLooksDead(t *testing.T) {
	at := netip.MustParseAddrPort("10.0.0.9:80")
	tests := []struct {
		name   string
		happen func(d *Daemon)
		after  time.Duration
		want   bool
	}{
		{"well", func(*Daemon) {}, 0, false},
		{"gone", func(d *Daemon) { d.tables.fleet.Drop("e1") }, 0, true},
		{"failed", func(d *Daemon) { d.tables.fleet.Target("e1").Fail(start) }, 0, true},
		{"a connection to it was silent", func(d *Daemon) { d.update(start, silenceSeen{at}) }, time.Second, true},
		{"one was silent long ago", func(d *Daemon) { d.update(start, silenceSeen{at}) }, time.Minute, false},
		{"one to another target was", func(d *Daemon) { d.update(start, silenceSeen{netip.MustParseAddrPort("10.0.0.8:80")}) }, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			e := engine("e1", 1)
			e.Address = at
			d.tables.fleet.Upsert(start, e)
			tt.happen(d)
			if got := d.looksDead(start.Add(tt.after), &d.tables, "e1"); got != tt.want {
				t.Errorf("looksDead = %v", got)
			}
			d.sweep(start.Add(time.Hour), &d.tables)
			if n := len(d.tables.silences); n != 0 {
				t.Errorf("%d silences are still recorded", n)
			}
		})
	}
}

// TestEngineSaysNothing has a request wait at an engine, as in a queue. The engine looks dead
// only if it does not answer calls for its cache events either, which only a box that watches
// it knows.
func TestEngineSaysNothing(t *testing.T) {
	tests := []struct {
		name    string
		watched bool
		after   time.Duration
		want    bool
	}{
		{"watched, silent for a while", true, time.Second, false},
		{"watched, silent for longer", true, 1300 * time.Millisecond, true},
		{"not watched", false, 10 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			if tt.watched {
				d.tables.watched["a"] = func() {}
			}
			d.tables.fleet.Target("a").Sent(start, 0, 0)
			if got := d.looksDead(start.Add(tt.after), &d.tables, "a"); got != tt.want {
				t.Errorf("looks dead: %v", got)
			}
		})
	}
}
