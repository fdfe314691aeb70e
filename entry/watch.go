package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
)

// Timing of the reads of the table service.
const (
	// proofHold is how long a read of the operator's rows is held. A proof that the
	// configuration is the newest is then at most twice as old, well within the 5 s after which
	// keys are no longer trusted.
	proofHold = 1500 * time.Millisecond
	// hubHold is proofHold for a hub, whose proofs have to reach other boxes in time.
	hubHold = 300 * time.Millisecond
	// startHold is proofHold while a new box waits for the other boxes' rows. It allows two
	// reads within the time that keys are trusted, even if one connection goes silent.
	startHold = 1800 * time.Millisecond
	// readHold is how long all other reads are held. A connection that went silent is found
	// only after the hold, and a target that leaves has to be heeded within 5 s of that (3 s
	// that are excused and 2 s): readHold and the longest wait for an answer stay below.
	readHold = 3 * time.Second
	// readRetryDelay is the pause after a failed read. Each call is billed.
	readRetryDelay = 250 * time.Millisecond
	// emptyRetryDelay is the pause after reading a table service to which nothing was written
	// yet: it has no revision after which a read could be held.
	emptyRetryDelay = 300 * time.Millisecond
	// maxSpokeRetryDelay is the longest pause of a spoke after failed reads. Its hubs go on
	// reading and report within 0.3 s that the service is back, and the calls of many boxes in
	// an outage are billed.
	maxSpokeRetryDelay = time.Second
	// targetsReadInterval is the least time between two reads of the target list, so that many
	// entries that change at once cost one call.
	targetsReadInterval = 400 * time.Millisecond
	// targetsStartInterval is the same while a box waits for the other boxes' rows. When all
	// boxes and targets start at once, these reads are most of a large fleet's calls.
	targetsStartInterval = 1500 * time.Millisecond
	// viewPoll is how often a spoke checks whether its hub's view is still fresh enough.
	viewPoll = 200 * time.Millisecond
	// roleTimeout is how long a starting box waits to learn its role before it reads the
	// operator's rows and the target list itself. hubOperatorTimeout and hubListTimeout are how
	// long it then waits for a hub to send them. Hubs that start with it read the list within a
	// second.
	roleTimeout        = 7 * time.Second
	hubOperatorTimeout = time.Second
	hubListTimeout     = 2 * time.Second
	// membersReadDelay is how long a box waits after writing its own row before it reads the
	// others'. All are written by then, so that no box reads them one by one. A table service
	// that takes 340 writes a second has the rows of 330 boxes after one second.
	membersReadDelay = 1500 * time.Millisecond
)

// watch follows the table service until ctx ends.
func (d *Daemon) watch(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { d.watchOperator(ctx) })
	work.Go(func() { d.watchTargets(ctx) })
	work.Go(func() { d.watchOwnRows(ctx) })
	work.Wait()
}

// watchOperator follows the operator's rows. It is the watcher that detects that the table
// service is lost or back.
func (d *Daemon) watchOperator(ctx context.Context) {
	var after revision.Revision
	failed := 0
	for ctx.Err() == nil {
		requestedAt := d.now()
		if d.hasFreshView(requestedAt) {
			failed = 0
			d.sleep(ctx, viewPoll)
			continue
		}
		if !after.IsZero() && d.awaitsHub(requestedAt, hubOperatorTimeout) {
			d.sleep(ctx, viewPoll)
			continue
		}
		if d.hasPeerProof(requestedAt) {
			failed = 0
			d.sleep(ctx, peerProofPoll)
			continue
		}
		change, err := d.Platform.Operator(ctx, after, d.operatorHold())
		if err != nil {
			failed++
			d.reportLost(ctx, err)
			d.backOffReads(ctx, failed)
			continue
		}
		failed = 0
		d.reportBack(ctx)
		d.outage.noteRestores(ctx, change.Known.Restores)
		after = change.Known
		if !change.RequestedAt.IsZero() {
			requestedAt = change.RequestedAt
		}
		d.postContext(ctx, operatorRead{requestedAt, change})
		switch {
		case after.Number == 0:
			d.sleep(ctx, emptyRetryDelay)
		case d.roleSince.Load() == nil && d.Settings.Peers.IsValid():
			d.sleep(ctx, viewPoll) // The box learns soon whether a hub supplies what the next read would.
		}
	}
}

