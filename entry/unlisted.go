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

// In a fleet with many boxes that are fit for hubs, the others write no row: nobody needs to
// find them, and rows of all that are read by all grow with the square of the boxes. Hubs
// know of them by their gossip, tell each other how many there are, and tell that to the boxes.

const (
	// minListedBoxes is how many boxes fit for hubs have to have their rows for a weaker one to
	// go without: so many that the fleet is large, whichever domains they are of.
	minListedBoxes = 3 * maxMeshBoxes
	// weakCores is the part of a core below which a box that starts, and finds few rows, waits
	// whether stronger ones write theirs: weakWait, within which boxes that start at once
	// have done so and know that they are hubs, and up to weakSpread more, so that their
	// reads are spread.
	weakCores  = 0.5
	weakWait   = 2500 * time.Millisecond
	weakSpread = time.Second
	// metTTL is how long a hub counts a box without a row after it was last heard, countedFor
	// how long what another hub told counts.
	metTTL     = 10 * time.Second
	countTTL = 5 * time.Second
	// sampledShare is how much of the retries that all boxes may save up together is given to
	// boxes that are drawn by their names.
	sampledShare = 0.45
)

// register has this box be found by others, if it has to be, and returns the rows that it read.
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

// awaitStronger waits until stronger boxes that start with this one have written their rows. It
// returns false at once if there is a configuration: the fleet runs, and a box that joins it has
// to hear soon what others write.
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

// weak says that this box may be too weak for a hub.
func (d *Daemon) weak() bool { return d.Settings.Box.Share < weakCores }

// rowUnneeded says that this box is no hub whatever happens, in a fleet of many, by the rows
// of the others.
func (d *Daemon) rowUnneeded(rows []table.Row) bool {
	fit, ofDomain := 0, 0
	for _, row := range rows {
		var other memberRow
		if !strings.HasPrefix(row.Key, memberPrefix) || json.Unmarshal(row.Value, &other) != nil {
			continue // ownRead logs those that can't be read.
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

// meetUnlisted notes a box without a row that asks this one.
func (d *Daemon) meetUnlisted(now time.Time, t *tables, m peer.Message) {
	if m.Domain == "" {
		return
	}
	x := t.members[m.From]
	if x == nil {
		x = &member{domain: m.Domain, unlisted: true}
		t.members[m.From] = x
		d.Log.Debug("box without a row met", "name", m.From, "domain", m.Domain)
	}
	x.metAt = now
}

// recountBoxes keeps how many boxes there are, and what of the retries this one may save up.
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

// boxCount is how many boxes share the work: those with a row, and those without that this one
// or other hubs met, or as a hub told. One that changed its hub may count twice for metFor.
func (t *tables) boxCount(now time.Time) int {
	if len(t.members) == 0 {
		return assumedBoxes
	}
	return max(len(t.members)+t.unlistedElsewhere(now), t.hubBoxes)
}

// unlistedElsewhere is how many boxes without a row other hubs met.
func (t *tables) unlistedElsewhere(now time.Time) int {
	sum := 0
	for _, x := range t.members {
		if now.Sub(x.countedAt) < countTTL {
			sum += x.unlistedMet
		}
	}
	return sum
}

// receiveUnlistedCount takes over how many boxes without a row another hub met.
func (t *tables) receiveUnlistedCount(now time.Time, m peer.Message) {
	if x := t.members[m.From]; x != nil && !x.unlisted {
		x.unlistedMet, x.countedAt = m.Unlisted, now
	}
}

// unlistedTotal is how many boxes without a row there are in all, as far as this one knows.
func (t *tables) unlistedTotal(now time.Time) int {
	return max(t.unlistedMet+t.unlistedElsewhere(now), t.hubUnlisted)
}

// hasUnregistered says that boxes without a row share the work, so that nobody knows all names. A box
// that has joined and whose row this one has not read is none of these.
func (t *tables) hasUnregistered(now time.Time) bool { return t.unlistedTotal(now) > 0 }

// sampledBurst is how many retries a box may save up where nobody knows all names: one, if its
// name draws it. Over boxes that draw independently the sum stays below what all may save.
func sampledBurst(name string, boxes int, all float64) float64 {
	const span = 1 << 32
	drawn := float64(placement.Hash("retries/"+name)%span) / span
	if drawn < sampledShare*all/float64(boxes) {
		return 1
	}
	return 0
}
