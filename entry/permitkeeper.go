package entry

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/permit"
	"github.com/thymewind/thymewind/placement"
)

// This file determines which box keeps the room of which brittle targets, and answers the boxes that ask
// it. The boxes that exchange loads can be keepers: all of a small fleet, the hubs of a large one. Of those
// that answer, each box takes the first by a hash. A box that is asked and knows of a better one that
// answers names that instead, so that no two keep one target.

const (
	// targetsPerKeeper is how many targets of a pool one box keeps, so that it chooses among all of a
	// small pool. A large one is divided.
	targetsPerKeeper = 32
	// keeperSilence is how long a keeper that is called may say nothing, not even late, before another one takes
	// its place. That one has to learn what is under way, which costs more than a busy keeper does.
	keeperSilence = 2 * time.Second
	// unheardFor is how long a box that starts among others asks whether a pool is brittle, until one of
	// them has told it.
	unheardFor = 3 * time.Second
)

// brittleView is what requests outside the loop read of brittle pools. It is not changed once published.
type brittleView struct {
	// pools are those with brittle targets, groups how many boxes keep the targets of each.
	pools  map[uint32]brittlePool
	groups map[uint32]int
	// keepers are the boxes that may keep targets and answer, addresses those of all that may.
	keepers   []string
	addresses map[string]netip.AddrPort
	// unreached are boxes that say nothing to this one, but may answer others.
	unreached map[string]bool
	// unheard says that no other box has told this one yet which pools are brittle.
	unheard bool
}

// publishBrittle publishes the view.
func (d *Daemon) publishBrittle(now time.Time, t *tables) {
	v := &brittleView{pools: make(map[uint32]brittlePool), groups: make(map[uint32]int), addresses: make(map[string]netip.AddrPort), unreached: make(map[string]bool)}
	for pool, b := range t.brittlePools {
		v.pools[pool] = *b
		v.groups[pool] = (len(t.fleet.Pool(d.poolName(pool))) + targetsPerKeeper - 1) / targetsPerKeeper
	}
	for _, name := range t.hubs() {
		m := t.members[name]
		if name != d.Settings.Name {
			v.addresses[name] = m.address
			v.unreached[name] = now.Before(m.keeperRetryAt) && !m.keeperEnded
		}
		if name == d.Settings.Name || d.mayKeep(now, m) {
			v.keepers = append(v.keepers, name)
		}
	}
	others := len(v.addresses) > 0
	if !others && !d.spoke.Load() {
		v.keepers = []string{d.Settings.Name}
	}
	v.unheard = others && !t.heardBox && now.Sub(d.startedAt) < unheardFor
	d.brittleView.Store(v)
}

// mayKeep reports whether another box answers. A spoke hears only its hub by itself.
func (d *Daemon) mayKeep(now time.Time, m *member) bool {
	if !m.address.IsValid() || now.Before(m.keeperRetryAt) {
		return false
	}
	return d.spoke.Load() || now.Sub(m.heardAt) < keeperSilence
}

// asks reports whether requests to a pool need permits, or may do so.
func (v *brittleView) asks(pool uint32) bool { return v.isBrittle(pool) || v.unheard }

// isBrittle reports whether this box knows that a pool is brittle.
func (v *brittleView) isBrittle(pool uint32) bool {
	_, brittle := v.pools[pool]
	return brittle
}

// groupOf is the part of a pool's targets that one belongs to.
func (v *brittleView) groupOf(pool uint32, target string) int {
	return int(placement.Hash(target) % uint64(max(v.groups[pool], 1)))
}

// keeperOf returns the box that keeps a part of a pool's targets, or an empty name.
func (v *brittleView) keeperOf(pool uint32, group int) string {
	if len(v.keepers) == 0 {
		return ""
	}
	key := uint64(pool)<<32 | uint64(group)
	return slices.MinFunc(v.keepers, byWeight(key))
}

// wayTo returns the box to call for one that keeps targets: that one, or if it says nothing to this box another one
// that may keep targets, to pass the call on.
func (v *brittleView) wayTo(box string) string {
	if !v.unreached[box] {
		return box
	}
	for _, name := range v.keepers {
		if _, other := v.addresses[name]; other {
			return name
		}
	}
	return box
}

// lacks reports whether another box names a brittle pool that this one does not know.
func (v *brittleView) lacks(told []peer.BrittlePool) bool {
	return slices.ContainsFunc(told, func(b peer.BrittlePool) bool { return !v.isBrittle(b.Pool) })
}

