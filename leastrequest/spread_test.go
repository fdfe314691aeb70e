package leastrequest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/leastrequest"
	"github.com/thymewind/thymewind/placement"
)

// TestBoxesSpread has 200 boxes of a domain, none with a request in flight, choose among the
// domain's targets: no target is the first choice of many more than others are, and a box
// stays with its first choice, to which it has a connection.
func TestBoxesSpread(t *testing.T) {
	const boxes = 200
	start := time.Unix(1000, 0)
	for _, targets := range []int{2, 7, 48} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			var list []*fleet.Target
			for i := range targets {
				list = append(list, &fleet.Target{ID: fmt.Sprintf("i-%d", i), Domain: "a"})
			}
			first := make(map[string]int)
			for i := range boxes {
				c := leastrequest.Chooser{Domain: "a", Self: placement.Hash(fmt.Sprintf("box-%d", i))}
				x, _ := c.Choose(start, list, func(string) bool { return false })
				again, _ := c.Choose(start, list, func(string) bool { return false })
				if again != x {
					t.Fatal("a box changed its first choice")
				}
				first[x.ID]++
			}
			for id, n := range first {
				if most := 3*boxes/targets + 3; n > most {
					t.Errorf("%s is the first choice of %d boxes, of %d that %d targets share", id, n, boxes, targets)
				}
			}
		})
	}
}
