package entry

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
)

// engineAt is an engine of an emulated fleet.
func engineAt(i int) fleet.Entry {
	e := engine(fmt.Sprintf("i-%05d", i), 1)
	e.Domain, e.Slots = fmt.Sprintf("d%d", i%3), 12
	e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 4, byte(i >> 8), byte(i)}), 1)
	return e
}

// manyEngines is a fleet with far more engines than the load needs.
func manyEngines(boxes, engines int) *emulator {
	w := emulate(boxes, 3, configuration(1))
	var list []fleet.Entry
	for i := range engines {
		list = append(list, engineAt(i))
	}
	for i := range 40 {
		list = append(list, serviceAt(fmt.Sprintf("s-%02d", i), "v1", i))
	}
	w.addTargets(list...)
	return w
}

// ids lists the targets' IDs.
func ids(targets []*fleet.Target) []string {
	list := make([]string, len(targets))
	for i, x := range targets {
		list[i] = x.ID
	}
	return list
}

// sent is the number of bytes that hubs have sent.
func (w *emulator) sent() int {
	sum := 0
	for _, d := range w.boxes {
		if !d.spoke.Load() {
			sum += w.cost[d.Settings.Name].bytes
		}
	}
	return sum
}

// agree reports whether all boxes have the same engines in use.
func (w *emulator) agree() bool {
	first := ids(w.boxes[0].tables.engines("models"))
	return !slices.ContainsFunc(w.boxes, func(d *Daemon) bool { return !slices.Equal(ids(d.tables.engines("models")), first) })
}

// TestManyEngines has 2,000 engines serve 90 boxes with little load, while some engines are
// replaced all the time. Hubs watch only a part of them, all boxes converge to the same set in
// use, what boxes are sent stays within the 6 KB a second allowed for control traffic, and all
// boxes learn of a leaving engine within a second.
func TestManyEngines(t *testing.T) {
	t.Parallel()
	const boxes, engines, spokeBytes = 90, 2000, 6000
	w := manyEngines(boxes, engines)
	w.advance(3*time.Second, nil)
	inUse := w.boxes[0].tables.engines("models")
	if len(inUse) >= engines/2 || !w.agree() {
		t.Fatalf("%d engines are in use, by all boxes: %v", len(inUse), w.agree())
	}
	for name, cost := range w.cost {
		if cost.watched > len(inUse) {
			t.Errorf("%s watches %d sources, %d are in use", name, cost.watched, len(inUse))
		}
	}
	for _, d := range w.boxes {
		if got := len(d.tables.fleet.Pool("orders")); got != 40 {
			t.Fatalf("%s knows %d of 40 targets of the service", d.Settings.Name, got)
		}
	}
	const length = 10
	before := w.sent()
	for i := range length {
		w.addTargets(engineAt(engines+2*i), engineAt(engines+2*i+1))
		w.removeTargets(engineAt(2*i).ID, engineAt(2*i+1).ID)
		w.advance(time.Second, nil)
	}
	if each := (w.sent() - before) / length / boxes; each > spokeBytes {
		t.Errorf("%d bytes a second are sent to each box, %d are allowed", each, spokeBytes)
	} else {
		t.Logf("%d bytes a second are sent to each box", each)
	}
	if !w.agree() {
		t.Error("boxes have other engines in use")
	}
	left := w.boxes[0].tables.engines("models")[0].ID
	w.removeTargets(left)
	w.advance(time.Second, nil)
	for _, d := range w.boxes {
		if slices.Contains(ids(d.tables.engines("models")), left) {
			t.Errorf("%s uses an engine that left a second ago", d.Settings.Name)
		}
	}
}

// TestGradualArrival has 3,000 engines join within 6 s, as when all start at once. Soon after
// that a hub has watched the final set in use, and at most half as many engines before.
func TestGradualArrival(t *testing.T) {
	t.Parallel()
	const engines, part = 3000, 50
	w := manyEngines(30, 0)
	w.advance(time.Second, nil)
	for i := 0; i < engines; i += part {
		var some []fleet.Entry
		for j := range part {
			some = append(some, engineAt(i+j))
		}
		w.addTargets(some...)
		w.advance(2*emulatorStep, nil)
	}
	w.advance(4*time.Second, nil)
	inUse := len(w.boxes[0].tables.engines("models"))
	for _, d := range w.boxes {
		watched := w.cost[d.Settings.Name].watched
		if !d.spoke.Load() && (watched < inUse || watched > inUse*3/2) {
			t.Errorf("%s has watched %d engines, %d are in use", d.Settings.Name, watched, inUse)
		}
	}
}

// TestHalfCrash has half of the engines in use end at once. Hubs place requests on the others
// at once, and, once the entries are gone, on engines that were not listed for spokes before.
func TestHalfCrash(t *testing.T) {
	t.Parallel()
	w := manyEngines(30, 1500)
	w.advance(3*time.Second, nil)
	inUse := ids(w.boxes[0].tables.engines("models"))
	w.removeTargets(inUse[:len(inUse)/2]...)
	spoke := w.boxes[len(w.boxes)-1]
	placed, refused := 0, 0
	w.advance(2*time.Second, func() {
		reply := make(chan placementAnswer, 1)
		w.perform(spoke, spoke.update(w.now, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: job("short", 100)}, reply: reply}))
		w.after(200*time.Millisecond, func() {
			select {
			case answer := <-reply:
				if answer.err == nil {
					placed++
					return
				}
			default:
			}
			refused++
		})
	})
	if refused > 0 || placed < 30 {
		t.Errorf("%d requests were placed, %d not", placed, refused)
	}
	if now := w.boxes[0].tables.engines("models"); len(now) != len(inUse) || !w.agree() {
		t.Errorf("%d engines are in use in place of %d, by all boxes: %v", len(now), len(inUse), w.agree())
	}
}
