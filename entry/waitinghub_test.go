package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/routing"
)

// waitingFleet is an emulated large fleet whose engines are full.
type waitingFleet struct {
	*emulator
	t *testing.T
	// spoke is the box whose callers ask; first and second are the hubs of its domain, which it
	// asks in this order.
	spoke, first, second *Daemon
	n                    int
}

// full is the memory that other requests use at each engine of a full fleet.
const full = 140000

func newWaitingFleet(t *testing.T) *waitingFleet {
	t.Helper()
	f := &waitingFleet{emulator: emulate(20, 2, waitingConfiguration(1)), t: t}
	f.addTargets(engineAt(0), engineAt(1))
	for _, d := range f.boxes {
		d.tables.hubWarm = true
	}
	f.advance(2*time.Second, nil)
	for _, d := range f.boxes {
		if d.spoke.Load() {
			f.spoke = d
			break
		}
	}
	hubs := f.spoke.tables.rankedHubs(f.spoke.Settings.Domain)
	f.first, f.second = f.byName[hubs[0]], f.byName[hubs[1]]
	f.fill(full)
	return f
}

// fill sets the memory that requests of a hub of the other domain use at each engine, and has all
// hubs learn of it.
func (f *waitingFleet) fill(tokens int) {
	for _, d := range f.boxes {
		if d.Settings.Domain != f.spoke.Settings.Domain && !d.spoke.Load() && !f.dead[d.Settings.Name] {
			for i := range 2 {
				x := d.tables.fleet.Target(engineAt(i).ID)
				x.Tokens = tokens
				d.tables.targetsInUse[x.ID] = x
			}
			break
		}
	}
	f.advance(4*emulatorStep, nil)
}

// ask has a caller of the spoke ask.
func (f *waitingFleet) ask(route, account string) *request {
	x := f.newRequest(route, account)
	f.perform(f.spoke, f.spoke.update(f.now, x.placementRequest))
	return x
}

// newRequest returns a request of one of the spoke's callers.
func (f *waitingFleet) newRequest(route, account string) *request {
	f.n++
	r := waitingConfiguration(1).Route("h", "/"+route+"/")
	x := &request{answer: make(chan placementAnswer, 2)}
	x.ctx, x.leave = context.WithCancel(context.Background())
	x.reply = x.answer
	x.ask.Job = &deliver.Job{
		Call:  &deliver.Call{ID: fmt.Sprint("r", f.n), Model: "m", PromptTokens: 10000, Parts: []deliver.Part{{ID: "p", Tokens: 9000}, {ID: "own", Tokens: 1000}}, Received: f.now},
		Route: r, Pool: waitingConfiguration(1).Pools["models"], Account: &routing.Account{Name: account}, Until: f.now.Add(r.Timeout), Body: make([]byte, 100),
	}
	f.spoke.Settings.Box.MemoryMB = 64
	return x
}

// queued returns how many requests wait at a box.
func queued(d *Daemon) int {
	if w := d.tables.waiting["models"]; w != nil {
		return w.queue.Len()
	}
	return 0
}

