//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/platform/standin"
)

// budget checks that the boxes keep to the bound on repeated requests that their settings state. The
// disruption is a change of the settings, which lowers that bound, with a SIGHUP to one box of four; the
// others find the change of their file by themselves.
func budget(w *world) ([]string, error) {
	const (
		perSecond = 60
		length    = 45 * time.Second
		failing   = 0.14
	)
	random := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	var replicas []*standin.Replica
	for i := range 3 {
		r := &standin.Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "order-api", Zone: "zone-a"}
		r.Treat = func(*http.Request) int { // As the sheets say, a share of the answers are failures of its own.
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < failing {
				return standin.Fails
			}
			return standin.Answers
		}
		r.Start(w.store)
		defer r.Stop()
		replicas = append(replicas, r)
	}
	route := standin.Route("status", "safe", "order-api", 1200*time.Millisecond)
	route["max_attempts"] = 2
	w.store.Configure(1, []map[string]any{{"name": "order-api", "health_path": "/health", "max_connections": 96}},
		[]map[string]any{route}, nil)
	if err := w.startBoxes(4); err != nil {
		return nil, err
	}
	ratio, extra, since := 0.2, 52.0, boottime.Now()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var work sync.WaitGroup
	sent := make(map[string]time.Time)
	work.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			id, at := fmt.Sprint("s", n), n%len(w.boxes)
			mu.Lock()
			sent[id] = boottime.Now()
			mu.Unlock()
			work.Go(func() {
				w.send(w.boxes[at], request{id: id, method: "GET", host: "shop.example", path: "/status/" + id, deadline: 2500 * time.Millisecond})
			})
			pause(ctx, time.Second/perSecond)
		}
	})
	if w.trouble {
		pause(ctx, 12*time.Second)
		ratio, extra = 0.02, 10
		for _, b := range w.boxes {
			if err := b.changeSettings("retry_share: 0.2", "retry_share: 0.02", "retry_extra: 52", "retry_extra: 10"); err != nil {
				return nil, err
			}
			w.log("%s: the settings file names a ratio of %v and %v extra now", b.name, ratio, extra)
		}
		w.boxes[0].signal(syscall.SIGHUP)
		w.log("%s gets SIGHUP", w.boxes[0].name)
		since = boottime.Now().Add(2 * configApply)
	}
	work.Wait()
	for _, b := range w.boxes {
		for _, line := range b.boxLog("settings read again") {
			w.log("%s logged: %s", b.name, line)
		}
	}
	return overBudget(w, sent, replicas, since, ratio, extra), nil
}

// overBudget compares the arrivals beyond the first of each request with the bound, for every window
// of 10 s after a time.
func overBudget(w *world, sent map[string]time.Time, replicas []*standin.Replica, since time.Time, ratio, extra float64) []string {
	const window = 10 * time.Second
	first := make(map[string]time.Time)
	var repeats []time.Time
	for _, r := range replicas {
		for _, a := range r.Arrivals() {
			if before, known := first[a.ID]; known {
				if a.At.Before(before) {
					first[a.ID], a.At = a.At, before
				}
				repeats = append(repeats, a.At)
				continue
			}
			first[a.ID] = a.At
		}
	}
	var breaches []string
	for from := since; from.Add(window).Before(w.began.Add(49 * time.Second)); from = from.Add(window / 4) {
		requests, again := 0, 0
		for _, at := range sent {
			if !at.Before(from) && at.Before(from.Add(window)) {
				requests++
			}
		}
		for _, at := range repeats {
			if !at.Before(from) && at.Before(from.Add(window)) {
				again++
			}
		}
		allowed := ratio*float64(requests) + extra
		w.log("window from %.1f s: %d requests, %d arrivals beyond the first, %.0f allowed", from.Sub(w.began).Seconds(), requests, again, allowed)
		if float64(again) > allowed {
			breaches = append(breaches, fmt.Sprintf("BUDGET: %d arrivals beyond the first in the 10 s from %.1f s, %.0f allowed", again, from.Sub(w.began).Seconds(), allowed))
		}
	}
	return breaches
}

// changeSettings replaces texts in a box's settings file at once.
func (b *box) changeSettings(pairs ...string) error {
	data, err := os.ReadFile(b.settings)
	if err != nil {
		return err
	}
	next := b.settings + ".next"
	if err := os.WriteFile(next, []byte(strings.NewReplacer(pairs...).Replace(string(data))), 0o600); err != nil {
		return err
	}
	return os.Rename(next, b.settings)
}
