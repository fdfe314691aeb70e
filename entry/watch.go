package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
)

// How the table service is read.
const (
	// proofHold is how long a read of the operator's rows is held. A proof that
	// the configuration is the newest is then at most twice as old, well within
	// the 5 s after which keys are no longer trusted.
	proofHold = 1500 * time.Millisecond
	// hubHold is the same at a hub, whose proofs have to reach others in time.
	hubHold = 300 * time.Millisecond
	// startHold is the same while a box that was never there before waits for the
	// others' rows; it then reads twice within the time that keys are trusted, also
	// if one connection goes silent.
	startHold = 1800 * time.Millisecond
	// readHold is how long the other reads are held. A connection that went silent is
	// found out only behind it, and leaving targets have to be heeded 5 s after
	// that (3 s in which it is excused, and 2 s): hold and the longest wait for an
	// answer stay below.
	readHold = 3 * time.Second
	// readRetryDelay is the pause after a failed read; each call has its price.
	readRetryDelay = 250 * time.Millisecond
	// emptyRetryDelay is the pause after a read of a table service in which nothing was written
	// yet: it has no version from which a read could be held.
	emptyRetryDelay = 300 * time.Millisecond
	// maxSpokeRetryDelay is the longest pause after failed reads of a box that lives on
	// hubs. They read on and tell within 0.3 s that the service is back, and in an outage
	// each call of many boxes has its price.
	maxSpokeRetryDelay = time.Second
	// targetsReadInterval is the least time between two reads of the list: many
	// entries that change at once then cost one call.
	targetsReadInterval = 400 * time.Millisecond
	// targetsStartInterval is the same while a box waits for the others' rows. When all
	// boxes and targets start at once, most of a large fleet's calls are these.
	targetsStartInterval = 1500 * time.Millisecond
	// viewPoll is how often a box that takes a hub's view looks whether that is
	// fresh enough.
	viewPoll = 200 * time.Millisecond
	// roleTimeout is how long a box that starts waits to know its role before it reads what the
	// operator and targets wrote; operatorWithin and listWithin are how long it then waits
	// for a hub to tell that. Hubs that start with it read the list within a second.
	roleTimeout     = 7 * time.Second
	hubOperatorTimeout = time.Second
	hubListTimeout     = 2 * time.Second
	// membersReadDelay is how long after it wrote its own row a box reads the others':
	// all are written by then, so that none reads them one by one. A table service
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

// watchOperator follows the operator's rows. It is the one that notices that
// the table service is lost or back.
func (d *Daemon) watchOperator(ctx context.Context) {
	var after revision.Revision
	failed := 0
	for ctx.Err() == nil {
		asked := d.now()
		if d.hasFreshView(asked) {
			failed = 0
			d.sleep(ctx, viewPoll)
			continue
		}
		if !after.IsZero() && d.awaitsHub(asked, hubOperatorTimeout) {
			d.sleep(ctx, viewPoll)
			continue
		}
		if d.hasPeerProof(asked) {
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
		if !change.Asked.IsZero() {
			asked = change.Asked
		}
		d.postContext(ctx, operatorRead{asked, change})
		switch {
		case after.Number == 0:
			d.sleep(ctx, emptyRetryDelay)
		case d.roleSince.Load() == nil && d.Settings.Peers.IsValid():
			d.sleep(ctx, viewPoll) // Whether a hub tells what the next read would is known soon.
		}
	}
}

// backOffReads waits after some failed reads in a row of the operator's rows. A box
// that lives on hubs waits longer each time, until a hub's view is fresh again.
func (d *Daemon) backOffReads(ctx context.Context, failed int) {
	until := d.now().Add(readRetryDelay)
	if d.spoke.Load() {
		until = d.now().Add(min(readRetryDelay<<min(failed-1, 8), maxSpokeRetryDelay))
	}
	for now := d.now(); ctx.Err() == nil && now.Before(until) && !d.hasFreshView(now); now = d.now() {
		d.sleep(ctx, min(until.Sub(now), readRetryDelay))
	}
}

// operatorHold is how long a read of the operator's rows is held: not at all while
// the table service is lost, so that its return is known within the time of one
// answer, 1.5 s at most, and not after a hold on a connection that stays silent. Nor is
// one held at a hub for which another one reads as a rule, unless the operator's rows may
// be older than the newest configuration: then a change is waited for.
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

// targetsPause is the least time between two reads of the list.
func (d *Daemon) targetsPause() time.Duration {
	if d.roleUnknown.Load() {
		return targetsStartInterval
	}
	return targetsReadInterval
}

// reportLost notes that the table service does not answer and breaks off the reads
// that wait for it.
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

// outage is what the watchers know of the table service being away.
type outage struct {
	mu   sync.Mutex
	down bool
	// downSinceRead says that an outage happened since the list was last read.
	downSinceRead bool
	// older says that the operator's rows may be older than the newest configuration.
	older bool
	// restores counts the restores that reads told of; told says that one did.
	restores uint64
	restoresKnown     bool
	// ctx ends when the service is lost.
	ctx    context.Context
	cancel context.CancelFunc
}

// start prepares the outage for reads that end with ctx.
func (o *outage) start(ctx context.Context) {
	o.ctx, o.cancel = context.WithCancel(ctx)
}

// lost says that the table service is away.
func (o *outage) lost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down
}

// setOlder notes whether the operator's rows may be older than the newest configuration.
func (o *outage) setOlder(older bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.older = older
}

// isOlder says so.
func (o *outage) isOlder() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.older
}

