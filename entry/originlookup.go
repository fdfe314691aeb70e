package entry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/origin"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/table"
)

// This file finds out which software version began the stream that a request continues: from what this
// box keeps, from other boxes, or from the table service. The request waits meanwhile.

const (
	// originTimeout bounds a call that asks for an origin, soleTimeout a read of the table service
	// that stands in for one. The caller waits for both.
	originTimeout = 100 * time.Millisecond
	soleTimeout   = 200 * time.Millisecond
)

// Codes of refusals to continue a stream. In both cases the request has not run.
const (
	// codeOriginUnknown: no box that could be asked knows which software version began it.
	codeOriginUnknown = "origin_unknown"
	// codeOriginGone: no target of that version is left.
	codeOriginGone = "origin_gone"
)

// Where an origin was known from, for logs and metrics.
const (
	originHere       = "here"
	originBox        = "box"
	originSole       = "sole_version"
	originNowhere    = "unknown"
	originOtherPool  = "other_pool"
	originConflicted = "conflict"
)

// askOrigin asks boxes for the origin of the stream that a request continues.
type askOrigin struct {
	request placementRequest
	key     origin.Key
	boxes   map[string]netip.AddrPort
}

// originAnswer is what one box answered; known is nil if it knows nothing.
type originAnswer struct {
	box   string
	known *peer.Origin
	err   error
}

// originAnswered is what the boxes answered.
type originAnswered struct {
	askOrigin
	answers []originAnswer
}

// readSole reads which versions of a pool may have begun streams.
type readSole struct{ pool string }

// soleRead is the row, for the requests that came before the read began.
type soleRead struct {
	pool string
	row  table.Row
	err  error
}

// soleReads are the requests that wait for a read of a pool's row: for the one that is under way, and
// those that came after it began, for which its answer may be too old.
type soleReads struct {
	current, next []placementRequest
}

// findOrigin finds out which software version began the stream that a request continues. It reports
// whether the request waits for that, or was refused; otherwise the version is set.
func (d *Daemon) findOrigin(now time.Time, t *tables, m *placementRequest) ([]effect, bool) {
	if !d.bindsSoftware || !m.ask.Continues || m.ask.Software != nil {
		return nil, false
	}
	key, named := streamKey(m.ask.Job)
	named = named && m.ask.Job.TakesUp() // Of its own answer, this box would know the version.
	if r, known := t.origins.Find(now, key); known && named {
		return nil, !d.bindTo(now, t, m, r, originHere, t.self)
	}
	if boxes := t.originsKnownAt(key); named && d.tellsOrigins && len(boxes) > 0 {
		return []effect{askOrigin{*m, key, boxes}}, true
	}
	return d.findSole(t, *m), true
}

// bindTo binds a request to the software version that began its stream, or refuses it. It reports
// whether it bound it.
func (d *Daemon) bindTo(now time.Time, t *tables, m *placementRequest, r origin.Record, from, box string) bool {
	switch {
	case r.Conflicting:
		d.refuseOrigin(now, t, *m, codeOriginUnknown, originConflicted, "two streams were begun under the ID that the caller names")
		return false
	case r.Pool != poolHash(m.ask.Job.Pool):
		d.refuseOrigin(now, t, *m, codeOriginGone, originOtherPool, "another pool than "+m.ask.Job.Pool.Name+" began the stream")
		return false
	}
	m.ask.Software = &r.Software
	d.metrics.originLookups.WithLabelValues(m.ask.Job.Pool.Name, from).Inc()
	d.Log.Info("stream taken up", "request", m.ask.Job.ID, "begun_by", m.ask.Job.BegunBy, "behind", m.ask.Job.LastEventID, "pool", m.ask.Job.Pool.Name, "began_on", r.Software, "known_from", from, "told_by", box, "known_for", now.Sub(r.KnownSince))
	return true
}

// refuseOrigin refuses a request that can't continue its stream.
func (d *Daemon) refuseOrigin(now time.Time, t *tables, m placementRequest, code, from, reason string) {
	job := m.ask.Job
	d.metrics.originLookups.WithLabelValues(job.Pool.Name, from).Inc()
	d.Log.Info("stream not taken up", "request", job.ID, "begun_by", job.BegunBy, "behind", job.LastEventID, "pool", job.Pool.Name, "known_from", from, "reason", reason)
	refused := refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, code, "%s", reason)
	t.answer(now, m, placementAnswer{err: refused.WithRetryAfter(d.retryAfter(code, job))})
}

