package thymewind

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/report"
)

func (d *Daemon) showCharges(ctx context.Context, r *report.Report) error {
	sums, err := d.ledger.Sums(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		s := sums[name]
		r.Add(name, s.Requests, s.Prompt, s.Cached, s.Completion)
	}
	return nil
}

// maxManifestsShown bounds the manifests shown for each store box.
const maxManifestsShown = 200

// showManifests lists the manifests of the store boxes, least recently used first.
func (d *Daemon) showManifests(ctx context.Context, r *report.Report) error {
	var stores []boxes.Box
	d.inspect(ctx, func(_ time.Time, t *tables) {
		for _, b := range t.Stores.All() {
			stores = append(stores, b)
		}
	})
	for _, b := range stores {
		all, err := d.stores.Oldest(ctx, b.Address, maxManifestsShown)
		if err != nil {
			r.Missing = append(r.Missing, b.Name)
			continue
		}
		for _, m := range all {
			r.Add(b.Name, m.Key[:min(len(m.Key), 16)], m.Depth, m.Piece.Tokens, m.Piece.Bytes, m.Hits, m.Used.Format(time.RFC3339))
		}
	}
	return nil
}

// showLimits lists the accounts with limits and this box's shares of these.
func (d *Daemon) showLimits(ctx context.Context, r *report.Report) error {
	d.inspect(ctx, func(now time.Time, t *tables) {
		for _, name := range slices.Sorted(maps.Keys(t.Configuration.Accounts)) {
			a := t.Configuration.Accounts[name]
			if a.Concurrency == 0 && a.TokensPerMinute == 0 {
				continue
			}
			here := 0
			if a.Concurrency > 0 {
				here = t.limitShare(now, name, a.Concurrency)
			}
			r.Add(name, a.Concurrency, here, t.Gate.AccountInFlight(name), a.TokensPerMinute)
		}
	})
	return nil
}

// rowsUnder shows the table service's rows under a prefix.
func rowsUnder(prefix string) func(*Daemon, context.Context, *report.Report) error {
	return func(d *Daemon, ctx context.Context, r *report.Report) error {
		rows, err := d.table.ListAll(ctx, prefix)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, row := range rows {
			r.Add(strings.TrimPrefix(row.Key, prefix), string(row.Value))
		}
		return nil
	}
}

func (d *Daemon) showAudit(ctx context.Context, r *report.Report) error {
	var after uint64
	for {
		changes, err := d.rows.Since(ctx, after)
		if err != nil || len(changes) == 0 {
			return trace.Wrap(err)
		}
		for _, c := range changes {
			r.Add(c.Revision, c.At.Format(time.RFC3339), c.Actor, c.ID, entriesText(c.Entries))
			after = c.Revision
		}
	}
}

func (d *Daemon) showRefusals(ctx context.Context, r *report.Report) error {
	changes, err := d.rows.Refusals(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, c := range changes {
		r.Add(c.ID, c.At.Format(time.RFC3339), c.Actor, c.Refused, entriesText(c.Entries))
	}
	return nil
}
