package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

// TestLoadingTargetsArePolled has the box that gives orders announce a load and say
// nothing more. The target is asked, and takes work as soon as it does not load.
func TestLoadingTargetsArePolled(t *testing.T) {
	look := start.Add(firstLoadPoll)
	tests := []struct {
		name    string
		report  Report
		err     error
		takes   bool
		version int64
		asked   bool // Again.
	}{
		{"has loaded", Report{Versions: map[string]int64{"m": 2}}, nil, true, 2, false},
		{"loads yet", Report{Busy: true, Versions: map[string]int64{"m": 1}}, nil, false, 1, true},
		{"says nothing", Report{}, errors.New("lost"), false, 1, true},
		{"never got the order", Report{Versions: map[string]int64{"m": 1}}, nil, true, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			d.applyRolloutRow(start, &d.tables, "m", []byte(`{"epoch":1,"version":2,"loading":["a"]}`))
			if n := len(d.pollLoading(look.Add(-time.Millisecond), &d.tables)); n != 0 {
				t.Fatalf("asked %d times before a load can be over", n)
			}
			if n := len(d.pollLoading(look, &d.tables)); n != 1 {
				t.Fatalf("asked %d times", n)
			}
			d.update(look, loadPolled{"a", tt.report, tt.err})
			x := d.tables.fleet.Target("a")
			if x.Loading(look) == tt.takes || x.Versions["m"] != tt.version {
				t.Errorf("loads %v, version %d", x.Loading(look), x.Versions["m"])
			}
			if again := len(d.pollLoading(look.Add(loadPollInterval), &d.tables)) == 1; again != tt.asked {
				t.Errorf("asked again %v", again)
			}
		})
	}
}

// TestOnePollAtATime shows that a target whose answer is awaited is not asked
// again, and that boxes which live on hubs ask none.
func TestOnePollAtATime(t *testing.T) {
	later := start.Add(2 * firstLoadPoll)
	d := newDaemon("b1")
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	d.applyRolloutRow(start, &d.tables, "m", []byte(`{"epoch":1,"version":2,"loading":["a"]}`))
	if first, again := len(d.pollLoading(later, &d.tables)), len(d.pollLoading(later, &d.tables)); first != 1 || again != 0 {
		t.Errorf("asked %d times, then %d", first, again)
	}
	spoke := newDaemon("b2")
	spoke.spoke.Store(true)
	spoke.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	spoke.applyRolloutRow(start, &spoke.tables, "m", []byte(`{"epoch":1,"version":2,"loading":["a"]}`))
	if n := len(spoke.pollLoading(later, &spoke.tables)); n != 0 {
		t.Errorf("a box behind a hub asked %d times", n)
	}
}
