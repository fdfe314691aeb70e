package entry

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/origin"
	"github.com/thymewind/thymewind/peer"
)

// A stream goes on only at targets of the software version that began it (package origin). The box
// that a caller asked records that version before it passes the first event on, and tells two other
// boxes, in different failure domains if there are any. The box at which the caller takes the stream
// up asks them. If none knows, a pool of which the table service has one version alone (package
// versionset) tells as much; otherwise the request is refused. docs/design/stream-origins.md
// compares the alternatives.
//
// This file records and tells; originkeepers.go chooses the boxes, originlookup.go asks them, and
// samesoftware.go binds requests to versions.

const (
	// originTTL is how long a stream can be taken up of a caller who sets no deadline,
	// maxOriginTTL the same of any caller.
	originTTL    = time.Minute
	maxOriginTTL = 5 * time.Minute
	// maxOriginsTold bounds the origins in one message.
	maxOriginsTold = 512
)

// streamContinued reports, before the first event of a stream is passed on, what began it.
type streamContinued struct {
	job      *deliver.Job
	software string
}

// tellOrigins tells a box of origins.
type tellOrigins struct {
	box     string
	address netip.AddrPort
	origins []peer.Origin
}

// originsTold is the result.
type originsTold struct {
	tellOrigins
	err error
}

// originOutbox is what a box is yet to be told.
type originOutbox struct {
	origins []peer.Origin
	// telling says that a call is under way.
	telling bool
}

// streamKey identifies the stream that a job begins or takes up, and reports whether the caller names
// the latter.
func streamKey(job *deliver.Job) (key origin.Key, named bool) {
	id := job.ID
	if job.TakesUp() {
		id = job.BegunBy
	}
	return origin.KeyOf(accountName(job), id), id != ""
}

// recordOrigin records what began a stream and has other boxes told.
func (d *Daemon) recordOrigin(now time.Time, t *tables, m streamContinued) []effect {
	key, named := streamKey(m.job)
	if !named {
		return nil
	}
	left := originTTL
	if m.job.Call.Timeout > 0 {
		left = min(m.job.Call.Timeout, maxOriginTTL)
	}
	r := origin.Record{Pool: poolHash(m.job.Pool), Software: m.software, KnownSince: now, Until: m.job.Received.Add(left)}
	if before, known := t.origins.Find(now, key); known && !before.Conflicting {
		r.KnownSince = before.KnownSince
	}
	if !t.origins.Add(now, key, r) && !m.job.TakesUp() {
		return nil
	}
	return d.tellKeepers(now, t, key, r, nil)
}

// tellKeepers tells the boxes that are to keep an origin, except some.
func (d *Daemon) tellKeepers(now time.Time, t *tables, key origin.Key, r origin.Record, except []string) []effect {
	if !d.tellsOrigins {
		return nil
	}
	keepers := t.originKeepers(now, key, except)
	if len(keepers) == 0 || d.credential.Load() == nil {
		t.originsUntold = true
		return nil
	}
	var effects []effect
	for _, box := range keepers {
		o := t.outbox(box)
		o.origins = append(o.origins, originOf(now, key, r))
		effects = append(effects, t.tell(box, o)...)
	}
	return effects
}

func (t *tables) outbox(box string) *originOutbox {
	o := t.originsToTell[box]
	if o == nil {
		o = &originOutbox{}
		t.originsToTell[box] = o
	}
	return o
}

// tell sends a box what it is to be told, one call at a time: what comes meanwhile goes together.
func (t *tables) tell(box string, o *originOutbox) []effect {
	m := t.members[box]
	if o.telling || len(o.origins) == 0 || m == nil {
		return nil
	}
	n := min(len(o.origins), maxOriginsTold)
	list := o.origins[:n:n]
	o.origins, o.telling = o.origins[n:], true
	return []effect{tellOrigins{box, m.address, list}}
}

func (d *Daemon) tellOrigins(ctx context.Context, e tellOrigins) originsTold {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	answer, err := d.peers.Call(ctx, e.address, peer.Message{Kind: peer.KindPlace, From: d.Settings.Name, Origins: e.origins})
	return originsTold{e, cmp.Or(err, answerError(answer))}
}

// originsTold has other boxes told in place of one that did not answer.
func (d *Daemon) originsTold(now time.Time, t *tables, m originsTold) []effect {
	o := t.outbox(m.box)
	o.telling = false
	if m.err == nil {
		return t.tell(m.box, o)
	}
	d.Log.Debug("a box was not told what began streams", "name", m.box, "streams", len(m.origins)+len(o.origins), "err", m.err)
	if x := t.members[m.box]; x != nil {
		x.originsRetryAt = now.Add(gossipRetryDelay)
	}
	untold := slices.Concat(m.origins, o.origins)
	delete(t.originsToTell, m.box)
	var effects []effect
	for _, x := range untold {
		key, r := recordOf(now, x)
		effects = append(effects, d.tellKeepers(now, t, key, r, []string{m.box})...)
	}
	return effects
}

// retellOrigins has other boxes told of all origins that this box keeps: as it stops, once boxes have
// come, and if there was none to tell before.
func (d *Daemon) retellOrigins(now time.Time, t *tables) []effect {
	if stops := d.stopping.Load(); stops && !t.originsHandedOver {
		t.originsHandedOver, t.originsUntold = true, true
	}
	if !t.originsUntold || d.credential.Load() == nil || len(t.originKeepers(now, 0, nil)) == 0 {
		return nil
	}
	t.originsUntold = false
	var effects []effect
	for key, r := range t.origins.Live(now) {
		effects = append(effects, d.tellKeepers(now, t, key, r, nil)...)
	}
	return effects
}

// originOf is a record as boxes exchange it, recordOf the inverse.
func originOf(now time.Time, key origin.Key, r origin.Record) peer.Origin {
	return peer.Origin{
		Key: uint64(key), Pool: r.Pool, Software: r.Software, Conflicting: r.Conflicting,
		AgeMS: now.Sub(r.KnownSince).Milliseconds(), LeftMS: r.Until.Sub(now).Milliseconds(),
	}
}

func recordOf(now time.Time, x peer.Origin) (origin.Key, origin.Record) {
	left := min(time.Duration(x.LeftMS)*time.Millisecond, maxOriginTTL)
	return origin.Key(x.Key), origin.Record{
		Pool: x.Pool, Software: x.Software, Conflicting: x.Conflicting,
		KnownSince: now.Add(-time.Duration(x.AgeMS) * time.Millisecond), Until: now.Add(left),
	}
}

// answerOrigins takes in what another box tells and returns what it asks for.
func (d *Daemon) answerOrigins(now time.Time, t *tables, m peer.Message) []peer.Origin {
	for _, x := range m.Origins {
		key, r := recordOf(now, x)
		t.origins.Add(now, key, r)
	}
	var known []peer.Origin
	for _, key := range m.OriginKeys[:min(len(m.OriginKeys), maxOriginsTold)] {
		if r, ok := t.origins.Find(now, origin.Key(key)); ok {
			known = append(known, originOf(now, origin.Key(key), r))
		}
	}
	return known
}

// expireOrigins drops the origins that nobody needs any more.
func (d *Daemon) expireOrigins(now time.Time, t *tables) []effect {
	t.origins.Expire(now)
	d.metrics.origins.Set(float64(t.origins.Len()))
	if n := t.origins.Dropped - t.originsDropped; n > 0 {
		t.originsDropped = t.origins.Dropped
		d.metrics.originsDropped.Add(float64(n))
	}
	return nil
}
