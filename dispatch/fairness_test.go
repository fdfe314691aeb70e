package dispatch_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/dispatch"
	"github.com/thymewind/thymewind/model"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/stream"
	"github.com/thymewind/thymewind/target"
)

// newScheduler has one pool of engines that prefill 1000 tokens a second.
func newScheduler(engines, boxes int, others dispatch.Usage) *dispatch.Scheduler {
	b := &dispatch.Scheduler{
		Scope: prefix.Scope, Boxes: func() int { return boxes }, Others: func(string) dispatch.Usage { return others },
		Limit:  func(_ string, limit int) int { return limit },
		Jitter: func(d time.Duration) time.Duration { return d }, Record: func(decision.Record) {},
		OnFailing: func(string) {}, OnLeaving: func(_, _ string) {},
	}
	chooser := &placement.Chooser{Usable: (*target.Target).Usable, Wait: b.Wait}
	b.Choose = chooser.Choose
	b.Init()
	b.Configuration = &configuration.Configuration{
		Revision: 1,
		Pools:    map[string]pool.Pool{"p": {Name: "p", Kind: pool.KindModel, Weights: "v", PieceBytes: 4000, Concurrency: 1000}},
		Models:   map[string]model.Model{"m": {Name: "m", Pool: "p"}},
	}
	for i := range engines {
		name := string(rune('a' + i))
		b.Targets.Put(name, &target.Target{Name: name, Pool: "p", Hash: placement.Hash(name), Listed: true, Version: "v", Slots: 1000})
	}
	b.GroupByPool()
	return b
}

// serve runs one request that takes half a second of an engine, if it is admitted.
func serve(b *dispatch.Scheduler, now time.Time, account string) bool {
	prompt := string(make([]byte, 500*dispatch.BytesPerToken))
	placed, err := b.Place(now, route.PlacementRequest{Request: "r", Account: account, Model: "m", Attempt: 1, Prompt: prompt})
	if err != nil {
		return false
	}
	placed.Keys = []prefix.Key{placed.Home}
	usage := stream.Usage{Prompt: 500, PrefillMillis: 500}
	b.Ended(now, route.AttemptResult{Placement: placed, Took: time.Second, End: stream.Frame{Request: "r", Usage: usage}})
	return true
}

// admitted sends ten requests a second for ten seconds and returns how many engines the
// admitted ones keep busy.
func admitted(b *dispatch.Scheduler) float64 {
	now := time.Unix(1000, 0)
	n := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if serve(b, now, "a") {
			n++
		}
	}
	return float64(n) * 0.5 / 10
}

// TestShareFollowsOtherBoxes has one account send everything to one of three boxes.
func TestShareFollowsOtherBoxes(t *testing.T) {
	const all = 5.0 // engines that the requests would keep busy
	tests := []struct {
		name        string
		boxes       int
		others      dispatch.Usage
		least, most float64
	}{
		{"alone", 1, dispatch.Usage{}, all, all},
		{"the other boxes are idle", 3, dispatch.Usage{}, all, all},
		{"the other boxes have not reported", 3, dispatch.Usage{Unreported: 2}, 2.5, 4.0},
		{"the other boxes are busy", 3, dispatch.Usage{Engines: 5}, 3.0, 4.6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := admitted(newScheduler(10, tt.boxes, tt.others)); got < tt.least || got > tt.most {
				t.Errorf("%.2f engines were kept busy, want %.2f to %.2f", got, tt.least, tt.most)
			}
		})
	}
}

// TestFloodIsLimited has one account ask for most of a pool. It gets all it asks for while
// it is alone, and less while another account uses the pool.
func TestFloodIsLimited(t *testing.T) {
	tests := []struct {
		name        string
		other       bool
		least, most float64
	}{
		{"alone", false, 4.9, 5},
		{"beside another account", true, 3, 4.2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newScheduler(6, 1, dispatch.Usage{})
			if tt.other {
				serve(b, time.Unix(999, 0), "b")
				serve(b, time.Unix(1000, 0), "b")
			}
			if got := admitted(b); got < tt.least || got > tt.most {
				t.Errorf("%.2f engines were kept busy, want %.2f to %.2f", got, tt.least, tt.most)
			}
		})
	}
}
