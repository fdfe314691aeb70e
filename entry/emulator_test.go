package entry

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/thymewind/thymewind/canary"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/table"
)

// Behaviour of the emulated fleet.
const (
	// networkDelay is the one-way delay between two boxes, tableServiceDelay the response
	// time of the table service.
	networkDelay      = time.Millisecond
	tableServiceDelay = 5 * time.Millisecond
	// emulatorStep is the step of virtual time.
	emulatorStep = 50 * time.Millisecond
	// hubShare is the share of a core of the boxes eligible as hubs, of which each
	// domain has strongPerDomain; the others have weakShare.
	hubShare        = 0.8
	weakShare       = 0.192
	strongPerDomain = 2
)

// emulator runs a fleet in one process and in virtual time: the boxes' real systems, tables
// and messages, without a network. Effects between boxes are performed with a delay.
type emulator struct {
	now     time.Time
	boxes   []*Daemon
	byName  map[string]*Daemon
	pending []pending
	rows    *fake.Table
	// lastRows are the rows as last sent to their readers.
	lastRows []table.Row
	// tableServiceDown are the boxes that get no answer from the table service, dead those
	// that are down.
	tableServiceDown, dead map[string]bool
	// oldRelease are the boxes of the release before boxes told each other how long their
	// configuration has existed.
	oldRelease map[string]bool
	// cut reports whether messages between two boxes are lost; nil loses none.
	cut func(from, to string) bool
	// operator is the content of the operator's rows.
	operator Operator
	// targets is the content of the list of targets.
	targets map[string]fleet.Entry
	// version is the table service's revision number, restores how often it was restored.
	version, restores uint64
	// canaryReports is what was reported to the operator, by pool.
	canaryReports map[string][]canary.State
	cost          map[string]*emulatorCost
}

// emulatorCost counts what one box did.
type emulatorCost struct {
	messages, bytes, tableServiceCalls, watched int
}

// pending is an event in flight.
type pending struct {
	at  time.Time
	run func()
}

// emulate starts boxes in domains d0, d1 and so on, which know each other.
func emulate(boxes, domains int, table *routing.Table) *emulator {
	w := &emulator{
		now: start, byName: make(map[string]*Daemon), rows: &fake.Table{}, tableServiceDown: make(map[string]bool), dead: make(map[string]bool),
		targets: make(map[string]fleet.Entry), version: 10, canaryReports: make(map[string][]canary.State), cost: make(map[string]*emulatorCost),
	}
	w.operator = Operator{Table: table, Raw: []byte("raw"), Snapshot: true, Changed: rev(9), Known: rev(10)}
	for i := range boxes {
		w.addBox(fmt.Sprintf("box-%04d", i), fmt.Sprintf("d%d", i%domains), i < strongPerDomain*domains)
	}
	for _, d := range w.boxes {
		w.join(d)
	}
	return w
}

// addBox creates a box.
func (w *emulator) addBox(name, domain string, strong bool) *Daemon {
	d := newDaemon(name)
	d.Settings.Domain = domain
	d.Settings.Bounds.TriedShare, d.Settings.Bounds.TriedExtra = 0.1, 50
	d.Settings.Box.Share = weakShare
	if strong {
		d.Settings.Box.Share = hubShare
	}
	d.now = func() time.Time { return w.now }
	d.startedAt = w.now
	credential := "c"
	d.credential.Store(&credential)
	d.Platform.Commit = func(ctx context.Context, tx table.Transaction) error { return w.commit(ctx, d, tx) }
	d.Platform.Read = func(ctx context.Context, key string) (table.Row, error) {
		w.cost[name].tableServiceCalls++
		return w.rows.Read(ctx, key)
	}
	d.Platform.OwnRows = func(ctx context.Context, _ revision.Revision, _ time.Duration) (OwnRows, error) {
		w.cost[name].tableServiceCalls++
		rows, err := w.rows.ListAll(ctx, "")
		return OwnRows{Snapshot: true, Rows: rows, Known: w.revision()}, err
	}
	d.Platform.ReportCanary = func(_ context.Context, spec canary.Rollout, state canary.State) error {
		w.cost[name].tableServiceCalls++
		w.recordCanary(spec.Pool, state)
		return nil
	}
	d.lease.Now, d.lease.Commit, d.lease.Read = d.now, d.Platform.Commit, d.Platform.Read
	w.boxes = append(w.boxes, d)
	w.byName[name] = d
	w.cost[name] = &emulatorCost{}
	return d
}

