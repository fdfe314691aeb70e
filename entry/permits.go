package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/permit"
)

// A request goes to a brittle target with a permit of the box that keeps the target's room for all boxes
// (package permit). It is asked for once the request is placed, outside the loop, and checked again right
// before the request leaves. Parts computed by each box can't bound the sum: in a fleet with more boxes
// than a target has room, most have a part below one request. docs/design/brittle-targets.md has the
// other ways.

const (
	// permitTimeout bounds the call for a permit, besides the wait for room.
	permitTimeout = 250 * time.Millisecond
	// maxPermitWait is how long a request may wait for room, waitShare the share of its route's goal for
	// that: what waits longer had better be refused.
	maxPermitWait = 100 * time.Millisecond
	waitShare     = 0.4
	// permitTTL is how long a permit may be used. A box that was suspended for longer has been given up.
	permitTTL = time.Second
	// maxPermitAsks is how many targets or groups of targets are asked for before a request is refused.
	maxPermitAsks = 4
	// renewInterval is how often a box tells what it holds.
	renewInterval = 250 * time.Millisecond
	// keeperRetryDelay is for how long a box that refused connections is not asked for permits, silentRetryDelay
	// one that was silent: each time requests wait in vain for it. Other boxes pass on to it meanwhile what they
	// can.
	keeperRetryDelay = time.Second
	silentRetryDelay = 5 * time.Second
	// silentTTL is for how long it is known that a box left calls unanswered.
	silentTTL = time.Minute
	// keeperTTL is for how long a box is told what this one holds after it last gave a permit.
	keeperTTL = 10 * time.Second
)

// Results of asks for permits, in the metrics.
const (
	permitGranted    = "granted"
	permitOther      = "other_target"
	permitDenied     = "denied"
	permitUnanswered = "unanswered"
	permitNeedless   = "not_brittle"
)

// urgencyOf orders requests for the room of targets: lower goes first, and a stream that goes on before
// one that begins.
func urgencyOf(job *deliver.Job) int {
	urgency := 2 * priorityOf(job)
	if !job.TakesUp() {
		urgency++
	}
	return urgency
}

// permission is a permit at a target; without one the target's key is empty.
type permission struct {
	target permit.Target
	permit deliver.Permit
}

// returnPermit returns a permit that is not used.
func (d *Daemon) returnPermit(given permission) {
	if given.target.Key != "" {
		d.tell(d.permits.report(given.permit.Number, permit.NotSent))
	}
}

// permitFor gets a permit for a placed request, at its target or an alternative.
func (d *Daemon) permitFor(ctx context.Context, job *deliver.Job, place deliver.Placement, wait time.Duration) permission {
	now, view := d.now(), d.brittleView.Load()
	ask := d.permitAskFor(view, job, place, wait)
	if !view.asks(ask.pool) {
		return d.goWithoutPermit(now, ask)
	}
	keeper, answer, err := d.askForPermit(ctx, view, ask)
	at := slices.IndexFunc(ask.targets, func(x permit.Target) bool { return x.Key == answer.Target })
	switch {
	case err != nil:
		d.countPermit(job, permitUnanswered)
		d.permits.giveUp(ask.number, keeper)
		d.tell(keeper)
		d.permits.pause(ask.targets, d.now().Add(permitTimeout), ask.urgency)
		d.Log.Warn("no permit for a brittle target", "request", job.ID, "target", place.Target, "keeper", keeper, "err", err)
	case answer.needless:
		d.countPermit(job, permitNeedless)
		return d.goWithoutPermit(now, ask)
	case at < 0:
		d.countPermit(job, permitDenied)
		d.permits.giveUp(ask.number, "")
		if wait > 0 {
			d.permits.pause(ask.targets, d.now().Add(answer.Pause), ask.urgency)
		}
	default:
		d.countPermit(job, grantedAs(at))
		d.permits.begin(now, ask.number, heldPermit{ask.pool, ask.targets[at], keeper, answer.Tell && job.Route.Stream})
		b := view.pools[ask.pool]
		return permission{target: ask.targets[at], permit: deliver.Permit{Number: ask.number, Keeper: keeper, GivenAt: now, Level: answer.Level, Bears: b.bears, SaidAgo: now.Sub(b.saidAt)}}
	}
	return permission{}
}

