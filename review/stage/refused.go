//go:build review

package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"
)

const (
	// calmTime is the time before each disruption. A replica is grey for greyTime, in the last garbleTime of
	// which it sends answers twice.
	calmTime    = 5 * time.Second
	greyTime    = 6500 * time.Millisecond
	garbleTime  = 5 * time.Second
	disruptions = 8
	// serviceReplicas is how many replicas there are: one of them is within the share of `srv_grey`.
	serviceReplicas = 7
	// The rates of the two kinds of request, for each replica those of a sheet.
	ordersPerSecond = 440
	pollsPerSecond  = 102
)

var (
	orderPost  = kind{"order-post", http.MethodPost, "/order/", 2500 * time.Millisecond}
	statusPoll = kind{"status-poll", http.MethodGet, "/status/", 2500 * time.Millisecond}
)

// playRefused has a replica of a plain service work slowly for some seconds, again and again. It is then full
// at times, rejects health probes, and sends a few of these answers twice.
func playRefused(w *world, trouble bool) (broken bool, err error) {
	var services []*service
	for i := range serviceReplicas {
		s := newService()
		services = append(services, s)
		r := &replica{id: fmt.Sprintf("i-%02d", i), service: "order-api", zone: zones[i%3], world: w, serve: s.serve, healthProbe: s.health}
		if err := r.start(); err != nil {
			return false, err
		}
		w.replicas = append(w.replicas, r)
	}
	w.configure(orderManifest)
	for i := range 9 {
		if err := w.addDaemon(fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := newCallers(w)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.keepSending(ctx, orderPost, ordersPerSecond)
	go c.keepSending(ctx, statusPoll, pollsPerSecond)
	for range disruptions {
		time.Sleep(calmTime)
		w.note("replica %s is grey: %v", w.replicas[0].id, trouble)
		services[0].set(false, trouble)
		time.Sleep(greyTime - garbleTime)
		services[0].set(trouble, trouble)
		time.Sleep(garbleTime)
		services[0].set(false, false)
		w.note("replica %s: %s", w.replicas[0].id, services[0].describe())
		if w.refusedButRan(c) {
			break
		}
	}
	time.Sleep(calmTime / 4)
	cancel()
	c.pending.Wait()
	for what, n := range c.tally() {
		w.note("outcomes: %s: %d", what, n)
	}
	return w.refusedButRan(c), nil
}

// refusedButRan reports whether a request that must not run twice has run although its caller was told
// that it has not and never will, or whether one ran more than once.
func (w *world) refusedButRan(c *callers) bool {
	w.mu.Lock()
	runs := maps.Clone(w.runs)
	w.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	broken, twice := 0, 0
	for id, o := range c.outcomes {
		if o.kind != orderPost.name {
			continue
		}
		switch o.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if len(runs[id]) > 0 {
				w.note("REFUSED is broken: %s ran at %v and its caller got %d", id, runs[id], o.status)
				broken++
			}
		}
		if len(runs[id]) > 1 {
			w.note("TWICE is broken: %s ran at %v", id, runs[id])
			twice++
		}
	}
	w.note("%d requests refused that ran, %d that ran more than once", broken, twice)
	return broken+twice > 0
}
