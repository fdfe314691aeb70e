package entry

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thymewind/thymewind/peer"
)

// reachFleet returns a daemon that knows another box and three engines.
func reachFleet() (*Daemon, *bytes.Buffer) {
	d := newDaemon("b1")
	var lines bytes.Buffer
	d.Log = log.New(&lines)
	d.current.Store(configuration(1))
	for _, id := range []string{"x", "y", "z"} {
		d.tables.fleet.Upsert(start, engine(id, 1))
	}
	d.tables.members["b2"] = &member{address: netip.MustParseAddrPort("10.0.0.2:1"), heardAt: start}
	return d, &lines
}

// TestLostLinksAndLostTargetsDiffer has a box lose its links to all engines of a pool, and all
// engines end: the log says how many boxes reach the pool.
func TestLostLinksAndLostTargetsDiffer(t *testing.T) {
	tests := []struct {
		name string
		// failed are the engines that can't be reached, told what the other box reports.
		failed []string
		told   []string
		want   string
	}{
		{"one engine ended", []string{"x"}, nil, ""},
		{"links lost", []string{"x", "y", "z"}, nil, "reached_by=1"},
		{"engines ended", []string{"x", "y", "z"}, []string{"models"}, "reached_by=0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, lines := reachFleet()
			for _, id := range tt.failed {
				d.tables.unreachable(start, d.tables.fleet.Target(id))
			}
			d.tables.receiveReach(peer.Message{From: "b2", LostPools: tt.told})
			d.noteReach(start, &d.tables)
			line, found := lineWith(lines.String(), "out of this box's reach")
			if found != (tt.want != "") || !strings.Contains(line, tt.want) {
				t.Errorf("logged %q", lines)
			}
			if lost := slices.Contains(d.tables.lostPoolNames(), "models"); lost != found {
				t.Errorf("reported to other boxes: %v", lost)
			}
		})
	}
}

// TestReachedAgain has one answer end the loss.
func TestReachedAgain(t *testing.T) {
	d, lines := reachFleet()
	for _, id := range []string{"x", "y", "z"} {
		d.tables.unreachable(start, d.tables.fleet.Target(id))
	}
	d.noteReach(start, &d.tables)
	d.tables.heard(start.Add(time.Second), d.tables.fleet.Target("y"))
	d.noteReach(start.Add(time.Second), &d.tables)
	if line, _ := lineWith(lines.String(), "reached again"); !strings.Contains(line, "lost_for=1s") || len(d.tables.lostPools) > 0 {
		t.Errorf("logged %q", lines)
	}
}

// lineWith returns the first line with a text.
func lineWith(lines, text string) (string, bool) {
	for line := range strings.Lines(lines) {
		if strings.Contains(line, text) {
			return line, true
		}
	}
	return "", false
}

// TestRejectedCallsAreNoLostLinks has all engines reject the calls for their cache events.
func TestRejectedCallsAreNoLostLinks(t *testing.T) {
	for _, err := range []error{ErrRejected, ErrUnhealthy} {
		d, _ := reachFleet()
		for _, id := range d.tables.fleet.IDs() {
			d.tables.callFailed(start, d.tables.fleet.Target(id), fmt.Errorf("the call: %w", err))
		}
		if d.tables.lost(start.Add(time.Second), "models") {
			t.Errorf("lost by %v", err)
		}
	}
}
