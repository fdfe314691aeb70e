package thymewind

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/query"
	"github.com/thymewind/thymewind/report"
)

// listing fills a report with the rows of one kind of thing.
type listing struct {
	thing   string
	columns []string
	fill    func(d *Daemon, ctx context.Context, r *report.Report) error
}

// listings are the kinds of things that can be shown.
var listings = []listing{
	{"boxes", []string{"box", "domain", "revision", "stopping", "requests", "peers"}, (*Daemon).showBoxes},
	{"domains", []string{"domain", "targets", "usable", "load"}, (*Daemon).showDomains},
	{"targets", []string{"target", "pool", "domain", "address", "version", "usable", "leaving", "load", "slots", "in_flight", "failures", "report_age"}, (*Daemon).showTargets},
	{"pools", []string{"pool", "kind", "weights", "concurrency", "stores", "targets", "usable"}, (*Daemon).showPools},
	{"models", []string{"model", "pool"}, (*Daemon).showModels},
	{"accounts", []string{"account", "weight", "concurrency", "tokens_per_minute", "keys", "in_flight"}, (*Daemon).showAccounts},
	{"stores", []string{"store", "domain", "address"}, (*Daemon).showStores},
	{"kept", []string{"store", "key", "depth", "tokens", "bytes", "hits", "used"}, (*Daemon).showManifests},
	{"limits", []string{"account", "concurrency", "here", "in_flight", "tokens_per_minute"}, (*Daemon).showLimits},
	{"leases", []string{"lease", "value"}, rowsUnder("lease/")},
	{"claims", []string{"claim", "value"}, rowsUnder("claim/")},
	{"charges", []string{"account", "requests", "prompt", "cached", "completion"}, (*Daemon).showCharges},
	{"audit", []string{"revision", "at", "actor", "change", "what"}, (*Daemon).showAudit},
	{"refusals", []string{"change", "at", "actor", "why", "what"}, (*Daemon).showRefusals},
	{"decisions", []string{"at", "box", "kind", "request", "account", "pool", "rule", "inputs", "candidates", "result"}, (*Daemon).showDecisions},
}

// show serves a show statement.
func (d *Daemon) show(ctx context.Context, s query.Show) report.Report {
	at := slices.IndexFunc(listings, func(x listing) bool { return x.thing == s.Thing })
	if at < 0 {
		return report.FromError(unknownThing(s.Thing))
	}
	r := report.Report{Columns: listings[at].columns}
	if err := listings[at].fill(d, ctx, &r); err != nil {
		return report.FromError(err)
	}
	for _, c := range s.Where {
		if err := r.Filter(c.Column, c.Sign, c.Value); err != nil {
			return report.FromError(err)
		}
	}
	r.Last(s.Last)
	return r
}

func unknownThing(thing string) error {
	names := make([]string, len(listings))
	for i, s := range listings {
		names[i] = s.thing
	}
	if near := query.Nearest(thing, names); near != "" {
		return trace.NotFound("there are no %q; did you mean %q?", thing, near)
	}
	return trace.NotFound("there are no %q; there are %s", thing, strings.Join(names, ", "))
}

func (d *Daemon) showBoxes(ctx context.Context, r *report.Report) error {
	d.inspect(ctx, func(_ time.Time, t *tables) {
		requests := 0
		for _, n := range t.Gate.InFlightByAccount() {
			requests += n
		}
		r.Add(d.Settings.Name, d.Settings.Domain, t.Configuration.Revision, d.stopping.Load(), requests, t.peers.Len())
	})
	return nil
}

func (d *Daemon) showDomains(ctx context.Context, r *report.Report) error {
	type sums struct{ targets, usable, load int }
	domains := make(map[string]sums)
	d.inspect(ctx, func(now time.Time, t *tables) {
		for _, x := range t.Targets.All() {
			s := domains[x.Domain]
			s.targets++
			s.load += x.Load()
			if x.Usable(now) {
				s.usable++
			}
			domains[x.Domain] = s
		}
	})
	for name, s := range domains {
		r.Add(name, s.targets, s.usable, s.load)
	}
	return nil
}