// backOffReads waits after a number of consecutive failed reads of the operator's rows. A spoke
// backs off exponentially, until a hub's view is fresh again.
func (d *Daemon) backOffReads(ctx context.Context, failed int) {
	until := d.now().Add(readRetryDelay)
	if d.spoke.Load() {
		until = d.now().Add(min(readRetryDelay<<min(failed-1, 8), maxSpokeRetryDelay))
	}
	for now := d.now(); ctx.Err() == nil && now.Before(until) && !d.hasFreshView(now); now = d.now() {
		d.sleep(ctx, min(until.Sub(now), readRetryDelay))
	}
}

// operatorHold is how long the next read of the operator's rows is held. It is zero while the
// table service is lost, so that its return is noticed within the time of one answer, 1.5 s at
// most, rather than after a hold on a connection that stays silent. It is also zero at a hub
// that usually relies on another hub's proofs. While the operator's rows may be older than the
// newest configuration it is hubHold, to wait for a change.
func (d *Daemon) operatorHold() time.Duration {
	switch {
	case d.outage.isOlder():
		return hubHold
	case d.outage.lost() || d.peerProofMaxAge.Load() > 0:
		return 0
	case d.roleUnknown.Load():
		return startHold
	case d.hasSpokes.Load():
		return hubHold
	}
	return proofHold
}

// targetsPause is the least time between two reads of the target list.
func (d *Daemon) targetsPause() time.Duration {
	if d.roleUnknown.Load() {
		return targetsStartInterval
	}
	return targetsReadInterval
}

// reportLost records that the table service does not answer and cancels the reads that wait for
// it.
func (d *Daemon) reportLost(ctx context.Context, err error) {
	d.outage.mu.Lock()
	defer d.outage.mu.Unlock()
	if d.outage.down || ctx.Err() != nil {
		return
	}
	d.outage.down = true
	d.outage.downSinceRead = true
	d.outage.cancel()
	d.postContext(ctx, tableServiceLost{err})
}

func (d *Daemon) reportBack(ctx context.Context) {
	d.outage.mu.Lock()
	defer d.outage.mu.Unlock()
	if !d.outage.down {
		return
	}
	d.outage.down = false
	d.outage.ctx, d.outage.cancel = context.WithCancel(ctx)
	d.postContext(ctx, tableServiceBack{})
}

// outage is what the watchers know of an outage of the table service. It is safe for concurrent
// use.
type outage struct {
	mu   sync.Mutex
	down bool
	// downSinceRead means that an outage happened since the target list was last read.
	downSinceRead bool
	// older means that the operator's rows may be older than the newest configuration.
	older bool
	// restores is the highest count of restores that a read reported, restoresKnown whether any
	// did.
	restores      uint64
	restoresKnown bool
	// ctx ends when the service is lost.
	ctx    context.Context
	cancel context.CancelFunc
}

// start prepares the outage for reads that end with ctx.
func (o *outage) start(ctx context.Context) {
	o.ctx, o.cancel = context.WithCancel(ctx)
}

// lost reports whether the table service does not answer.
func (o *outage) lost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down
}

// setOlder sets whether the operator's rows may be older than the newest configuration.
func (o *outage) setOlder(older bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.older = older
}

// isOlder returns what setOlder set.
func (o *outage) isOlder() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.older
}

// noteRestores records how often the table service was restored, as a read reported it. If that
// is new, the other tables' reads are cancelled: they may be held on connections that went
// silent, and after a restore all tables have to be read as snapshots.
func (o *outage) noteRestores(ctx context.Context, restores uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	increased := o.restoresKnown && restores > o.restores
	o.restores, o.restoresKnown = max(restores, o.restores), true
	if !increased || o.down {
		return
	}
	o.cancel()
	o.ctx, o.cancel = context.WithCancel(ctx)
}