// recordCanary records a report to the operator; a final state is not taken back.
func (w *emulator) recordCanary(pool string, state canary.State) {
	reports := w.canaryReports[pool]
	if len(reports) > 0 && reports[len(reports)-1].Ended() && !state.Ended() {
		return
	}
	w.canaryReports[pool] = append(reports, state)
}

// join gives a box the addresses of all others and the platform's state.
func (w *emulator) join(d *Daemon) {
	for i, other := range w.boxes {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), 1)
		if other == d {
			d.Settings.Peers = at
		}
		d.tables.members[other.Settings.Name] = &member{address: at, domain: other.Settings.Domain, share: other.Settings.Box.Share}
	}
	d.tables.membersKnown = true
	w.perform(d, d.updateRole(w.now, &d.tables))
	w.perform(d, d.update(w.now, operatorRead{w.now, w.operator}))
	w.perform(d, d.update(w.now, targetsRead{w.now, w.list(), false}))
}

// revision is the table service's newest.
func (w *emulator) revision() revision.Revision {
	return revision.Revision{Restores: w.restores, Number: w.version}
}

// list is a snapshot of the list.
func (w *emulator) list() Targets {
	all := Targets{Snapshot: true, Known: w.revision(), Changed: w.revision()}
	for _, e := range w.targets {
		all.Listed = append(all.Listed, e)
	}
	return all
}

// commit changes rows.
func (w *emulator) commit(ctx context.Context, from *Daemon, tx table.Transaction) error {
	w.cost[from.Settings.Name].tableServiceCalls++
	w.version++
	return w.rows.Commit(ctx, tx)
}

// notifyRowReaders sends changed rows to the boxes that read the system's own rows.
func (w *emulator) notifyRowReaders() {
	rows, err := w.rows.ListAll(context.Background(), "")
	if err != nil || slices.EqualFunc(rows, w.lastRows, func(a, b table.Row) bool { return a.Key == b.Key && a.Revision == b.Revision }) {
		return
	}
	w.lastRows = rows
	for _, d := range w.boxes {
		if !d.spoke.Load() && !w.tableServiceDown[d.Settings.Name] && !w.dead[d.Settings.Name] {
			whole := d.tables.ownRowsRevision.Restores < w.restores
			w.perform(d, d.update(w.now, ownRead{OwnRows{Snapshot: whole, Rows: rows, Known: w.revision()}, true}))
		}
	}
}

// addTargets adds targets to the list; the boxes that read it know after at most targetsReadInterval.
func (w *emulator) addTargets(entries ...fleet.Entry) {
	w.version++
	for _, e := range entries {
		w.targets[e.ID] = e
	}
	w.notifyListReaders(Targets{Listed: entries, Known: w.revision(), Changed: w.revision()})
}

// removeTargets removes targets from the list.
func (w *emulator) removeTargets(ids ...string) {
	w.version++
	for _, id := range ids {
		delete(w.targets, id)
	}
	w.notifyListReaders(Targets{Removed: ids, Known: w.revision(), Changed: w.revision()})
}

func (w *emulator) notifyListReaders(change Targets) {
	for _, d := range w.boxes {
		w.after(targetsReadInterval/2, func() {
			if !d.hasFreshView(w.now) && !w.tableServiceDown[d.Settings.Name] {
				w.perform(d, d.update(w.now, targetsRead{w.now, change, false}))
			}
		})
	}
}

