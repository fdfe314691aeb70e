package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/thymewind/thymewind/permit"
)

// permits are this box's requests at targets, numbered, and what it has yet to tell the boxes that keep
// the targets' room.
type permits struct {
	// epoch tells this start of the box from others.
	epoch uint64

	mu     sync.Mutex
	next   uint64
	held   map[uint64]heldPermit
	asking map[uint64]bool
	paused map[string]pausedTarget
	// outbox are reports by the box that they are for, sending those boxes that are being told, and keepers
	// when this box last used each.
	outbox  map[string][]permit.Report
	sending map[string]bool
	keepers map[string]time.Time
	// silent are the boxes that left calls unanswered since they last answered one, by when the first was
	// made.
	silent map[string]time.Time
}

// heldPermit is a request at a target. keeper is the box that counts it, tell says that this wants to know
// as soon as the target accepts the request.
type heldPermit struct {
	pool   uint32
	target permit.Target
	keeper string
	tell   bool
}

// pausedTarget is a target without room for requests that are no more urgent than this.
type pausedTarget struct {
	until   time.Time
	urgency int
}

func newPermits(epoch uint64) *permits {
	return &permits{
		epoch: epoch, held: make(map[uint64]heldPermit), asking: make(map[uint64]bool), paused: make(map[string]pausedTarget),
		outbox: make(map[string][]permit.Report), sending: make(map[string]bool), keepers: make(map[string]time.Time), silent: make(map[string]time.Time),
	}
}

// heard records that a box answered a call.
func (p *permits) heard(box string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silent, box)
}

// unheardSince records that a box left a call of a time unanswered and returns when it was made, or the first
// one since the box last answered.
func (p *permits) unheardSince(box string, calledAt time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if since, known := p.silent[box]; known {
		return since
	}
	p.silent[box] = calledAt
	return calledAt
}

// number numbers a request that is to get a permit.
func (p *permits) number() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	p.asking[p.next] = true
	return p.next
}

// begin records that a request goes to a target.
func (p *permits) begin(now time.Time, number uint64, h heldPermit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asking, number)
	p.held[number] = h
	if h.keeper != "" {
		p.keepers[h.keeper] = now
	}
}

// giveUp records that a request does not go to a target; the box that was asked, if one was, is told.
func (p *permits) giveUp(number uint64, keeper string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asking, number)
	if keeper != "" {
		p.outbox[keeper] = append(p.outbox[keeper], permit.Report{Number: number, End: permit.NotSent})
	}
}

// report records how a request went and returns the box to tell, if there is one.
func (p *permits) report(number uint64, end int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.held[number]
	if end != permit.Began {
		delete(p.held, number)
	}
	if h.keeper == "" || end == permit.Began && !h.tell {
		return ""
	}
	p.outbox[h.keeper] = append(p.outbox[h.keeper], permit.Report{Number: number, End: end})
	return h.keeper
}

// anyPaused reports whether isPaused may hold for a target.
func (p *permits) anyPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.paused) > 0
}

// expire forgets pauses that are over and boxes that were last called long ago.
func (p *permits) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.paused, func(_ string, x pausedTarget) bool { return !now.Before(x.until) })
	maps.DeleteFunc(p.silent, func(_ string, since time.Time) bool { return now.Sub(since) >= silentTTL })
}

// isPaused reports whether a target had no room a moment ago for requests as urgent as this.
func (p *permits) isPaused(now time.Time, key string, urgency int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, known := p.paused[key]
	return known && now.Before(x.until) && urgency >= x.urgency
}

// pause keeps requests that are no more urgent from targets.
func (p *permits) pause(targets []permit.Target, until time.Time, urgency int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range targets {
		p.paused[x.Key] = pausedTarget{until, urgency}
	}
}

// nextReports takes the reports for a box; there are none while others are on their way.
func (p *permits) nextReports(box string) []permit.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.outbox[box]
	if p.sending[box] || len(list) == 0 {
		return nil
	}
	p.sending[box] = true
	delete(p.outbox, box)
	return list
}

// reportsSent allows further reports to a box.
func (p *permits) reportsSent(box string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sending, box)
}
