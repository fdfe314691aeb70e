package entry

import (
	"testing"
	"time"
)

// TestHolds bounds the calls to the table service by what a box is.
func TestHolds(t *testing.T) {
	tests := []struct {
		name    string
		change  func(d *Daemon)
		hold    time.Duration
		targets time.Duration
	}{
		{"at start, nothing known", func(*Daemon) {}, proofHold, targetsEvery},
		{"new, the others' rows are to come", func(d *Daemon) { d.update(start, ownRead{Own{}, false}) }, startHold, targetsStart},
		{"there before", func(d *Daemon) { d.update(start, ownRead{Own{}, true}) }, proofHold, targetsEvery},
		{"new, the others are known", func(d *Daemon) {
			d.update(start, ownRead{Own{}, false})
			d.update(start, ownRead{Own{}, true})
		}, proofHold, targetsEvery},
		{"a hub", func(d *Daemon) { d.serving.Store(true) }, hubHold, targetsEvery},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			tt.change(d)
			if got := d.operatorHold(); got != tt.hold {
				t.Errorf("reads of the operator's rows are held for %v, want %v", got, tt.hold)
			}
			if got := d.targetsPause(); got != tt.targets {
				t.Errorf("the list is read each %v, want %v", got, tt.targets)
			}
		})
	}
}