// otherKeeperOf is keeperOf without one box.
func (v *brittleView) otherKeeperOf(pool uint32, group int, box string) string {
	others := brittleView{keepers: slices.DeleteFunc(slices.Clone(v.keepers), func(name string) bool { return name == box })}
	return others.keeperOf(pool, group)
}

// forPeer lists the brittle pools for another box.
func (v *brittleView) forPeer(now time.Time) []peer.BrittlePool {
	var list []peer.BrittlePool
	for pool, b := range v.pools {
		list = append(list, b.forPeer(now, pool))
	}
	return list
}

func (b *brittlePool) forPeer(now time.Time, pool uint32) peer.BrittlePool {
	return peer.BrittlePool{Pool: pool, Bears: b.bears, SaidMS: now.Sub(b.saidAt).Milliseconds(), KnownMS: now.Sub(b.since).Milliseconds()}
}

// permitAsk is a request for a permit.
type permitAsk struct {
	number  uint64
	pool    uint32
	group   int
	targets []permit.Target
	urgency int
	wait    time.Duration
}

// permitReply is the answer; needless says that the pool is not brittle.
type permitReply struct {
	permit.Answer
	needless bool
}

// askForPermit asks for a permit. None is needed of a box that can't be asked while nobody has said that the
// pool is brittle.
func (d *Daemon) askForPermit(ctx context.Context, view *brittleView, a permitAsk) (keeper string, reply permitReply, err error) {
	keeper, reply, err = d.askKeeper(ctx, view, a)
	if err != nil && !errors.Is(err, errBrittle) && !view.isBrittle(a.pool) {
		return "", permitReply{needless: true}, nil
	}
	return keeper, reply, err
}

// errBrittle means that another box says that a pool is brittle of which this one does not know it yet.
var errBrittle = errors.New("the pool is brittle, which this box was just told")

// askKeeper asks the box that keeps some targets, and the one that this names instead.
func (d *Daemon) askKeeper(ctx context.Context, view *brittleView, a permitAsk) (keeper string, reply permitReply, err error) {
	keeper = view.keeperOf(a.pool, a.group)
	asksOther := keeper == d.Settings.Name && view.isUnsure(a.pool, a.group, d.Settings.Name)
	if asksOther {
		keeper = view.otherKeeperOf(a.pool, a.group, d.Settings.Name)
	}
	if keeper == "" && asksOther && view.isBrittle(a.pool) {
		keeper = d.Settings.Name
	}
	for range 2 {
		switch {
		case keeper == "":
			return "", reply, errors.New("no box that keeps its targets is known")
		case keeper == d.Settings.Name && !view.isBrittle(a.pool):
			return "", reply, errBrittle
		case keeper == d.Settings.Name:
			return d.Settings.Name, permitReply{Answer: d.keepRoom(ctx, d.Settings.Name, d.permits.epoch, view.pools[a.pool], a)}, nil
		}
		var answer *peer.PermitAnswer
		err := d.callKeeper(ctx, keeper, peer.Permits{Ask: a.encode()}, &answer)
		switch {
		case err != nil && asksOther && view.isBrittle(a.pool):
			keeper = d.Settings.Name
			continue
		case err != nil:
			return keeper, reply, err
		case answer == nil: // A box of an earlier release, which keeps no room.
			return keeper, permitReply{needless: true}, nil
		case answer.Keeper == "":
			return keeper, decodeAnswer(answer), nil
		}
		keeper, asksOther = answer.Keeper, false
	}
	return "", reply, errors.New("boxes disagree on which of them keeps its targets")
}

// isUnsure reports whether a box that would keep some targets asks another one first: it does not know yet whether
// the pool is brittle, or a better box does not answer it, but may answer others.
func (v *brittleView) isUnsure(pool uint32, group int, box string) bool {
	all := brittleView{keepers: append(slices.Collect(maps.Keys(v.addresses)), box)}
	return !v.isBrittle(pool) || all.keeperOf(pool, group) != box
}

func (a permitAsk) encode() *peer.PermitAsk {
	m := &peer.PermitAsk{Number: a.number, Pool: a.pool, Group: a.group, Urgency: a.urgency, WaitMS: a.wait.Milliseconds()}
	for _, x := range a.targets {
		m.Targets = append(m.Targets, peer.PermitTarget{Key: x.Key, Places: x.Places})
	}
	return m
}