// askOrigin asks boxes at once, until one of them knows.
func (d *Daemon) askOrigin(ctx context.Context, e askOrigin) originAnswered {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	defer context.AfterFunc(e.request.ctx, cancel)()
	answers := make(chan originAnswer, len(e.boxes))
	for box, at := range e.boxes {
		go func() {
			answer, err := d.peers.Call(ctx, at, peer.Message{Kind: peer.KindPlace, From: d.Settings.Name, OriginKeys: []uint64{uint64(e.key)}})
			a := originAnswer{box: box, err: cmp.Or(err, answerError(answer))}
			if len(answer.Origins) > 0 {
				a.known = &answer.Origins[0]
			}
			answers <- a
		}()
	}
	result := originAnswered{askOrigin: e}
	for range e.boxes {
		a := <-answers // Each call ends with ctx.
		result.answers = append(result.answers, a)
		if a.known != nil {
			break
		}
	}
	return result
}

// answerError is the error that another box answered with, or nil.
func answerError(m peer.Message) error {
	if m.Error == "" {
		return nil
	}
	return errors.New(m.Error)
}

// originAnswered goes on with a request whose origin other boxes were asked for.
func (d *Daemon) originAnswered(now time.Time, t *tables, m originAnswered) []effect {
	request := m.request
	for _, a := range m.answers {
		if a.known == nil {
			continue
		}
		key, r := recordOf(now, *a.known)
		t.origins.Add(now, key, r)
		if !d.bindTo(now, t, &request, r, originBox, a.box) {
			return nil
		}
		return d.placementRequested(now, t, request)
	}
	unanswered := 0
	for _, a := range m.answers {
		if a.err != nil {
			unanswered++
		}
	}
	d.Log.Info("no box knows what began a stream", "request", request.ask.Job.ID, "begun_by", request.ask.Job.BegunBy, "asked", len(m.boxes), "unanswered", unanswered)
	return d.findSole(t, request)
}

// findSole has the table service read for whether a pool has had one version alone. A read that has
// begun already may be older than the stream.
func (d *Daemon) findSole(t *tables, m placementRequest) []effect {
	pool := m.ask.Job.Pool.Name
	if t.tableServiceDown {
		d.refuseOrigin(d.now(), t, m, codeOriginUnknown, originNowhere, "no box knows what began the stream, and the table service is away")
		return nil
	}
	reads := t.soleReads[pool]
	if reads == nil {
		t.soleReads[pool] = &soleReads{current: []placementRequest{m}}
		return []effect{readSole{pool}}
	}
	reads.next = append(reads.next, m)
	return nil
}

func (d *Daemon) readSole(ctx context.Context, e readSole) soleRead {
	ctx, cancel := context.WithTimeout(ctx, soleTimeout)
	defer cancel()
	row, err := d.Platform.Read(ctx, softwarePrefix+e.pool)
	if trace.IsNotFound(err) {
		err = nil
	}
	return soleRead{e.pool, row, err}
}

// soleRead goes on with the requests that waited for a pool's row.
func (d *Daemon) soleRead(now time.Time, t *tables, m soleRead) []effect {
	reads := t.soleReads[m.pool]
	version, reason := d.soleVersion(now, t, m)
	var effects []effect
	for _, request := range reads.current {
		if reason != "" || !inOnePool(request.ask.Job) {
			d.refuseOrigin(now, t, request, codeOriginUnknown, originNowhere, "no box knows what began the stream; "+cmp.Or(reason, "several pools serve its route"))
			continue
		}
		if d.bindTo(now, t, &request, origin.Record{Pool: poolHash(request.ask.Job.Pool), Software: version, KnownSince: now}, originSole, "table service") {
			effects = append(effects, d.placementRequested(now, t, request)...)
		}
	}
	if delete(t.soleReads, m.pool); len(reads.next) > 0 {
		t.soleReads[m.pool] = &soleReads{current: reads.next}
		effects = append(effects, readSole{m.pool})
	}
	return effects
}

// inOnePool reports whether a route leads to one pool alone.
func inOnePool(job *deliver.Job) bool { return len(job.Route.Shares) <= 1 }

// soleVersion returns the only version that may have begun streams of a pool, or why there is none.
func (d *Daemon) soleVersion(now time.Time, t *tables, m soleRead) (version, reason string) {
	if m.err != nil {
		return "", "the table service did not tell its pool's versions: " + m.err.Error()
	}
	t.noteRestoredAt(now, m.row.Restores)
	if !t.restoredAt.IsZero() && now.Sub(t.restoredAt) < maxOriginTTL {
		return "", "a restore of the table service may have lost versions of its pool"
	}
	set, err := decodeVersions(m.row.Value)
	if err != nil {
		return "", "its pool's row can't be decoded: " + err.Error()
	}
	version, sole := set.Sole()
	if !sole {
		return "", "its pool has several software versions, or none"
	}
	return version, ""
}

// noteRestoredAt records when this box learned of the last restore of the table service.
func (t *tables) noteRestoredAt(now time.Time, restores uint64) {
	if restores > t.restores {
		t.restores, t.restoredAt = restores, now
	}
}
