package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
)

// TestEachVersionHasItsBound names two versions one after the other and checks on which weights
// a request may begin. It guards against a third version that restarts the bound of the second.
// With a single time, that of the newest version, a request began on weights 12.4 s after a newer
// version was named, with a bound of 12 s: a still newer version was named 6.6 s after that
// one, while engines crashed and came back with the old weights.
func TestEachVersionHasItsBound(t *testing.T) {
	const between = 6600 * time.Millisecond
	tests := []struct {
		after   time.Duration // Since the second version was named.
		engines []int64
		want    int64 // The version that the request begins on, 0 if it is refused.
	}{
		{2 * time.Second, []int64{1}, 1},
		{2 * time.Second, []int64{1, 2}, 2},
		{between + time.Second, []int64{1}, 1},
		{12100 * time.Millisecond, []int64{1}, 0},
		{12100 * time.Millisecond, []int64{1, 2}, 2},
		{12100 * time.Millisecond, []int64{2}, 2},
		{between + 12100*time.Millisecond, []int64{1, 2}, 0},
		{between + 12100*time.Millisecond, []int64{2, 3}, 3},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("engines %v after %v", tt.engines, tt.after), func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, operatorRead{start, Operator{Table: configuration(1), Weights: map[string]int64{"m": 1}}})
			named := start.Add(time.Minute)
			for i, version := range []int64{2, 3} {
				at := named.Add(time.Duration(i) * between)
				if at.After(named.Add(tt.after)) {
					break
				}
				d.update(at, operatorRead{at, Operator{}})
				d.update(at, operatorRead{at, Operator{Weights: map[string]int64{"m": version}}})
			}
			now := named.Add(tt.after)
			var listed []fleet.Entry
			for i, version := range tt.engines {
				listed = append(listed, engine(fmt.Sprint("i-", i), version))
			}
			d.update(now, operatorRead{now, Operator{}})
			d.update(now, targetsRead{now, Targets{Snapshot: true, Listed: listed}, false})
			place, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: job("short", 10)})
			if place.Version != tt.want || (err != nil) != (tt.want == 0) {
				t.Errorf("placed on version %d, %v, want version %d", place.Version, err, tt.want)
			}
		})
	}
}