func (d *Daemon) showTargets(ctx context.Context, r *report.Report) error {
	d.inspect(ctx, func(now time.Time, t *tables) {
		for _, x := range t.Targets.All() {
			age := "never"
			if !x.ReportedAt.IsZero() {
				age = now.Sub(x.ReportedAt).Round(time.Millisecond).String()
			}
			r.Add(x.Name, x.Pool, x.Domain, x.Address, x.Version, x.Usable(now), x.Leaving, x.Load(), x.Slots, x.InFlight, x.Failures, age)
		}
	})
	return nil
}

func (d *Daemon) showPools(ctx context.Context, r *report.Report) error {
	d.inspect(ctx, func(now time.Time, t *tables) {
		for name, p := range t.Configuration.Pools {
			usable := 0
			for _, x := range t.Pools[name] {
				if x.Usable(now) {
					usable++
				}
			}
			r.Add(name, p.Kind, p.Weights, p.Concurrency, p.Stores, len(t.Pools[name]), usable)
		}
	})
	return nil
}

func (d *Daemon) showModels(ctx context.Context, r *report.Report) error {
	d.inspect(ctx, func(_ time.Time, t *tables) {
		for name, m := range t.Configuration.Models {
			r.Add(name, m.Pool)
		}
	})
	return nil
}

func (d *Daemon) showAccounts(ctx context.Context, r *report.Report) error {
	d.inspect(ctx, func(_ time.Time, t *tables) {
		inFlight := t.Gate.InFlightByAccount()
		for name, a := range t.Configuration.Accounts {
			r.Add(name, a.Weight, a.Concurrency, a.TokensPerMinute, len(a.KeyHashes), inFlight[name])
		}
	})
	return nil
}

func (d *Daemon) showStores(ctx context.Context, r *report.Report) error {
	d.inspect(ctx, func(_ time.Time, t *tables) {
		for name, b := range t.Stores.All() {
			r.Add(name, b.Domain, b.Address)
		}
	})
	return nil
}

func entriesText(entries []configuration.Entry) string {
	parts := make([]string, len(entries))
	for i, e := range entries {
		parts[i] = e.Kind + " " + e.Name + ": " + orNone(e.Before) + " -> " + orNone(e.After)
	}
	return strings.Join(parts, "; ")
}

func orNone(value json.RawMessage) string {
	if value == nil {
		return "none"
	}
	return string(value)
}

func (d *Daemon) showDecisions(_ context.Context, r *report.Report) error {
	for _, record := range d.records.Last(d.records.Size) {
		addRecord(r, record)
	}
	return nil
}

// why returns this box's decision records of one request.
func (d *Daemon) why(request string) report.Report {
	r := report.Report{Columns: []string{"at", "box", "kind", "request", "account", "pool", "rule", "inputs", "candidates", "result"}}
	for _, record := range d.records.ForRequest(request) {
		addRecord(&r, record)
	}
	return r
}

func addRecord(r *report.Report, record decision.Record) {
	candidates := make([]string, len(record.Candidates))
	for i, c := range record.Candidates {
		candidates[i] = c.Name + " " + strconv.FormatFloat(c.Score, 'g', 4, 64) + " (" + c.Note + ")"
	}
	r.Add(record.At.Format(time.RFC3339Nano), record.Box, record.Kind, record.Request, record.Account, record.Pool,
		record.Rule, record.Inputs, strings.Join(candidates, ", "), record.Result)
}

// who shows the row of a lease, which names its holder.
func (d *Daemon) who(ctx context.Context, lease string) report.Report {
	row, err := d.table.Read(ctx, "lease/"+lease)
	if err != nil {
		return report.FromError(err)
	}
	r := report.Report{Columns: []string{"lease", "value"}}
	r.Add(lease, string(row.Value))
	return r
}