// noteRestores takes over how often the table service was restored, as a read told, and breaks
// off the other tables' reads if that is news: they may be held on connections that fell
// silent, and all tables have to be read whole.
func (o *outage) noteRestores(ctx context.Context, restores uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	news := o.restoresKnown && restores > o.restores
	o.restores, o.restoresKnown = max(restores, o.restores), true
	if !news || o.down {
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

// takeDownSinceRead says whether an outage happened since the last call.
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
		asked := d.now()
		if d.hasFreshView(asked) {
			after = revision.Revision{} // The list is read whole when the hub's view is lost.
			d.sleep(ctx, viewPoll)
			continue
		}
		if after.IsZero() && d.awaitsHub(asked, hubListTimeout) {
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
		d.postContext(ctx, targetsRead{asked, change, d.outage.takeDownSinceRead()})
		d.sleep(ctx, d.targetsPause())
	}
}

// awaitsHub says that the table service need not be read yet: a fleet starts, as there is no
// configuration, and the box does not know its role, or lives on hubs and was not told by one
// within a time. A hub tells what the box needs, and when all boxes of a fleet of 1,000 start at
// once, each would read the configuration and 10,000 entries, to use some hundred. A box that
// joins finds a configuration, and waits for a hub only if it lives on hubs.
func (d *Daemon) awaitsHub(now time.Time, within time.Duration) bool {
	if !d.Settings.Peers.IsValid() {
		return false // No box can tell it anything.
	}
	if role := d.roleSince.Load(); role != nil {
		return d.spoke.Load() && now.Sub(*role) < within
	}
	return d.current.Load() == nil && d.uptime(now) < roleTimeout
}

// readOwnRows reads the system's own rows as they are before this box writes its
// own. If that stands there already, the box was there before and so were the
// others.
func (d *Daemon) readOwnRows(ctx context.Context) OwnRows {
	for ctx.Err() == nil {
		change, err := d.Platform.OwnRows(ctx, revision.Revision{}, 0)
		if err != nil {
			d.sleep(ctx, readRetryDelay)
			continue
		}
		own := d.ownRow()
		before := slices.ContainsFunc(change.Rows, func(r table.Row) bool { return r.Key == own.Key })
		told := change
		told.Rows = append(slices.Clone(change.Rows), own) // The box knows itself.
		d.postContext(ctx, ownRead{told, before})
		return change
	}
	return OwnRows{}
}

func (d *Daemon) watchOwnRows(ctx context.Context) {
	first := d.register(ctx)
	after := first.Known
	// Who shares the work, and its retries, has to be known to a box that lives on a
	// hub's view, too.
	read, drawn := d.unlisted.Load(), hasCredential(first.Rows)
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
		if drawn = drawn || hasCredential(change.Rows); !drawn {
			d.retryWrite(ctx, func() error { return d.createCredential(ctx) })
		}
	}
}

// sleep waits unless ctx ends first.
func (d *Daemon) sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
