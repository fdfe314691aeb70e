//go:build review

package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/thymewind/thymewind/boottime"
)

const (
	// lease is lease_ms of the installation.
	lease = 3 * time.Second
	// lateFor is for how long a replica leaves its orders unanswered.
	lateFor = 7 * time.Second
	// killAfter is when the holder is killed after its first order of a rollout.
	killAfter = 5500 * time.Millisecond
	// roundTime is the time between two versions.
	roundTime = 20 * time.Second
	rounds    = 5
)

// playTurns names new weights again and again. In each rollout the replica that is ordered first leaves
// its orders unanswered and carries them out late, and the daemon that gives the orders is killed.
func playTurns(w *world, trouble bool) (broken bool, err error) {
	for i := range 9 {
		r := &replica{id: fmt.Sprintf("i-%02d", i), service: "llm-pool", zone: zones[i%3], model: "m0", version: 1, loadFor: 1300 * time.Millisecond, world: w}
		if err := r.start(); err != nil {
			return false, err
		}
		w.replicas = append(w.replicas, r)
	}
	w.configure(modelManifest)
	w.store.Put("op", "version/m0", map[string]any{"model": "m0", "version": 1})
	for i := range 6 {
		if err := w.addDaemon(fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for round := range rounds {
		if err := w.rollOut(int64(round+2), trouble); err != nil {
			return false, err
		}
		if w.turns() {
			broken = true
			break
		}
	}
	w.note("%d orders, %d of them unanswered", len(w.orders), unanswered(w.orders))
	return broken, nil
}

// rollOut names a version and waits until the rollout has ended or the time of a round is over.
func (w *world) rollOut(version int64, trouble bool) error {
	began := boottime.Now()
	w.note("version %d is named", version)
	if trouble {
		w.setOrderTrouble(true)
	}
	w.store.Put("op", "version/m0", map[string]any{"model": "m0", "version": version})
	var first *order
	for first == nil && boottime.Since(began) < roundTime {
		time.Sleep(10 * time.Millisecond)
		if all := w.ordersFor(version); len(all) > 0 {
			first = &all[0]
		}
	}
	if first == nil {
		return fmt.Errorf("no order to load version %d within %v", version, roundTime)
	}
	if trouble {
		time.Sleep(boottime.Until(first.at.Add(killAfter)))
		if err := w.daemonNamed(first.holder).kill(restartAfter); err != nil {
			return err
		}
		time.Sleep(boottime.Until(began.Add(lateFor)))
		w.setOrderTrouble(false)
	}
	for boottime.Since(began) < roundTime {
		time.Sleep(100 * time.Millisecond)
		if w.allHave(version) && !trouble {
			break
		}
	}
	during := slices.DeleteFunc(w.ordersFor(version), func(o order) bool { return o.at.Sub(began) > lateFor })
	w.note("version %d: all have it: %v; of %d orders in the first %v %d were left unanswered", version, w.allHave(version), len(during), lateFor, unanswered(during))
	return nil
}

func (w *world) allHave(version int64) bool {
	for _, r := range w.replicas {
		if !r.hasVersion(version) {
			return false
		}
	}
	return true
}

func unanswered(orders []order) int {
	n := 0
	for _, o := range orders {
		if o.unanswered {
			n++
		}
	}
	return n
}

// turns reports whether two holders gave orders to one replica within the lease's length, whether two
// shared an epoch, or whether a lower epoch followed a higher one.
func (w *world) turns() bool {
	w.mu.Lock()
	orders := append([]order(nil), w.orders...)
	w.mu.Unlock()
	last := make(map[string]order)
	broken := false
	for _, o := range orders {
		before, known := last[o.replica]
		last[o.replica] = o
		if !known || before.holder == o.holder {
			continue
		}
		gap := o.at.Sub(before.at)
		if gap < lease || o.fence <= before.fence {
			w.note("ONE is broken at %s: an order from %s (epoch %d), then one from %s (epoch %d) %v later; lease_ms is %v", o.replica, before.holder, before.fence, o.holder, o.fence, gap.Round(time.Millisecond), lease)
			broken = true
		}
	}
	return broken
}
