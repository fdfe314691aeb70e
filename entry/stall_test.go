package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/leastrequest"
	"github.com/thymewind/thymewind/routing"
)

// TestStalledLoopTrustsTargets guards against a box that was paused refusing requests since it takes
// its targets for silent, whose answers it has not read yet.
func TestStalledLoopTrustsTargets(t *testing.T) {
	tests := []struct {
		name string
		// paused is the time before the loop runs again, after is when the request comes.
		paused, after time.Duration
		placed        bool
	}{
		{"silent for a short time", tick, leastrequest.SilenceTimeout - tick, true},
		{"silent", tick, time.Second, false},
		{"paused", time.Second, time.Second, true},
		{"paused, silent after that", time.Second, time.Second + leastrequest.SilenceTimeout + tick, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxWithThreeDomains()
			request := deliver.PlacementRequest{Job: &deliver.Job{Call: &deliver.Call{ID: "r"}, Route: &routing.Route{}, Pool: &routing.Pool{Name: "orders"}}}
			place := func(now time.Time) error {
				_, err := d.place(now, &d.tables, request)
				return err
			}
			d.noteStall(start, &d.tables)
			for range 6 {
				if err := place(start); err != nil {
					t.Fatal(err)
				}
			}
			for at := tt.paused; at <= tt.after; at += tick {
				d.noteStall(start.Add(at), &d.tables)
			}
			if err := place(start.Add(tt.after)); (err == nil) != tt.placed {
				t.Errorf("placing failed with %v", err)
			}
		})
	}
}
