//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/thymewind/thymewind/platform/headers"
)

// A replica of a plain service, with the figures of the sheet: slots, and a few requests more in a
// queue.
const (
	slots    = 6
	queue    = 2
	workTime = 60 * time.Millisecond
)

const (
	// garbledShare is the largest share of its answers that a faulty replica sends a second time: x of
	// `garble`.
	garbledShare = 0.02
	// slowFactor is by how much longer a grey replica works: x of `srv_grey`.
	slowFactor = 8
)

// service is what a replica of a plain service does with requests.
type service struct {
	mu             sync.Mutex
	running, waits int
	freed          chan struct{}
	// garbles makes it send answers to rejected health probes a second time, in the place of the next
	// answer due; slow makes it work slowFactor times as long.
	garbles, slow    bool
	answers, doubled int
}

func newService() *service { return &service{freed: make(chan struct{})} }

// enter waits for a slot. It returns false if the queue is full.
func (s *service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= slots && s.waits >= queue {
		return false
	}
	s.waits++
	for s.running >= slots {
		freed := s.freed
		s.mu.Unlock()
		<-freed
		s.mu.Lock()
	}
	s.waits--
	s.running++
	return true
}

func (s *service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}

func (s *service) set(garbles, slow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.garbles, s.slow = garbles, slow
}

func (s *service) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow {
		return slowFactor * workTime
	}
	return workTime
}

// answered counts an answer.
func (s *service) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
}

// mayDouble reports whether an answer may be sent twice, and counts it.
func (s *service) mayDouble() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.garbles || float64(s.doubled+1) > garbledShare*float64(s.answers) {
		return false
	}
	s.doubled++
	return true
}

// health answers a health probe, which waits for a slot or is rejected, like a request.
func (s *service) health(c *exchange) {
	defer s.answered()
	if s.enter() {
		s.leave()
		c.write(http.StatusOK, map[string]string{headers.InstanceID: c.replica.id}, "")
		return
	}
	rejection := encode(http.StatusServiceUnavailable, map[string]string{headers.NotExecuted: "1", headers.InstanceID: c.replica.id}, "")
	c.send(rejection)
	again := s.mayDouble()
	if again {
		*c.surplus = rejection
	}
	c.replica.world.note("replica %s rejected a health probe, to be sent again in the place of the next answer: %v", c.replica.id, again)
}

// serve runs a request for workTime, or turns it away.
func (s *service) serve(c *exchange) {
	r := c.replica
	if status, header := r.refusal(c); status != 0 {
		c.write(status, header, "")
		return
	}
	if !s.enter() {
		s.answered()
		r.world.note("replica %s turned %s away, as it is full", r.id, c.requestID())
		c.write(http.StatusServiceUnavailable, map[string]string{headers.NotExecuted: "1", headers.RequestID: c.requestID(), headers.InstanceID: r.id}, "")
		return
	}
	defer s.leave()
	r.world.ran(r.id, c.requestID())
	time.Sleep(s.work())
	s.answered()
	c.send(r.answer(c.requestID()))
}

func (s *service) describe() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d answers, %d of them sent a second time", s.answers, s.doubled)
}
