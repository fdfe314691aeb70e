package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/quota"
)

// withoutShare lists the boxes that have no share of any limited target's rate.
func (w *ratedFleet) withoutShare() []*Daemon {
	holders := w.boxes[0].tables.hubs()
	return slices.DeleteFunc(slices.Clone(w.boxes), func(d *Daemon) bool {
		for id := range w.limited {
			if quota.Share(w.rate, placement.Hash(id), d.Settings.Name, holders) > 0 {
				return true
			}
		}
		return false
	})
}

// TestBoxWithoutShareServes guards against a box that refuses all its callers, as it has no share
// of any target's rate limit while boxes that have one leave it unused.
func TestBoxWithoutShareServes(t *testing.T) {
	tests := []struct {
		name                    string
		boxes, domains, targets int
		pool                    string
		rate                    float64
	}{
		{"a small fleet", 8, 3, 2, "orders", 2.5},
		{"a small fleet, engines", 8, 3, 2, "models", 2.5},
		{"a small fleet, low rates", 12, 3, 2, "orders", 0.5},
		{"hubs", 70, 3, 1, "orders", 2.5},
		{"many hubs", 60, 10, 2, "orders", 2.5},
		{"many hubs, engines", 60, 10, 2, "models", 2.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := &ratedFleet{
				emulator: emulate(tt.boxes, tt.domains, configuration(1)), pool: tt.pool, rate: tt.rate,
				limited: make(map[string]bool), arrivals: make(map[string][]time.Time), codes: make(map[string]int),
			}
			for i := range tt.targets {
				e := engineAt(i)
				e.Pool = tt.pool
				w.addTargets(e)
				w.limited[e.ID] = true
			}
			for _, d := range w.boxes {
				d.tables.hubWarm = true
			}
			w.advance(2*time.Second, nil)
			without := w.withoutShare()
			if len(without) == 0 {
				t.Fatal("each box has a share")
			}
			callAt := func(list []*Daemon, span time.Duration, requests int) {
				all := w.boxes
				w.boxes = list
				defer func() { w.boxes = all }()
				for end := w.now.Add(span); w.now.Before(end); {
					w.sendRequests(requests)
					w.boxes = all
					w.advance(emulatorStep, nil)
					w.boxes = list
				}
			}
			callAt(w.boxes, 2*time.Second, 1) // All boxes learn of the limits.
			w.served, w.from = 0, w.now
			const span = 20 * time.Second
			callAt(without[:1], span, 2)
			for id := range w.limited {
				if most, allowed := overRate(w.arrivals[id], tt.rate); most > allowed {
					t.Errorf("%d requests reach %s in 4 s, %d are allowed", most, id, allowed)
				}
			}
			if least := int(float64(tt.targets) * tt.rate * span.Seconds() / 2); w.served < least {
				t.Errorf("%d callers of %s were served, want %d; refused %v", w.served, without[0].Settings.Name, least, w.codes)
			}
			t.Log(fmt.Sprint(w.served, " served, refused ", w.codes))
		})
	}
}