func decodeAnswer(m *peer.PermitAnswer) permitReply {
	return permitReply{permit.Answer{Target: m.Target, Tell: m.Tell, Pause: time.Duration(m.PauseMS) * time.Millisecond, Level: m.Level}, m.NotBrittle}
}

// keeperSilent reports that a box that is called about permits has ended, or has been silent for too long.
type keeperSilent struct {
	box       string
	silentFor time.Duration
	err       error
}

func (d *Daemon) keeperSilent(now time.Time, t *tables, m keeperSilent) {
	x := t.members[m.box]
	if x == nil || now.Before(x.keeperRetryAt) {
		return
	}
	x.keeperEnded = errors.Is(m.err, syscall.ECONNREFUSED)
	x.keeperRetryAt = now.Add(silentRetryDelay)
	if x.keeperEnded {
		x.keeperRetryAt = now.Add(keeperRetryDelay)
	}
	reason := silenceReason(m.err)
	d.metrics.keepersLost.WithLabelValues(reason).Inc()
	d.Log.Warn("box that keeps brittle targets does not answer", "box", m.box, "reason", reason, "silent_for", m.silentFor, "err", m.err)
	d.publishBrittle(now, t)
}

// noteKeeper records whether a box answered a call of a time about permits. An answer that is merely late is
// no reason to take another keeper.
func (d *Daemon) noteKeeper(box string, at netip.AddrPort, calledAt time.Time, err error) {
	if err == nil {
		d.permits.heard(box)
		return
	}
	silentFor := min(d.now().Sub(d.permits.unheardSince(box, calledAt)), d.peers.SilentFor(at))
	if errors.Is(err, syscall.ECONNREFUSED) || silentFor >= keeperSilence {
		d.post(keeperSilent{box, silentFor, err})
	}
}

// Reasons for which a box that keeps targets is given up, in the metrics.
const (
	keeperRefuses  = "refused"
	keeperIsSilent = "silent"
)

// silenceReason is why a box is given up after a call failed with an error.
func silenceReason(err error) string {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return keeperRefuses
	}
	return keeperIsSilent
}

// keepRoom gives out a part of the room of targets that this box keeps.
func (d *Daemon) keepRoom(ctx context.Context, box string, epoch uint64, b brittlePool, a permitAsk) permit.Answer {
	return d.keeper.Ask(ctx, d.now, permit.Ask{
		Box: box, Epoch: epoch, Number: a.number, Group: groupName(a.pool, a.group), Targets: a.targets,
		Bears: b.bears, BrittleFor: d.now().Sub(b.since), Urgency: a.urgency, Wait: a.wait,
	})
}

func groupName(pool uint32, group int) string {
	return strconv.FormatUint(uint64(pool), 16) + "/" + strconv.Itoa(group)
}

// answerPermits answers another box, outside the loop.
func (d *Daemon) answerPermits(ctx context.Context, m peer.Message) *peer.PermitAnswer {
	now, view := d.now(), d.brittleView.Load()
	if box := m.Permits.For; box != "" && box != d.Settings.Name {
		return d.passOnPermits(ctx, view, m)
	}
	pools := make(map[uint32]brittlePool) // The view has none while this box starts.
	maps.Copy(pools, view.pools)
	news := false
	for _, b := range m.BrittlePools {
		if _, known := pools[b.Pool]; !known && b.Bears > 0 {
			ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
			pools[b.Pool], news = brittlePool{b.Bears, ago(b.KnownMS), ago(b.SaidMS)}, true
		}
	}
	if news {
		d.post(brittleTold{m})
	}
	p := m.Permits
	if len(p.Reports) > 0 {
		d.keeper.Report(now, m.From, p.Epoch, decodeReports(p.Reports))
	}
	if p.Renews {
		d.keeper.Renew(now, m.From, p.Epoch, p.UpTo, decodeHeld(now, p.Held, pools))
	}
	if p.Ask == nil {
		return &peer.PermitAnswer{}
	}
	b, brittle := pools[p.Ask.Pool]
	if !brittle {
		return &peer.PermitAnswer{NotBrittle: true}
	}
	if keeper := view.keeperOf(p.Ask.Pool, p.Ask.Group); keeper != d.Settings.Name {
		return &peer.PermitAnswer{Keeper: keeper}
	}
	a := permitAsk{number: p.Ask.Number, pool: p.Ask.Pool, group: p.Ask.Group, urgency: p.Ask.Urgency, wait: min(time.Duration(p.Ask.WaitMS)*time.Millisecond, maxPermitWait)}
	for _, x := range p.Ask.Targets {
		a.targets = append(a.targets, permit.Target{Key: x.Key, Places: x.Places})
	}
	answer := d.keepRoom(ctx, m.From, p.Epoch, b, a)
	return &peer.PermitAnswer{Target: answer.Target, Tell: answer.Tell, PauseMS: answer.Pause.Milliseconds(), Level: answer.Level}
}

