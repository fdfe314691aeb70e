package entry

import (
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// placedTokens counts the engine memory of each pool that is used by requests which this box
// placed. It knows when its own requests end; those of other boxes count for as long as requests
// usually hold memory.
type placedTokens struct {
	running map[string]int
	// others are placements for other boxes, in the order in which they were made.
	others []peerPlacement
}

type peerPlacement struct {
	pool   string
	tokens int
	until  time.Time
}

func (p *placedTokens) change(pool string, tokens int) {
	if left := p.running[pool] + tokens; left > 0 {
		p.running[pool] = left
		return
	}
	delete(p.running, pool)
}

// add counts a request of this box, remove ends that.
func (p *placedTokens) add(tokens int, job *deliver.Job)    { p.change(job.Pool.Name, tokens) }
func (p *placedTokens) remove(tokens int, job *deliver.Job) { p.change(job.Pool.Name, -tokens) }

// addUntil counts another box's request for a time.
func (p *placedTokens) addUntil(now, until time.Time, tokens int, pool string) {
	p.expire(now)
	if tokens > 0 {
		p.change(pool, tokens)
		p.others = append(p.others, peerPlacement{pool, tokens, until})
	}
}

// of returns what the requests placed by this box use in a pool.
func (p *placedTokens) of(now time.Time, pool string) int {
	p.expire(now)
	return p.running[pool]
}

func (p *placedTokens) expire(now time.Time) {
	n := 0
	for n < len(p.others) && !now.Before(p.others[n].until) {
		p.change(p.others[n].pool, -p.others[n].tokens)
		n++
	}
	if n > 0 {
		p.others = p.others[n:]
	}
}
