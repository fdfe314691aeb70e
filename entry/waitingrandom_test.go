package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestWaitsUnderRandomEvents lets requests wait while hubs die and stop, connections fail, callers
// leave, engines fill and empty, and their own box stops and changes its role. It guards against a
// request that gets no answer or two, and against load, bodies and queues that stay counted.
func TestWaitsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			x := randomWaits{newWaitingFleet(t), rand.New(rand.NewPCG(seed, 0)), nil, nil, 0}
			for range 60 {
				x.event()
				x.advance(time.Duration(x.rand.IntN(6)) * emulatorStep)
			}
			x.cut, x.dead = nil, make(map[string]bool)
			x.first.stopping.Store(false)
			x.spoke.stopping.Store(false)
			x.advance(12 * time.Second)
			x.check()
		})
	}
}

// randomWaits is a fleet in which random events happen.
type randomWaits struct {
	*waitingFleet
	rand *rand.Rand
	all  []*request
	// answers counts the answers to each request, placed the tokens of those that were placed.
	answers []int
	placed  int
}

// event has one thing happen.
func (x *randomWaits) event() {
	likely := func(share float64) bool { return x.rand.Float64() < share }
	switch x.rand.IntN(12) {
	default:
		r := x.newRequest([]string{"draft", "question", "brief"}[x.rand.IntN(3)], fmt.Sprint(x.rand.IntN(3)))
		r.ask.Job.Body = make([]byte, x.rand.IntN(3000))
		x.all, x.answers = append(x.all, r), append(x.answers, 0)
		x.receive(x.spoke, r.placementRequest)
	case 5:
		x.fill([]int{0, 60000, 75000, 80000, full}[x.rand.IntN(5)])
	case 6:
		if len(x.all) > 0 {
			x.all[x.rand.IntN(len(x.all))].leave()
		}
	case 7:
		x.dead[x.first.Settings.Name] = likely(0.5)
	case 8:
		x.dead[x.second.Settings.Name] = likely(0.3)
	case 9:
		x.stop(x.first, likely(0.5))
	case 10:
		x.stop(x.spoke, likely(0.5))
		x.cut = nil
		if own := x.spoke.Settings.Name; likely(0.3) {
			x.cut = func(from, to string) bool { return from == own || to == own }
		}
	case 11:
		share := weakShare
		if likely(0.5) {
			share = 1 // The box becomes a hub.
		}
		for _, d := range x.boxes {
			d.tables.members[x.spoke.Settings.Name].share, d.tables.hubRanks = share, nil
		}
	}
}

func (x *randomWaits) stop(d *Daemon, stops bool) {
	end := x.now.Add(4 * time.Second)
	d.stopEnds.Store(&end)
	d.stopping.Store(stops)
}

// advance advances time and takes the answers.
func (x *randomWaits) advance(length time.Duration) {
	x.waitingFleet.advance(length, func() {
		for len(x.spoke.messages) > 0 {
			x.receive(x.spoke, <-x.spoke.messages)
		}
		for i, r := range x.all {
			if got, a := r.got(); got != "waits" {
				x.answers[i]++
				x.placed += a.place.Tokens
			}
		}
	})
}

// check checks the state after all requests' deadlines.
func (x *randomWaits) check() {
	for i, n := range x.answers {
		if n != 1 {
			x.t.Errorf("request %d has %d answers", i, n)
		}
	}
	counted := 0
	for i := range 2 {
		counted += x.spoke.tables.fleet.Target(engineAt(i).ID).Tokens
	}
	if counted != x.placed || x.spoke.tables.heldBytes != 0 {
		x.t.Errorf("%d tokens are counted, %d placed; %d bytes held", counted, x.placed, x.spoke.tables.heldBytes)
	}
	for _, d := range x.boxes {
		if len(d.tables.waiting) > 0 {
			x.t.Errorf("%d requests wait at %s in the end", queued(d), d.Settings.Name)
		}
	}
}
