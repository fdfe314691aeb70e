package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/routing"
)

// A box gets the operator's rows from another one with a call of their own kind. The answer is a view
// without targets, the revision up to which the other box has read, and its configuration if that is
// later. It is applied like a hub's view, and proves what this box has if both have read since the
// same restore of the table service.

// catchUpTimeout bounds a call for the operator's rows, with a whole configuration over a link of
// 10 Mbit/s. catchUpPause is the pause after a call that did not help.
const (
	catchUpTimeout = time.Second
	catchUpPause   = 300 * time.Millisecond
)

// readFromBox reads from another box what it knows of the operator's rows.
type readFromBox struct {
	box         string
	address     netip.AddrPort
	requestedAt time.Time
	// version is the configuration that this box has.
	version int64
}

// operatorFromBox is the result of readFromBox.
type operatorFromBox struct {
	box         string
	requestedAt time.Time
	answer      peer.Message
	// table is the later configuration; nil if the box has none.
	table *routing.Table
	err   error
}

func (d *Daemon) readFromBox(ctx context.Context, e readFromBox) operatorFromBox {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	m := operatorFromBox{box: e.box, requestedAt: e.requestedAt}
	m.answer, m.err = d.peers.Call(ctx, e.address, peer.Message{Kind: peer.KindOperator, From: d.Settings.Name, ConfigurationVersion: e.version})
	if m.err == nil && len(m.answer.Body) > 0 {
		m.table, m.err = d.Platform.Decode(m.answer.Body)
	}
	return m
}

// answerOperator answers another box's call for the operator's rows.
func (d *Daemon) answerOperator(now time.Time, t *tables, m peer.Message, answer *peer.Message) {
	d.addProof(now, t, answer)
	answer.View = d.operatorView(now, t)
	if raw := d.rawConfiguration.Load(); raw != nil && d.version() > m.ConfigurationVersion {
		answer.Body = *raw
	}
}

// answerProves reports whether another box's proof is one of what this box has with the answer: both
// have read since the same restore of the table service, neither waits for what that lost, and the
// configuration came with it. A box that names no revision has not read the rows itself, or is of a
// release that does not know the call.
func (d *Daemon) answerProves(t *tables, m operatorFromBox) bool {
	read, has := m.answer.OperatorRevision, d.version()
	if m.table != nil {
		has = max(has, m.table.Version)
	}
	return !read.IsZero() && read.SameRestores(t.operatorKnown) && !m.answer.RewritePending && t.olderSince.IsZero() && has >= m.answer.View.ConfigurationVersion
}

// operatorFromBox applies what another box knows of the operator's rows.
func (d *Daemon) operatorFromBox(now time.Time, t *tables, m operatorFromBox) []effect {
	t.behind.reading, t.behind.retryAt = false, now.Add(catchUpPause)
	v := m.answer.View
	if m.err != nil || v == nil || v.WeightVersions == nil {
		d.Log.Warn("another box did not send the operator's rows", "told_by", m.box, "err", m.err)
		return nil
	}
	proof := proofTime(m.requestedAt, v.ProofAgeMS)
	d.applyHubVersions(now, t, m.box, m.requestedAt, v)
	d.applyBoxEvacuations(now, t, m, proof)
	d.applyHubCanaries(now, t, m.box, v.Canaries)
	proves := d.answerProves(t, m) && !proof.IsZero()
	change, before := Operator{Table: m.table, Raw: m.answer.Body}, d.version()
	newer := d.putInForce(operatorRead{proof, change}, proves)
	if proves {
		t.operatorChange = revision.Max(t.operatorChange, m.answer.OperatorRevision)
		t.operatorKnown = revision.Max(t.operatorKnown, m.answer.OperatorRevision)
		t.lastTableClock = 0 // The clock of this box's own last read is not that of this proof.
		d.metrics.proofs.WithLabelValues("another").Inc()
		d.noteProof(proof)
		if !d.proofLate(now, t) {
			t.behind.retryAt = now
		}
	}
	if !newer {
		d.noteBehind(now, t, m.requestedAt, m.answer)
		return nil
	}
	if !proves && t.rewriteGrace.Covers(now) && t.olderSince.IsZero() {
		t.olderSince = now // The rows that this box reads lack it until the operator writes again.
	}
	since := m.requestedAt.Add(-time.Duration(m.answer.ConfigurationAgeMS) * time.Millisecond)
	d.Log.Info("configuration of another box in force", "version", d.version(), "before", before, "told_by", m.box, "exists_for", now.Sub(since), "proved_ago", now.Sub(proof), "proved", proves)
	return d.configurationChanged(now, t, change, since)
}