// writeOperator changes the operator's rows.
func (w *emulator) writeOperator(change func(o *Operator)) {
	w.version++
	w.operator.Changed, w.operator.Known = w.revision(), w.revision()
	change(&w.operator)
}

// restore restores the table service from a copy that lacks the last versions, with the
// system's own rows of that time. What the operator wrote and the list are written again.
func (w *emulator) restore(lost uint64, own fake.Snapshot) {
	w.version -= lost
	w.restores++
	w.rows.Restore(own)
	w.writeOperator(func(o *Operator) {
		canaries := make(map[string]*canary.Rollout, len(o.Canaries))
		for pool, spec := range o.Canaries {
			again := *spec
			again.Order = canary.OrderAt(w.revision())
			canaries[pool] = &again
		}
		o.Canaries = canaries
	})
	rows, err := w.rows.ListAll(context.Background(), "")
	if err != nil {
		panic(err) // The emulated table has no faults for reads of all rows.
	}
	w.lastRows = rows
	for _, d := range w.boxes {
		if !d.hasFreshView(w.now) && !w.tableServiceDown[d.Settings.Name] {
			w.perform(d, d.update(w.now, targetsRead{w.now, w.list(), true}))
			w.perform(d, d.update(w.now, ownRead{OwnRows{Snapshot: true, Rows: rows, Known: w.revision()}, true}))
		}
	}
}

// after schedules a function.
func (w *emulator) after(after time.Duration, run func()) {
	w.pending = append(w.pending, pending{w.now.Add(after), run})
}

// advance advances time: each box's systems run, and events in flight arrive.
func (w *emulator) advance(length time.Duration, each func()) {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(emulatorStep) {
		w.runDue()
		w.notifyRowReaders()
		for _, d := range w.boxes {
			if !w.dead[d.Settings.Name] {
				w.tick(d)
			}
		}
		if each != nil {
			each()
		}
	}
}

// runDue runs the events that are due, in order.
func (w *emulator) runDue() {
	due := w.pending
	w.pending = nil
	slices.SortStableFunc(due, func(a, b pending) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, p := range due {
		if p.at.After(w.now) {
			w.pending = append(w.pending, p)
			continue
		}
		p.run()
	}
}

// tick runs a box's systems and reads the operator's rows if that is due.
func (w *emulator) tick(d *Daemon) {
	if w.now.Sub(start)%hubHold == 0 && !w.tableServiceDown[d.Settings.Name] && !d.hasFreshView(w.now) && !d.hasPeerProof(w.now) {
		w.cost[d.Settings.Name].tableServiceCalls++
		read := w.operator
		read.Known = w.revision()
		read.Clock = time.Hour + w.now.Sub(start)
		w.perform(d, d.update(w.now, operatorRead{w.now, read}))
	}
	for _, system := range d.systems {
		w.perform(d, system(w.now, &d.tables))
	}
}

// perform carries out effects.
func (w *emulator) perform(d *Daemon, effects []effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case callPeer:
			w.call(d, e.name, e.message, func(answer peer.Message, err error) {
				w.perform(d, d.update(w.now, peerAnswered{e.name, e.requestedAt, answer, err}))
			})
		case askHub:
			m := peer.Message{Kind: peer.KindPlace, From: d.Settings.Name, PlacementRequest: &e.ask}
			w.call(d, e.hub, m, func(answer peer.Message, err error) {
				w.perform(d, d.update(w.now, hubPlaced{e.hub, e.request, answer.PlacementResponse, err}))
			})
		case borrowToken:
			m := peer.Message{Kind: peer.KindPlace, From: d.Settings.Name, PlacementRequest: &e.ask}
			w.call(d, e.box, m, func(answer peer.Message, err error) {
				w.perform(d, d.update(w.now, tokenLent{e, answer.PlacementResponse, err}))
			})
		case fetchConfiguration:
			w.after(2*networkDelay, func() {
				w.perform(d, d.update(w.now, configurationFromHub{e.proof, Operator{Table: w.operator.Table}, nil}))
			})
		case readFromBox:
			w.readFromBox(d, e)
		case watchSource:
			w.cost[d.Settings.Name].watched++
			w.after(tableServiceDelay, func() {
				if e.ctx.Err() == nil {
					w.perform(d, d.update(w.now, cacheEventsRead{source: e.name, requestedAt: w.now}))
				}
			})
		case rewrite:
			w.after(e.after+tableServiceDelay, func() { w.receive(d, rewritten{e, d.Platform.Commit(context.Background(), e.tx)}) })
		case writeCrashes:
			w.after(tableServiceDelay, func() { w.receive(d, d.writeCrashes(context.Background(), e)) })
		case stepLease:
			w.after(tableServiceDelay, func() { w.receive(d, d.step(context.Background(), e)) })
		case writeCanary:
			w.after(tableServiceDelay, func() { w.receive(d, d.writeCanary(context.Background(), e)) })
		case reportCanary:
			w.after(tableServiceDelay, func() { w.receive(d, d.reportCanary(context.Background(), e)) })
		}
	}
}

