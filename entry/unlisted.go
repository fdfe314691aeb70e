package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/table"
)

// In a fleet with enough boxes fit to be hubs, the other boxes write no row: nobody needs their
// address, and rows of all boxes that all boxes read grow with the square of the fleet. Hubs
// learn of these boxes by their gossip, exchange the counts and report the total to their
// spokes.

const (
	// minListedBoxes is how many boxes fit to be hubs must have rows for a weaker box to go
	// without one. The fleet is then large, whichever domains they are in.
	minListedBoxes = 3 * maxMeshBoxes
	// weakCores is the share of a core below which a starting box that finds few rows waits for
	// stronger boxes to write theirs. weakWait is how long: boxes that start at once have
	// written theirs by then and know that they are hubs. Up to weakSpread is added to spread
	// the reads.
	weakCores  = 0.5
	weakWait   = 2500 * time.Millisecond
	weakSpread = time.Second
	// metTTL is how long a hub counts an unlisted box after its last call, countTTL how long
	// another hub's count is valid.
	metTTL   = 10 * time.Second
	countTTL = 5 * time.Second
	// sampledShare is the part of the fleet's total retry burst that is given to boxes sampled
	// by the hash of their names.
	sampledShare = 0.45
)

// register writes this box's row if it needs one, and returns the rows that it read.
func (d *Daemon) register(ctx context.Context) OwnRows {
	rows := d.readOwnRows(ctx)
	if d.weak() && !d.rowUnneeded(rows.Rows) && !hasRow(rows.Rows, d.ownRow()) {
		if d.awaitStronger(ctx) {
			rows = d.readOwnRows(ctx)
		}
	}
	if !hasRow(rows.Rows, d.ownRow()) && d.rowUnneeded(rows.Rows) {
		d.unlisted.Store(true)
		d.Log.Info("this box needs no row, as there are hubs enough", "rows", len(rows.Rows))
		d.postContext(ctx, ownRead{rows, true})
		return rows
	}
	d.join(ctx, rows.Rows)
	d.sleep(ctx, membersReadDelay)
	return rows
}

// awaitStronger waits until stronger boxes that start at the same time have written their rows.
// It returns false at once if there is a configuration: the fleet already runs, and a box that
// joins must soon receive what others write.
func (d *Daemon) awaitStronger(ctx context.Context) bool {
	until := d.now().Add(weakWait + d.jitter(weakSpread))
	for left := until.Sub(d.now()); ctx.Err() == nil && left > 0; left = until.Sub(d.now()) {
		if d.current.Load() != nil {
			return false
		}
		d.sleep(ctx, min(left, viewPoll))
	}
	return true
}

// weak reports whether this box may be too weak to be a hub.
func (d *Daemon) weak() bool { return d.Settings.Box.Share < weakCores }

// rowUnneeded reports whether, by the rows of the others, the fleet is large and this box can
// be no hub in it.
func (d *Daemon) rowUnneeded(rows []table.Row) bool {
	fit, ofDomain := 0, 0
	for _, row := range rows {
		var other memberRow
		if !strings.HasPrefix(row.Key, memberPrefix) || json.Unmarshal(row.Value, &other) != nil {
			continue // ownRead logs rows that can't be decoded.
		}
		if other.Share*hubMinShare <= d.Settings.Box.Share {
			continue
		}
		fit++
		if other.Domain == d.Settings.Domain {
			ofDomain++
		}
	}
	return fit >= minListedBoxes && ofDomain >= hubsPerDomain
}

// meetUnlisted records a call from another box. One without a row becomes an unlisted member.
func (d *Daemon) meetUnlisted(now time.Time, t *tables, m peer.Message) {
	if m.Domain == "" {
		return
	}
	x := t.members[m.From]
	if x == nil {
		x = &member{domain: m.Domain, unlisted: true}
		t.members[m.From] = x
		d.Log.Debug("unlisted box met", "name", m.From, "domain", m.Domain)
	}
	x.metAt = now
}

// recountBoxes updates how many boxes there are and this box's retry burst.
func (d *Daemon) recountBoxes(now time.Time, t *tables) {
	t.unlistedMet = 0
	for name, x := range t.members {
		switch {
		case !x.unlisted:
		case now.Sub(x.metAt) > metTTL:
			delete(t.members, name)
		default:
			t.unlistedMet++
		}
	}
	d.chooseRetryBudget(now, t)
	if boxes := t.boxCount(now); boxes != t.retryBoxes {
		t.retryBoxes = boxes
		d.budget.SetBurst(d.retryBurst(now, t))
	}
}

// boxCount is how many boxes share the work: those with a row, and those without that this box
// or other hubs met, or a hub's total. One that changed its hub may count twice for metTTL.
func (t *tables) boxCount(now time.Time) int {
	if len(t.members) == 0 {
		return assumedBoxes
	}
	return max(len(t.members)+t.unlistedElsewhere(now), t.hubBoxes)
}

// unlistedElsewhere is how many unlisted boxes other hubs met.
func (t *tables) unlistedElsewhere(now time.Time) int {
	sum := 0
	for _, x := range t.members {
		if now.Sub(x.countedAt) < countTTL {
			sum += x.unlistedMet
		}
	}
	return sum
}

// receiveUnlistedCount applies how many unlisted boxes another hub met.
func (t *tables) receiveUnlistedCount(now time.Time, m peer.Message) {
	if x := t.members[m.From]; x != nil && !x.unlisted {
		x.unlistedMet, x.countedAt = m.Unlisted, now
	}
}

// unlistedTotal is how many unlisted boxes this one knows of in total.
func (t *tables) unlistedTotal(now time.Time) int {
	return max(t.unlistedMet+t.unlistedElsewhere(now), t.hubUnlisted)
}

// hasUnlisted reports whether unlisted boxes share the work, so that no box knows all names. A
// box that has just joined and whose row this one has not read is not unlisted.
func (t *tables) hasUnlisted(now time.Time) bool { return t.unlistedTotal(now) > 0 }

// sampledBurst is the retry burst of a box in a fleet where no box knows all names: one if its
// name's hash is in the sample. As boxes are sampled independently, the sum stays below the
// fleet's total burst.
func sampledBurst(name string, boxes int, all float64) float64 {
	const span = 1 << 32
	sample := float64(placement.Hash("retries/"+name)%span) / span
	if sample < sampledShare*all/float64(boxes) {
		return 1
	}
	return 0
}
