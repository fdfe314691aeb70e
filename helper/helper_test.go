package helper_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/helper"
)

var start = time.Unix(1000, 0)

var boxes = []helper.Candidate{{"a1", "a", 0.4}, {"b1", "b", 0.4}, {"b2", "b", 0.4}, {"c1", "c", 0.2}}

func TestChoose(t *testing.T) {
	begin := func(box string, n int) func(*helper.Chooser) {
		return func(c *helper.Chooser) {
			for range n {
				c.Begin(box)
			}
		}
	}
	tests := []struct {
		name     string
		steps    []func(*helper.Chooser)
		excluded []string
		want     string
	}{
		{"the own domain first", nil, nil, "a1"},
		{"spread over domains", []func(*helper.Chooser){begin("a1", 4)}, nil, "b1"},
		{"a smaller box gets less", []func(*helper.Chooser){begin("a1", 4), begin("b1", 1), begin("b2", 1)}, nil, "b1"},
		{"asked before", nil, []string{"a1"}, "b1"},
		{"none left", nil, []string{"a1", "b1", "b2", "c1"}, ""},
		{"could not be reached", []func(*helper.Chooser){func(c *helper.Chooser) { c.Unreachable(start, "a1") }}, nil, "b1"},
		{"could not be reached, a while ago", []func(*helper.Chooser){func(c *helper.Chooser) { c.Unreachable(start.Add(-time.Minute), "a1") }}, nil, "a1"},
		{"declined", []func(*helper.Chooser){func(c *helper.Chooser) { c.Declined(start, "a1", "menu") }}, nil, "b1"},
		{"declined for another pool", []func(*helper.Chooser){func(c *helper.Chooser) { c.Declined(start, "a1", "orders") }}, nil, "a1"},
		{"all that may be under way", []func(*helper.Chooser){begin("a1", 5), begin("b1", 5)}, nil, ""},
		{"one has ended", []func(*helper.Chooser){begin("a1", 5), begin("b1", 5), func(c *helper.Chooser) { c.End("b1") }}, nil, "b2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := helper.Chooser{Domain: "a", Max: 10}
			for _, step := range tt.steps {
				step(&c)
			}
			if got, _ := c.Choose(start, "menu", boxes, tt.excluded); got != tt.want {
				t.Errorf("chose %q, want %q", got, tt.want)
			}
		})
	}
}

// TestSpread has a box hand on many requests at once: boxes get them by their size.
func TestSpread(t *testing.T) {
	c := helper.Chooser{Domain: "a", Max: 1000}
	got := make(map[string]int)
	for range 350 {
		box, _ := c.Choose(start, "menu", boxes, nil)
		c.Begin(box)
		got[box]++
	}
	for _, x := range boxes {
		if share := float64(got[x.Name]) / 350 / (x.Share / 1.4); share < 0.8 || share > 1.25 {
			t.Errorf("%s got %d of 350", x.Name, got[x.Name])
		}
	}
}
