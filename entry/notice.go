package entry

import (
	"context"
	"errors"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
)

// What targets say of themselves, for counters.
const (
	saidLeaving = "leaving"
	saidBackoff = "backoff"
)

// send sends a request to the target placed, and notes what its answer says of it.
func (d *Daemon) send(ctx context.Context, s deliver.Sending) (*deliver.Reply, error) {
	life := fleet.Life{ID: s.Place.Target, Born: s.Place.Born}
	d.noteAgainst(life, s)
	reply, err := d.Platform.Send(ctx, s)
	if err == nil {
		d.heed(life, reply.Said, "request "+s.Job.ID)
	}
	return reply, err
}

// heed notes what an answer says of its target.
func (d *Daemon) heed(life fleet.Life, said notice.Said, from string) {
	news := d.notices.Hear(d.now(), life, said)
	if news.Leaving {
		d.counts.said.WithLabelValues(saidLeaving).Inc()
		d.Log.Info("target says that it leaves", "target", life.ID, "born", life.Born, "told_by", from)
	}
	if news.Backoff > 0 {
		d.counts.said.WithLabelValues(saidBackoff).Inc()
		d.Log.Info("target wants no requests", "target", life.ID, "born", life.Born, "for", news.Backoff, "told_by", from)
	}
}

// noteAgainst tells of a request that goes to a target against its word.
func (d *Daemon) noteAgainst(life fleet.Life, s deliver.Sending) {
	err := d.notices.Allow(d.now(), life)
	if err == nil {
		return
	}
	word := saidBackoff
	if errors.Is(err, notice.ErrLeaving) {
		word = saidLeaving
	}
	d.counts.against.WithLabelValues(word).Inc()
	d.Log.Warn("request goes to a target against its word", "request", s.Job.ID, "target", life.ID, "said", word, "placed_ago", d.now().Sub(s.Place.At), "rule", s.Place.Rule)
}
