package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

// TestLoadingTargetsArePolled has the box that orders loads announce one and then stay silent.
// The target is polled, and takes work as soon as it is not loading.
func TestLoadingTargetsArePolled(t *testing.T) {
	pollAt := start.Add(firstLoadPoll)
	tests := []struct {
		name    string
		report  Report
		err     error
		takes   bool
		version int64
		again   bool // Polled again.
	}{
		{"has loaded", Report{Versions: map[string]int64{"m": 2}}, nil, true, 2, false},
		{"still loading", Report{Busy: true, Versions: map[string]int64{"m": 1}}, nil, false, 1, true},
		{"says nothing", Report{}, errors.New("lost"), false, 1, true},
		{"never got the order", Report{Versions: map[string]int64{"m": 1}}, nil, true, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			d.applyRolloutRow(start, &d.tables, "m", []byte(`{"epoch":1,"version":2,"loading":["a"]}`))
			if n := len(d.pollLoading(pollAt.Add(-time.Millisecond), &d.tables)); n != 0 {
				t.Fatalf("polled %d times before a load can be over", n)
			}
			if n := len(d.pollLoading(pollAt, &d.tables)); n != 1 {
				t.Fatalf("polled %d times", n)
			}
			d.update(pollAt, loadPolled{"a", tt.report, tt.err})
			x := d.tables.fleet.Target("a")
			if x.Loading(pollAt) == tt.takes || x.Versions["m"] != tt.version {
				t.Errorf("loading %v, version %d", x.Loading(pollAt), x.Versions["m"])
			}
			if again := len(d.pollLoading(pollAt.Add(loadPollInterval), &d.tables)) == 1; again != tt.again {
				t.Errorf("polled again %v", again)
			}
		})
	}
}

// TestOnePollAtATime checks that a target is not polled again while its answer is outstanding,
// and that spokes poll none.
func TestOnePollAtATime(t *testing.T) {
	later := start.Add(2 * firstLoadPoll)
	d := newDaemon("b1")
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	d.applyRolloutRow(start, &d.tables, "m", []byte(`{"epoch":1,"version":2,"loading":["a"]}`))
	if first, again := len(d.pollLoading(later, &d.tables)), len(d.pollLoading(later, &d.tables)); first != 1 || again != 0 {
		t.Errorf("polled %d times, then %d", first, again)
	}
	spoke := newDaemon("b2")
	spoke.spoke.Store(true)
	spoke.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	spoke.applyRolloutRow(start, &spoke.tables, "m", []byte(`{"epoch":1,"version":2,"loading":["a"]}`))
	if n := len(spoke.pollLoading(later, &spoke.tables)); n != 0 {
		t.Errorf("a spoke polled %d times", n)
	}
}