// permitAskFor numbers a placed request and asks for its target or, of the same group, an alternative.
func (d *Daemon) permitAskFor(view *brittleView, job *deliver.Job, place deliver.Placement, wait time.Duration) permitAsk {
	pool := poolHash(job.Pool)
	group := view.groupOf(pool, place.Target)
	targets := []permit.Target{{Key: placementIncarnation(place), Places: place.Slots}}
	for _, x := range place.Alternatives {
		if view.groupOf(pool, x.Target) == group {
			targets = append(targets, permit.Target{Key: incarnationKey(fleet.Incarnation{ID: x.Target, StartedAt: x.StartedAt}), Places: x.Slots})
		}
	}
	return permitAsk{number: d.permits.number(), pool: pool, group: group, targets: targets, urgency: urgencyOf(job), wait: wait}
}

// goWithoutPermit sends a request to its first target. It counts there in case the pool becomes brittle.
func (d *Daemon) goWithoutPermit(now time.Time, ask permitAsk) permission {
	d.permits.begin(now, ask.number, heldPermit{pool: ask.pool, target: ask.targets[0]})
	return permission{target: ask.targets[0], permit: deliver.Permit{Number: ask.number}}
}

// grantedAs is the result of an ask that was granted, by which of its targets it is for.
func grantedAs(at int) string {
	if at > 0 {
		return permitOther
	}
	return permitGranted
}

func (d *Daemon) countPermit(job *deliver.Job, result string) {
	d.metrics.permits.WithLabelValues(job.Pool.Name, result).Inc()
}

// permitWait is how long a request may wait for room, in all its asks.
func permitWait(job *deliver.Job) time.Duration {
	if job.Route.Goal == 0 {
		return maxPermitWait
	}
	return min(maxPermitWait, time.Duration(waitShare*float64(job.Route.Goal)))
}

// observePermit records how long the asks of a request took, unless its pool is not brittle.
func (d *Daemon) observePermit(job *deliver.Job, keeper string, took time.Duration) {
	if keeper != "" || took > 0 {
		d.metrics.permitSeconds.WithLabelValues(job.Pool.Name).Observe(took.Seconds())
	}
}

// attemptOver tells the box that counts a request how it ended.
func (d *Daemon) attemptOver(e deliver.AttemptResult) {
	if number := e.Place.Permit.Number; number != 0 {
		d.tell(d.permits.report(number, endOf(e)))
	}
}

// endOf is what an attempt tells of its target's room.
func endOf(e deliver.AttemptResult) int {
	switch {
	case e.Verdict == deliver.DidNotRun:
		return permit.TurnedAway
	case e.CutOff || e.CallerLeft:
		return permit.Unanswered
	case e.Began:
		return permit.Answered
	}
	return permit.NotSent
}

// attemptBegan tells the box that counts a request that its target accepted it.
func (d *Daemon) attemptBegan(p deliver.Placement) {
	if p.Permit.Number != 0 {
		d.tell(d.permits.report(p.Permit.Number, permit.Began))
	}
}

// tell sends a box the reports for it, unless some are on their way: the next go together when these have
// arrived.
func (d *Daemon) tell(box string) {
	if box == "" {
		return
	}
	if box == d.Settings.Name {
		if list := d.permits.nextReports(box); list != nil {
			d.permits.reportsSent(box)
			d.keeper.Report(d.now(), box, d.permits.epoch, list)
		}
		return
	}
	list := d.permits.nextReports(box)
	if list == nil {
		return
	}
	go func() { // Ends soon, as each call does.
		for ; list != nil; list = d.permits.nextReports(box) {
			err := d.callKeeper(context.Background(), box, peer.Permits{Reports: encodeReports(list)}, nil)
			d.permits.reportsSent(box)
			if err != nil {
				d.Log.Warn("a box was not told of ended requests", "box", box, "requests", len(list), "err", err)
			}
		}
	}()
}

