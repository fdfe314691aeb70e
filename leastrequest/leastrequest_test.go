package leastrequest_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/leastrequest"
)

func TestChoose(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name   string
		change func(near, far *fleet.Target)
		skip   string
		want   string
	}{
		{"the own domain", func(*fleet.Target, *fleet.Target) {}, "", "near"},
		{"busier", func(near, _ *fleet.Target) { near.InFlight = 2 }, "", "far"},
		{"tried", func(*fleet.Target, *fleet.Target) {}, "near", "far"},
		{"leaving", func(near, _ *fleet.Target) { near.Leaving = true }, "", "far"},
		{"failed recently", func(near, _ *fleet.Target) { near.Fail(start) }, "", "far"},
		{"failed recently, the only one left", func(near, far *fleet.Target) { near.Fail(start); far.Leaving = true }, "", "near"},
		{"silent", func(near, _ *fleet.Target) { near.Sent(start.Add(-time.Second), 0, 0) }, "", "far"},
		{"none", func(near, far *fleet.Target) { near.Leaving, far.Leaving = true, true }, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := &fleet.Target{ID: "near", Domain: "a"}, &fleet.Target{ID: "far", Domain: "b"}
			tt.change(near, far)
			got := ""
			if x, ok := (leastrequest.Chooser{Domain: "a"}).Choose(start, []*fleet.Target{far, near}, func(id string) bool { return id == tt.skip }); ok {
				got = x.ID
			}
			if got != tt.want {
				t.Errorf("Choose = %q, want %q", got, tt.want)
			}
		})
	}
}
