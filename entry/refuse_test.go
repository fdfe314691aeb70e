package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/minlatency"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/retryafter"
)

// TestRefusedPermanently checks that a request that no target can run is refused permanently on
// arrival, without asking a hub, and that all others are placed.
func TestRefusedPermanently(t *testing.T) {
	tests := []struct {
		name          string
		model         string
		input, output int
		versions      map[string]int64
		code          string // Empty if placed.
	}{
		{"fits", "m", 50000, 100, map[string]int64{"m": 1}, ""},
		{"fits only just", "m", 100000, 15000, map[string]int64{"m": 1}, ""},
		{"prompt larger than an engine's memory", "m", 100001, 0, map[string]int64{"m": 1}, "over_memory"},
		{"larger with its answer", "m", 90000, 25001, map[string]int64{"m": 1}, "over_memory"},
		{"no such model", "x", 50, 10, map[string]int64{"m": 1}, "no_model"},
		{"no such model in the configuration, but at a target", "x", 50, 10, map[string]int64{"m": 1, "x": 0}, ""},
		{"no model named", "", 50, 10, map[string]int64{"m": 1}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			d := boxWithClock(&now)
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{{ID: "a", Pool: "models", Versions: tt.versions}}}, false})
			j := job("short", 0)
			j.Model, j.PromptTokens, j.MaxOutputTokens = tt.model, tt.input, tt.output
			reply := make(chan placementAnswer, 1)
			d.update(start, placementRequest{ctx: t.Context(), ask: deliver.PlacementRequest{Job: j}, reply: reply})
			got := <-reply
			if tt.code == "" {
				if got.err != nil {
					t.Fatalf("refused: %v", got.err)
				}
				return
			}
			refused := refusal.Of(got.err, "", 0)
			if refused.Code != tt.code || refused.Outcome != refusal.DidNotRun || refused.Status != http.StatusServiceUnavailable || refused.RetryAfter != retryafter.MaxOutage {
				t.Errorf("refused %+v", refused)
			}
		})
	}
}

// TestImpossibleRequestAsksNoHub checks that no hub is asked for a request that none can place.
func TestImpossibleRequestAsksNoHub(t *testing.T) {
	d := largeFleet("box-05")
	d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	for _, tokens := range []int{200000, 10} {
		reply := make(chan placementAnswer, 1)
		effects := d.update(start, placementRequest{ctx: t.Context(), ask: deliver.PlacementRequest{Job: job("short", tokens)}, reply: reply})
		if refused := len(reply) > 0; refused == (len(effects) > 0) || refused != (tokens == 200000) {
			t.Errorf("%d tokens: refused %v, effects %v", tokens, refused, effects)
		}
	}
}

// TestMinAnswerTimeLearned checks from which outcomes the minimum answer time is learned, and
// that refusals are counted by their code.
func TestMinAnswerTimeLearned(t *testing.T) {
	took := 100 * time.Millisecond
	tests := []struct {
		name    string
		n       int
		outcome deliver.Outcome
		known   bool
	}{
		{"complete answers", minlatency.MinSamples, deliver.Outcome{Status: 200, Took: took}, true},
		{"few complete answers", minlatency.MinSamples - 1, deliver.Outcome{Status: 200, Took: took}, false},
		{"a target's failures", minlatency.MinSamples, deliver.Outcome{Status: 500, Took: took}, false},
		{"broken off", minlatency.MinSamples, deliver.Outcome{Status: 200, Aborted: true, Took: took}, false},
		{"callers that left", minlatency.MinSamples, deliver.Outcome{Status: 200, CallerLeft: true, Took: took}, false},
		{"refused", minlatency.MinSamples, deliver.Outcome{Status: 503, Cause: "crowded", RefusalCode: "crowded", Took: took}, false},
		{"resumed streams", minlatency.MinSamples, deliver.Outcome{Call: &deliver.Call{LastEventID: "7"}, Status: 200, Took: took}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			d := boxWithClock(&now)
			o := tt.outcome
			o.Job = job("short", 10)
			if o.Call == nil {
				o.Call = o.Job.Call
			}
			for range tt.n {
				d.recordOutcome(o)
			}
			if least, known := d.server.MinAnswerTime(now, o.Job); known != tt.known || known && least >= took {
				t.Errorf("minimum answer time %v, known %v", least, known)
			}
			if _, known := d.server.MinAnswerTime(now, job("long", 10)); known {
				t.Error("another route's is known")
			}
			want := 0.0
			if o.RefusalCode != "" {
				want = float64(tt.n)
			}
			if got := counted(t, d, o.RefusalCode); got != want {
				t.Errorf("counted %v refusals, want %v", got, want)
			}
		})
	}
}

// counted is how many refusals of a code were counted.
func counted(t *testing.T, d *Daemon, code string) float64 {
	t.Helper()
	families, err := d.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "thymewind_entry_refusals_total" && m.GetLabel()[0].GetValue() == code {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}