// readContext returns a context that ends when the table service is lost.
func (o *outage) readContext() context.Context {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctx
}

// takeDownSinceRead reports whether an outage happened since the last call.
func (o *outage) takeDownSinceRead() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.downSinceRead || o.down
	o.downSinceRead = false
	return seen
}

func (d *Daemon) watchTargets(ctx context.Context) {
	var after revision.Revision
	for ctx.Err() == nil {
		requestedAt := d.now()
		if d.hasFreshView(requestedAt) {
			after = revision.Revision{} // The list is read whole once the hub's view is stale.
			d.sleep(ctx, viewPoll)
			continue
		}
		if after.IsZero() && d.awaitsHub(requestedAt, hubListTimeout) {
			d.sleep(ctx, viewPoll)
			continue
		}
		reading, held := d.listReads.begin(d.outage.readContext())
		change, err := d.Platform.Targets(reading, after, held)
		if err != nil {
			d.sleep(ctx, readRetryDelay)
			continue
		}
		after = change.Known
		d.outage.noteRestores(ctx, after.Restores)
		d.postContext(ctx, targetsRead{requestedAt, change, d.outage.takeDownSinceRead()})
		d.sleep(ctx, d.targetsPause())
	}
}

// awaitsHub reports whether the table service need not be read yet, as a hub may send what the
// box needs. A spoke waits for within after it took its role; a box that knows neither its role
// nor a configuration waits for roleTimeout after it started. When all boxes of a fleet of
// 1,000 start at once, each would otherwise read the configuration and 10,000 entries to use
// some hundred of them. A box that joins a running fleet finds a configuration and so waits
// only as a spoke.
func (d *Daemon) awaitsHub(now time.Time, within time.Duration) bool {
	if !d.Settings.Peers.IsValid() {
		return false // No box can reach it.
	}
	if role := d.roleSince.Load(); role != nil {
		return d.spoke.Load() && now.Sub(*role) < within
	}
	return d.current.Load() == nil && d.uptime(now) < roleTimeout
}

// readOwnRows reads the system's own rows before this box writes its own. If that is there
// already, the box was part of the fleet before and the others' rows are there too.
func (d *Daemon) readOwnRows(ctx context.Context) OwnRows {
	for ctx.Err() == nil {
		change, err := d.Platform.OwnRows(ctx, revision.Revision{}, 0)
		if err != nil {
			d.sleep(ctx, readRetryDelay)
			continue
		}
		own := d.ownRow()
		before := slices.ContainsFunc(change.Rows, func(r table.Row) bool { return r.Key == own.Key })
		withOwn := change
		withOwn.Rows = append(slices.Clone(change.Rows), own) // The box counts itself as a member.
		d.postContext(ctx, ownRead{withOwn, before})
		return change
	}
	return OwnRows{}
}

func (d *Daemon) watchOwnRows(ctx context.Context) {
	first := d.register(ctx)
	after := first.Known
	// A spoke, too, has to know which boxes share the work and its retry budget.
	read, credentialKnown := d.unlisted.Load(), hasCredential(first.Rows)
	for ctx.Err() == nil {
		if now := d.now(); read && (d.hasFreshView(now) || d.awaitsHub(now, hubOperatorTimeout)) {
			d.sleep(ctx, viewPoll)
			continue
		}
		change, err := d.Platform.OwnRows(d.outage.readContext(), after, readHold)
		if err != nil {
			d.sleep(ctx, readRetryDelay)
			continue
		}
		after, read = change.Known, true
		d.outage.noteRestores(ctx, after.Restores)
		d.postContext(ctx, ownRead{change, true})
		if credentialKnown = credentialKnown || hasCredential(change.Rows); !credentialKnown {
			d.retryWrite(ctx, func() error { return d.createCredential(ctx) })
		}
	}
}

// sleep waits for a time or until ctx ends.
func (d *Daemon) sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