// callKeeper sends a message about permits to a box; with an answer it waits for that.
func (d *Daemon) callKeeper(caller context.Context, box string, m peer.Permits, answer **peer.PermitAnswer) error {
	view := d.brittleView.Load()
	next := view.wayTo(box)
	if next != box {
		m.For = box
	}
	at, known := view.addresses[next]
	if !known {
		return errors.New("the box is not known any more")
	}
	ctx, cancel := context.WithTimeout(caller, timeoutOf(m))
	defer cancel()
	m.Epoch = d.permits.epoch
	calledAt := d.now()
	reply, err := d.peers.Call(ctx, at, peer.Message{Kind: peer.KindPlace, From: d.Settings.Name, Permits: &m, BrittlePools: view.forPeer(d.now())})
	if err == nil || caller.Err() == nil {
		d.noteKeeper(next, at, calledAt, err)
	}
	if err == nil && view.lacks(reply.BrittlePools) {
		d.post(brittleTold{reply})
	}
	if answer != nil {
		*answer = reply.PermitAnswer
	}
	if err == nil && next != box && reply.PermitAnswer == nil {
		return errNotPassedOn
	}
	return cmp.Or(err, answerError(reply))
}

// timeoutOf bounds the call with a message about permits.
func timeoutOf(m peer.Permits) time.Duration {
	if m.Ask == nil {
		return permitTimeout
	}
	return permitTimeout + min(time.Duration(m.Ask.WaitMS)*time.Millisecond, maxPermitWait)
}

// errNotPassedOn says that a box that this one asked instead does not reach another one either.
var errNotPassedOn = errors.New("another box did not pass the message on")

func encodeReports(list []permit.Report) []peer.PermitReport {
	out := make([]peer.PermitReport, len(list))
	for i, r := range list {
		out[i] = peer.PermitReport{Number: r.Number, End: r.End}
	}
	return out
}

// countPlaced counts a request that is placed where it has to go.
func (d *Daemon) countPlaced(job *deliver.Job, place *deliver.Placement) {
	place.Permit.Number = d.permits.number()
	d.permits.begin(d.now(), place.Permit.Number, heldPermit{pool: poolHash(job.Pool), target: permit.Target{Key: placementIncarnation(*place), Places: place.Slots}})
}

// expirePermits forgets what is over and brings up to date how many permits this box gave.
func (d *Daemon) expirePermits(now time.Time) {
	d.permits.expire(now)
	d.keeper.Expire(now)
	held, _ := d.keeper.Held()
	d.metrics.permitsKept.Set(float64(held))
}

// permitProbe gets a permit for a health probe, which takes room as a request does. It returns the permit's
// number, or notice.ErrBrittle.
func (d *Daemon) permitProbe(ctx context.Context, p probe) (uint64, error) {
	number, view := d.permits.number(), d.brittleView.Load()
	pool, target := poolHashOf(p.pool), permit.Target{Key: incarnationKey(p.incarnation), Places: p.slots}
	if !view.asks(pool) {
		d.permits.begin(d.now(), number, heldPermit{pool: pool, target: target})
		return number, nil
	}
	keeper, answer, err := d.askForPermit(ctx, view, permitAsk{number: number, pool: pool, group: view.groupOf(pool, p.target), targets: []permit.Target{target}})
	if err != nil {
		d.permits.giveUp(number, keeper)
		d.tell(keeper)
		return 0, notice.ErrBrittle
	}
	if answer.Target == "" && !answer.needless {
		d.permits.giveUp(number, "")
		return 0, notice.ErrBrittle
	}
	if answer.needless {
		keeper = ""
	}
	d.permits.begin(d.now(), number, heldPermit{pool, target, keeper, false})
	return number, nil
}

// endOfProbe is what a probe's answer tells of its target's room.
func endOfProbe(err error) int {
	switch {
	case err == nil:
		return permit.Answered
	case errors.Is(err, ErrUnhealthy):
		return permit.TurnedAway
	}
	return permit.Unanswered
}
