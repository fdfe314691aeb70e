package deliver

import (
	"time"

	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// A request is admitted again before each attempt, as its body may have arrived slowly, it may have
// waited for its placement or been sent to a target before: meanwhile its route or its key may have
// been removed, the route may lead to another pool, or the proof of the configuration may have
// become too old.

const (
	// recheckAfter is the age of an admission up to which it holds for the configuration that it
	// was by. It saves the check for requests that are placed at once.
	recheckAfter = 100 * time.Millisecond
	// codeStale is the code of refusals by a box that can't tell whether its configuration is still
	// in force.
	codeStale = "stale"
)

// recheck admits the request again before it is placed, unless it was just admitted.
func (x *run) recheck() *refusal.Refusal {
	proved := x.Configuration()
	if proved != nil && proved.Table == x.job.table && x.Now().Sub(x.admittedAt) < recheckAfter {
		return nil
	}
	_, refused := x.readmit()
	return refused
}

// recheckWaited admits a request again that waited for its placement. It reports whether the request
// goes to another pool, or is another account's, and has to be placed again. In that case, and if
// the request is refused, its placement is given up.
func (x *run) recheckWaited(place Placement) (moved bool, refused *refusal.Refusal) {
	if place.Waited == 0 {
		return false, nil
	}
	job := x.job
	moved, refused = x.readmit()
	if moved || refused != nil {
		x.ended(AttemptResult{Place: place, Job: job})
	}
	return moved, refused
}

// readmit admits the request again and reports whether its route leads to another pool or its key
// belongs to another account now.
func (x *run) readmit() (moved bool, refused *refusal.Refusal) {
	job, refused := x.resolve(x.job.Call)
	switch {
	case refused != nil && refused.Code == codeStale && x.headWritten:
		return false, nil // An answer that was begun is completed unless something is known against it.
	case refused != nil:
		return false, refused
	}
	x.admittedAt = x.Now()
	stays := job.Route.Uses(x.job.Pool.Name)
	if stays && sameAccount(job.Account, x.job.Account) {
		x.job.table = job.table
		return false, nil
	}
	if stays {
		job.Pool = x.job.Pool
	}
	refused = x.move(job)
	return refused == nil, refused
}

// sameAccount reports whether two accounts, which may be of different configurations, are the same
// client's.
func sameAccount(a, b *routing.Account) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Name == b.Name
}

// move has the request served as its route is configured now. A stream that was begun can't be
// continued by another pool or for another account.
func (x *run) move(job *Job) *refusal.Refusal {
	if x.headWritten {
		return x.unavailable(x.job, "moved", "the route leads to another pool, or the key is another account's")
	}
	otherPool := job.Pool.Name != x.job.Pool.Name
	if otherPool && (x.retryReserved.Swap(false) || x.retryPaid) {
		x.Refund(x.job.Pool.Name)
		x.retryPaid = false
	}
	if otherPool {
		x.software = nil // It is the other pool's, so what began the stream has to be found out again.
	}
	job.Body, job.Until = x.job.Body, x.job.Until
	x.job = job
	x.outcome.Job, x.outcome.Route, x.outcome.Account, x.outcome.Pool = job, job.Route, job.Account, job.Pool
	if otherPool {
		x.Earn(job.Pool.Name)
	}
	mayRepeat := x.ran == 0 || x.repeatable()
	if x.sent > 0 && (!mayRepeat || !x.retryAllowed(true)) {
		return x.unavailable(job, "moved", "the route or the key's account has changed, and no retry is allowed")
	}
	return nil
}