// TestWaitAtHub goes through what may happen to requests that wait at a hub. It guards, for each,
// against a request that is lost without an answer, answered twice, or kept by a hub whose sender
// has gone, and against memory that stays counted.
func TestWaitAtHub(t *testing.T) {
	const requests = 5
	tests := []struct {
		name string
		do   func(f *waitingFleet, all []*request)
		want string
	}{
		{"room is found", func(f *waitingFleet, _ []*request) {
			f.advance(3*time.Second, nil)
			f.fill(0)
		}, "placed"},
		{"the hub dies", func(f *waitingFleet, _ []*request) {
			f.advance(time.Second, nil)
			f.dead[f.first.Settings.Name] = true
			f.advance(time.Second, nil)
			if got := queued(f.second); got != requests {
				f.t.Errorf("%d requests wait at the next hub", got)
			}
			f.fill(0)
		}, "placed"},
		{"two hubs die", func(f *waitingFleet, _ []*request) {
			f.advance(time.Second, nil)
			f.dead[f.first.Settings.Name] = true
			f.advance(time.Second, nil)
			f.dead[f.second.Settings.Name] = true
			f.advance(time.Second, nil)
		}, codeCrowded},
		{"the hub stops", func(f *waitingFleet, _ []*request) {
			f.advance(time.Second, nil)
			end := f.now.Add(7 * time.Second)
			f.first.stopEnds.Store(&end)
			f.first.stopping.Store(true)
			f.advance(500*time.Millisecond, nil)
			if got, at := queued(f.first), queued(f.second); got != 0 || at != requests {
				f.t.Errorf("%d requests wait at the hub that stops, %d at the next", got, at)
			}
			f.fill(0)
		}, "placed"},
		{"their own box stops, and they can be answered before", func(f *waitingFleet, _ []*request) {
			f.advance(time.Second, nil)
			end := f.now.Add(5 * time.Second)
			f.spoke.stopEnds.Store(&end)
			f.spoke.stopping.Store(true)
			f.advance(time.Second, nil)
			f.fill(0)
		}, "placed"},
		{"the hub has lost its configuration", func(f *waitingFleet, _ []*request) {
			f.advance(time.Second, nil)
			f.first.current.Store(nil)
			f.advance(500*time.Millisecond, nil)
			f.fill(0)
		}, "placed"},
		{"the callers leave", func(f *waitingFleet, all []*request) {
			f.advance(time.Second, nil)
			for _, x := range all {
				x.leave()
			}
			f.advance(500*time.Millisecond, nil)
			f.fill(0)
			f.advance(500*time.Millisecond, nil)
		}, "timeout"},
		{"the callers leave as room is found", func(f *waitingFleet, all []*request) {
			f.advance(time.Second, nil)
			for _, x := range all {
				x.leave()
			}
			f.fill(0)
			f.advance(500*time.Millisecond, nil)
		}, "timeout"},
		{"no room is found in time", func(f *waitingFleet, _ []*request) {
			f.advance(9300*time.Millisecond, nil)
		}, codeCrowded},
		{"the table service is down", func(f *waitingFleet, _ []*request) {
			for _, d := range f.boxes {
				f.tableServiceDown[d.Settings.Name] = true
				f.receive(d, tableServiceLost{errors.New("no answer")})
			}
			f.advance(time.Second, nil)
			f.fill(0)
		}, "placed"},
		{"the proof is too old", func(f *waitingFleet, _ []*request) {
			for _, d := range f.boxes {
				f.tableServiceDown[d.Settings.Name] = true
				d.bounds.Load().EvacuatedWithin = 3 * time.Second
			}
			f.advance(5*time.Second, nil)
		}, "stale"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newWaitingFleet(t)
			var all []*request
			for range requests {
				all = append(all, f.ask("draft", "x"))
			}
			f.advance(500*time.Millisecond, nil)
			if got := queued(f.first); got != requests || f.spoke.tables.heldBytes != 100*requests {
				t.Fatalf("%d requests wait at the first hub, with %d bytes at their box", got, f.spoke.tables.heldBytes)
			}
			tt.do(f, all)
			f.advance(500*time.Millisecond, nil)
			placed := 0
			for i, x := range all {
				got, a := x.got()
				if got != tt.want {
					t.Errorf("request %d: %s (%v), want %s", i, got, a.err, tt.want)
				}
				if again, _ := x.got(); again != "waits" {
					t.Errorf("request %d is answered again: %s", i, again)
				}
				if a.err == nil && got == "placed" {
					placed += a.place.Tokens
					if a.place.Waited < 500*time.Millisecond {
						t.Errorf("request %d waited %v", i, a.place.Waited)
					}
				}
			}
			for _, d := range []*Daemon{f.first, f.second} {
				if got := queued(d); got != 0 && !f.dead[d.Settings.Name] {
					t.Errorf("%d requests wait at %s in the end", got, d.Settings.Name)
				}
			}
			own := 0
			for i := range 2 {
				own += f.spoke.tables.fleet.Target(engineAt(i).ID).Tokens
			}
			if own != placed || f.spoke.tables.heldBytes != 0 {
				t.Errorf("%d tokens are counted, %d placed; %d bytes held", own, placed, f.spoke.tables.heldBytes)
			}
			f.advance(time.Second, nil)
			if hub := f.second; tt.want != "placed" && !f.dead[hub.Settings.Name] {
				others := hub.tables.othersUsage.Of(placement.Hash(engineAt(0).ID)).Tokens
				for _, d := range f.boxes {
					if d.Settings.Domain != f.spoke.Settings.Domain {
						others -= d.tables.fleet.Target(engineAt(0).ID).Tokens
					}
				}
				if others != 0 {
					t.Errorf("%d tokens of requests that have gone are counted", others)
				}
			}
		})
	}
}