// readFromBox has a box read the operator's rows from another one.
func (w *emulator) readFromBox(d *Daemon, e readFromBox) {
	m := peer.Message{Kind: peer.KindOperator, From: d.Settings.Name, ConfigurationVersion: e.version}
	w.call(d, e.box, m, func(answer peer.Message, err error) {
		read := operatorFromBox{box: e.box, requestedAt: e.requestedAt, answer: answer, err: err}
		if len(answer.Body) > 0 {
			read.table = w.byName[e.box].current.Load()
		}
		w.receive(d, read)
	})
}

// receive delivers a message to a box unless it is dead.
func (w *emulator) receive(d *Daemon, m message) {
	if !w.dead[d.Settings.Name] {
		w.perform(d, d.update(w.now, m))
	}
}

// call has a box answer another one.
func (w *emulator) call(from *Daemon, name string, m peer.Message, done func(peer.Message, error)) {
	to := w.byName[name]
	if to == nil || w.dead[name] || w.cut != nil && w.cut(from.Settings.Name, name) {
		w.after(gossipTimeout, func() { done(peer.Message{}, context.DeadlineExceeded) })
		return
	}
	if m = w.asReleased(from, m); w.oldRelease[name] && m.Kind == peer.KindOperator {
		m.Kind = "unknown" // It is answered like gossip.
	}
	w.count(from, m)
	w.after(networkDelay, func() {
		reply := make(chan peer.Message, 1)
		w.perform(to, to.update(w.now, peerRequest{m, reply}))
		w.await(to, reply, w.now.Add(waitHold+hubPlaceTimeout), done)
	})
}

// asReleased returns a message as a box's release sends it.
func (w *emulator) asReleased(from *Daemon, m peer.Message) peer.Message {
	if w.oldRelease[from.Settings.Name] {
		m.ConfigurationAgeMS = 0
		if m.OperatorRevision.IsZero() {
			m.ConfigurationVersion = 0
		}
	}
	return m
}

// await waits for a box's answer, which it may hold back.
func (w *emulator) await(from *Daemon, reply <-chan peer.Message, until time.Time, done func(peer.Message, error)) {
	select {
	case answer := <-reply:
		answer = w.asReleased(from, answer)
		w.count(from, answer)
		w.after(networkDelay, func() { done(answer, nil) })
		return
	default:
	}
	if w.now.After(until) {
		done(peer.Message{}, context.DeadlineExceeded)
		return
	}
	w.after(emulatorStep, func() {
		select {
		case answer := <-reply: // The step includes the way back.
			answer = w.asReleased(from, answer)
			w.count(from, answer)
			done(answer, nil)
		default:
			w.await(from, reply, until, done)
		}
	})
}

// count counts what a box sends.
func (w *emulator) count(d *Daemon, m peer.Message) {
	wire, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Messages always encode.
	}
	c := w.cost[d.Settings.Name]
	c.messages++
	c.bytes += len(wire)
}
