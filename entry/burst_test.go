package entry

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/retry"
)

// What all boxes do in each step of a phase.
const (
	requestOnce = iota
	requestMany
	retryAll
	idle
	restart
	actions
)

// The platform's retry budget; a window is a number of steps.
const (
	window     = 10
	phases     = 6
	retryRatio = 0.2
	retryExtra = 40
)

// phase is an action for some steps, up to two windows.
type phase struct{ action, steps int }

func phaseOf(n int) phase { return phase{n % actions, 1 + n/actions} }

// fleetOf returns the daemons of a fleet of boxes that know each other.
func fleetOf(t *testing.T, boxes int) []*Daemon {
	t.Helper()
	list := make([]*Daemon, boxes)
	members := make(map[string]*member, boxes)
	for i := range list {
		list[i] = newDaemon(fmt.Sprintf("b%03d", i))
		list[i].bounds.Load().RetryExtra = retryExtra
		list[i].tables.members = members
		members[list[i].Settings.Name] = &member{}
	}
	return list
}

// act has a box do one thing and returns its requests and retries.
func act(b *retry.Budget, action int) (requests, retried int) {
	switch action {
	case requestOnce, requestMany:
		requests = 1 + 50*(action-requestOnce)
	case restart:
		*b = retry.Budget{Share: b.Share, Burst: b.Burst, StartEmpty: true}
	case retryAll:
		for b.Spend("p") {
			retried++
		}
	}
	for range requests {
		b.Deposit("p")
	}
	return requests, retried
}

// withinBudget holds if all boxes together, whatever they have saved up, retry no more often in
// any window than the window's requests and the extra allow.
func withinBudget(t *testing.T, burst func(*Daemon) float64) gopter.Prop {
	sizes := []int{1, 6, 28, 29, 85, 330}
	bursts := make(map[int][]float64)
	for _, boxes := range sizes {
		for _, d := range fleetOf(t, boxes) {
			bursts[boxes] = append(bursts[boxes], burst(d))
		}
	}
	return prop.ForAll(func(size int, history []int) bool {
		var fleet []retry.Budget
		for _, most := range bursts[sizes[size]] {
			fleet = append(fleet, retry.Budget{Share: retryRatio * retryUtilization, Burst: most, StartEmpty: true})
		}
		return keepsBudget(fleet, history)
	}, gen.IntRange(0, len(sizes)-1), gen.SliceOfN(phases, gen.IntRange(0, 2*window*actions-1)))
}

// keepsBudget plays a history on a fleet and checks each window.
func keepsBudget(fleet []retry.Budget, history []int) bool {
	var requests, retried []int
	for _, n := range history {
		p := phaseOf(n)
		for range p.steps {
			sent, again := 0, 0
			for i := range fleet {
				a, r := act(&fleet[i], p.action)
				sent, again = sent+a, again+r
			}
			requests, retried = append(requests, sent), append(retried, again)
			from := max(0, len(requests)-window)
			if float64(sum(retried[from:])) > retryRatio*float64(sum(requests[from:]))+retryExtra {
				return false
			}
		}
	}
	return true
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// TestRetriesOverAllBoxes checks that all boxes together stay within the platform's bound,
// though each decides alone.
func TestRetriesOverAllBoxes(t *testing.T) {
	proptest.Holds(t, withinBudget(t, func(d *Daemon) float64 { return d.retryBurst(start, &d.tables) }))
}

// TestRetriesOverAllBoxesNeedBoxCount has each box save up as much as one of ten boxes may, and
// must break the bound.
func TestRetriesOverAllBoxesNeedBoxCount(t *testing.T) {
	proptest.Violated(t, withinBudget(t, func(*Daemon) float64 { return retryExtra * retryUtilization / burstBoxes }))
}

// TestRetriesOverAllBoxesNeedRank has each of many boxes save up one retry, and must break the
// bound.
func TestRetriesOverAllBoxesNeedRank(t *testing.T) {
	proptest.Violated(t, withinBudget(t, func(d *Daemon) float64 { return max(1, d.retryBurst(start, &d.tables)) }))
}

// TestBurst checks how many retries a box may save up.
func TestBurst(t *testing.T) {
	const all = retryExtra * retryUtilization
	tests := []struct {
		name  string
		boxes int
		box   string
		want  float64
	}{
		{"the others are not known", 0, "b000", 1},
		{"few boxes", 6, "b000", all / burstBoxes},
		{"as many as there is room for", 28, "b027", 1},
		{"more boxes, one of the first", 85, "b027", 1},
		{"more boxes, one of the others", 85, "b028", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(tt.box)
			d.bounds.Load().RetryExtra = retryExtra
			for i := range tt.boxes {
				d.tables.members[fmt.Sprintf("b%03d", i)] = &member{}
			}
			if got := d.retryBurst(start, &d.tables); got < tt.want-1e-9 || got > tt.want+1e-9 {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}