// passOnPermits passes a message on to a box that its sender does not reach, and the answer back; nil if this box
// does not reach it either.
func (d *Daemon) passOnPermits(ctx context.Context, view *brittleView, m peer.Message) *peer.PermitAnswer {
	at, known := view.addresses[m.Permits.For]
	if !known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(*m.Permits))
	defer cancel()
	reply, err := d.peers.Call(ctx, at, m)
	if err != nil {
		d.Log.Warn("a message about brittle targets was not passed on", "from", m.From, "to", m.Permits.For, "err", err)
		return nil
	}
	return reply.PermitAnswer
}

// brittleTold is a message in which another box told of a brittle pool that this one did not know.
type brittleTold struct{ message peer.Message }

func decodeReports(list []peer.PermitReport) []permit.Report {
	out := make([]permit.Report, len(list))
	for i, r := range list {
		out[i] = permit.Report{Number: r.Number, End: r.End}
	}
	return out
}

func decodeHeld(now time.Time, list []peer.HeldPermit, pools map[uint32]brittlePool) []permit.Renewal {
	var out []permit.Renewal
	for _, h := range list {
		b := pools[h.Pool]
		out = append(out, permit.Renewal{Number: h.Number, Target: permit.Target{Key: h.Key, Places: h.Places}, Bears: b.bears, BrittleFor: now.Sub(b.since)})
	}
	return out
}

// renewPermits tells the boxes that keep targets what this one has under way there.
func (d *Daemon) renewPermits(now time.Time, t *tables) []effect {
	view := d.brittleView.Load()
	if len(view.pools) == 0 || now.Before(t.due.renew) {
		return nil
	}
	t.due.renew = now.Add(renewInterval)
	upTo, held := d.permits.renew(now, view)
	var effects []effect
	for keeper, list := range held {
		if keeper == d.Settings.Name {
			d.keeper.Renew(now, keeper, d.permits.epoch, upTo, decodeHeld(now, list, view.pools))
			continue
		}
		if len(list) == 0 && view.unreached[keeper] {
			continue // Nobody needs to pass on that there is nothing.
		}
		effects = append(effects, renewAt{keeper, peer.Permits{Renews: true, UpTo: upTo, Held: list}})
	}
	return effects
}

// renewAt tells one box.
type renewAt struct {
	keeper  string
	message peer.Permits
}

func (d *Daemon) renewAt(ctx context.Context, e renewAt) {
	if err := d.callKeeper(ctx, e.keeper, e.message, nil); err != nil {
		d.Log.Warn("a box was not told of requests under way", "box", e.keeper, "requests", len(e.message.Held), "err", err)
	}
}

// renew lists this box's requests at brittle targets for each box that it has lately taken for one that
// keeps these, with the number up to which they are all. All get the whole list: boxes may disagree for a
// while on which of them keeps a target.
func (p *permits) renew(now time.Time, view *brittleView) (upTo uint64, held map[string][]peer.HeldPermit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	upTo, held = p.next, make(map[string][]peer.HeldPermit)
	for number := range p.asking {
		upTo = min(upTo, number-1)
	}
	for keeper, usedAt := range p.keepers {
		if now.Sub(usedAt) >= keeperTTL {
			delete(p.keepers, keeper)
		}
	}
	var list []peer.HeldPermit
	for number, h := range p.held {
		if _, brittle := view.pools[h.pool]; !brittle {
			continue
		}
		keeper := view.keeperOf(h.pool, view.groupOf(h.pool, incarnationTarget(h.target.Key)))
		if keeper == "" {
			continue
		}
		h.keeper = keeper
		p.held[number] = h
		p.keepers[keeper] = now
		list = append(list, peer.HeldPermit{Number: number, Pool: h.pool, Key: h.target.Key, Places: h.target.Places})
	}
	for keeper := range p.keepers {
		held[keeper] = list
	}
	return upTo, held
}
