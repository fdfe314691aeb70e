//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/thymewind/thymewind/boottime"
)

const (
	// linkBytes is what the link of a machine carries in a second, by link_mbps.
	linkBytes = 1000 * 1000 * 1000 / 8
	// memoryMB is memory_mb of the installation: the platform kills a process that exceeds it.
	memoryMB = 284
	// oneIn is the share of its answers that a faulty replica spoils, as one in so many: x of `garble`.
	oneIn = 50
	// garbleFor is the length of a disruption, garblePause the time between two.
	garbleFor   = 5 * time.Second
	garblePause = 2 * time.Second
	floodRounds = 15
	// maxEnds and minMachines are those of the rule: processes end by themselves that often, on that many
	// machines.
	maxEnds     = 3
	minMachines = 2
)

// flood answers with bytes that form no answer, at the speed of a machine's link, until the caller closes the
// connection. It returns how many it sent.
func (c *exchange) flood() int {
	piece := bytes.Repeat([]byte("x"), linkBytes/100)
	sent := 0
	for began := boottime.Now(); ; {
		n, err := c.conn.Write(piece)
		sent += n
		if err != nil {
			return sent
		}
		time.Sleep(boottime.Until(began.Add(time.Duration(sent) * time.Second / linkBytes)))
	}
}

// residentMB is the resident memory of the daemon's process.
func (d *daemon) residentMB() int {
	d.mu.Lock()
	pid := d.process.Process.Pid
	d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // It has ended.
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// guard kills a daemon's process whenever it exceeds its memory, and starts it again, as the platform does.
func (d *daemon) guard(ctx context.Context, ended func(d *daemon)) error {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		mb := d.residentMB()
		if mb <= memoryMB {
			continue
		}
		d.world.note("daemon %s has %d MB, over its limit of %d MB", d.name, mb, memoryMB)
		ended(d)
		if err := d.kill(restartAfter); err != nil {
			return err
		}
	}
	return nil
}

// faultyReplica spoils one in oneIn of its answers while it is faulty.
type faultyReplica struct {
	mu      sync.Mutex
	faulty  bool
	answers int
}

func (f *faultyReplica) serve(c *exchange) {
	f.mu.Lock()
	f.answers++
	spoils := f.faulty && f.answers%oneIn == 0
	f.mu.Unlock()
	if !spoils {
		c.replica.serveWhole(c)
		return
	}
	c.replica.world.ran(c.replica.id, c.requestID())
	c.replica.world.note("replica %s answers %s with bytes that form no answer", c.replica.id, c.requestID())
	c.replica.world.note("replica %s sent %d such bytes for %s", c.replica.id, c.flood(), c.requestID())
	_ = c.conn.Close()
}

func (f *faultyReplica) set(faulty bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faulty = faulty
}

// playFlood has a replica of a plain service answer a few requests with bytes that form no answer.
func playFlood(w *world, trouble bool) (broken bool, err error) {
	faulty := &faultyReplica{}
	for i := range 3 {
		r := &replica{id: fmt.Sprintf("i-%02d", i), service: "order-api", zone: zones[i%3], world: w}
		if i == 0 {
			r.serve = faulty.serve
		}
		if err := r.start(); err != nil {
			return false, err
		}
		w.replicas = append(w.replicas, r)
	}
	w.configure(orderManifest)
	for i := range 6 {
		if err := w.addDaemon(fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	ends := make(map[string]int)
	var guards sync.WaitGroup
	for _, d := range w.daemons {
		guards.Go(func() {
			err := d.guard(ctx, func(d *daemon) {
				mu.Lock()
				defer mu.Unlock()
				ends[d.name]++
			})
			if err != nil {
				w.note("daemon %s did not start again: %v", d.name, err)
			}
		})
	}
	c := newCallers(w)
	go c.keepSending(ctx, orderPost, 36)
	go c.keepSending(ctx, statusPoll, 14.4)
	machines := 0
	for range floodRounds {
		time.Sleep(garblePause)
		faulty.set(trouble)
		time.Sleep(garbleFor)
		faulty.set(false)
		mu.Lock()
		machines = 0
		for name, n := range ends {
			w.note("daemon %s has ended %d times over its memory", name, n)
			if n >= maxEnds {
				machines++
			}
		}
		mu.Unlock()
		if machines >= minMachines {
			w.note("Fault: on %d of %d machines the process has ended %d times or more", machines, len(w.daemons), maxEnds)
			break
		}
	}
	time.Sleep(garblePause)
	cancel()
	guards.Wait()
	c.pending.Wait()
	for what, n := range c.tally() {
		w.note("outcomes: %s: %d", what, n)
	}
	return machines >= minMachines, nil
}
