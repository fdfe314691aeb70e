package entry

import (
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// poolAccount is a client account's use of a pool.
type poolAccount struct{ pool, account string }

// accountTokens counts the engine memory that accounts' requests use, as far as this box placed
// them. It knows when its own requests end; those of other boxes count for as long as requests
// usually hold memory.
type accountTokens struct {
	running map[poolAccount]int
	// others are placements for other boxes, in the order in which they were made.
	others []accountPlacement
}

type accountPlacement struct {
	of     poolAccount
	tokens int
	until  time.Time
}

// accountName is the account of a job, or an empty string on an open route.
func accountName(job *deliver.Job) string {
	if job.Account == nil {
		return ""
	}
	return job.Account.Name
}

func (a *accountTokens) change(of poolAccount, tokens int) {
	if tokens == 0 {
		return
	}
	left := a.running[of] + tokens
	if left <= 0 {
		delete(a.running, of)
		return
	}
	a.running[of] = left
}

// add counts a request of this box, remove ends that.
func (a *accountTokens) add(tokens int, job *deliver.Job) {
	a.change(poolAccount{job.Pool.Name, accountName(job)}, tokens)
}

func (a *accountTokens) remove(tokens int, job *deliver.Job) {
	if tokens > 0 {
		a.change(poolAccount{job.Pool.Name, accountName(job)}, -tokens)
	}
}

// addUntil counts another box's request for a time.
func (a *accountTokens) addUntil(now, until time.Time, tokens int, of poolAccount) {
	a.expire(now)
	if tokens > 0 {
		a.change(of, tokens)
		a.others = append(a.others, accountPlacement{of, tokens, until})
	}
}

// of returns what an account's requests use in a pool.
func (a *accountTokens) of(now time.Time, pool, account string) int {
	a.expire(now)
	return a.running[poolAccount{pool, account}]
}

func (a *accountTokens) expire(now time.Time) {
	n := 0
	for n < len(a.others) && !now.Before(a.others[n].until) {
		a.change(a.others[n].of, -a.others[n].tokens)
		n++
	}
	if n > 0 {
		a.others = a.others[n:]
	}
}
