package thymewind

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/model"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/query"
	"github.com/thymewind/thymewind/report"
)

// keyField adds an API key to an account; only its hash is kept.
const keyField = "add_key"

// changes serves a change that a client made up by itself.
func (d *Daemon) changes(ctx context.Context, name string, body []byte) report.Report {
	var in struct {
		Entries    []configuration.Entry `json:"entries"`
		IfRevision *uint64               `json:"if_revision"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return report.Refused(trace.BadParameter("the body is not the JSON of a change: %v", err))
	}
	return d.submit(ctx, name, in.Entries, in.IfRevision)
}

// edit serves the statements that change the configuration.
func (d *Daemon) edit(ctx context.Context, name string, s query.Statement) report.Report {
	var entry configuration.Entry
	var revision uint64
	var err error
	current := d.currentOrEmpty()
	switch {
	case s.Create != nil:
		entry, err = edited(current, *s.Create, false)
		revision = s.Create.IfRevision
	case s.Change != nil:
		entry, err = edited(current, *s.Change, true)
		revision = s.Change.IfRevision
	case s.Remove != nil:
		entry = configuration.Entry{Kind: s.Remove.Kind, Name: s.Remove.Name}
		revision = s.Remove.IfRevision
	case s.Roll != nil:
		var p query.Statement
		if p, err = query.Parse("change pool " + quote(s.Roll.Pool) + " set weights = " + quote(s.Roll.Version)); err == nil {
			entry, err = edited(current, *p.Change, true)
		}
		revision = s.Roll.IfRevision
	}
	if err != nil {
		return report.Refused(err)
	}
	var expect *uint64
	if revision > 0 {
		expect = &revision
	}
	return d.submit(ctx, name, []configuration.Entry{entry}, expect)
}

func quote(text string) string {
	data, err := json.Marshal(text)
	if err != nil {
		return `""`
	}
	return string(data)
}

func (d *Daemon) currentOrEmpty() *configuration.Configuration {
	if c := d.current.Load(); c != nil {
		return c
	}
	return &configuration.Configuration{}
}

// submit makes a change, tells the outcome and records it, refused or not.
func (d *Daemon) submit(ctx context.Context, name string, entries []configuration.Entry, expect *uint64) report.Report {
	change := configuration.Change{ID: newID(), Actor: name, At: d.now().UTC(), Entries: entries}
	next, err := d.trySubmit(ctx, change, expect)
	record := decision.Record{At: d.now(), Kind: decision.Changed, Rule: "head unchanged", Inputs: entriesText(entries)}
	if err != nil {
		record.Rule, record.Result = "refused", trace.Unwrap(err).Error()
		d.records.Add(record)
		if !errors.Is(err, configuration.ErrUnknown) {
			// The audit trail of refusals is kept if the table service can.
			_ = d.rows.Refuse(ctx, change, record.Result)
		}
		answer := report.Refused(err)
		answer.Change = change.ID
		return answer
	}
	record.Result = "accepted by " + name
	d.records.Add(record)
	_ = d.send(ctx, configurationRead{configuration: next, from: "operator " + name})
	return report.Report{Revision: next.Revision, Change: change.ID}
}

func (d *Daemon) trySubmit(ctx context.Context, change configuration.Change, expect *uint64) (*configuration.Configuration, error) {
	current, err := d.newer(ctx, d.currentOrEmpty())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if current == nil {
		current = d.currentOrEmpty()
	}
	if expect != nil && *expect != current.Revision {
		return nil, trace.CompareFailed("the change is for revision %d, %d is in force", *expect, current.Revision)
	}
	return d.rows.Submit(ctx, current, change)
}

// edited returns the entity with the assignments made. An entity to change
// must exist, one to create must not.
func edited(c *configuration.Configuration, e query.Edit, exists bool) (configuration.Entry, error) {
	entry := configuration.Entry{Kind: e.Kind, Name: e.Name}
	var err error
	e.Set = append(e.Set, previousWeights(c, e)...)
	switch e.Kind {
	case configuration.KindAccount:
		entry.After, err = assign(c.Accounts, e, exists, account.Account{Name: e.Name, Weight: 1})
	case configuration.KindPool:
		entry.After, err = assign(c.Pools, e, exists, pool.Pool{Name: e.Name, Concurrency: 1})
	case configuration.KindModel:
		entry.After, err = assign(c.Models, e, exists, model.Model{Name: e.Name})
	}
	return entry, trace.Wrap(err)
}

// previousWeights lets targets that are not rolled over yet go on serving the
// version that a changed pool had before.
func previousWeights(c *configuration.Configuration, e query.Edit) []query.Assignment {
	before := c.Pools[e.Name].Weights
	for _, a := range e.Set {
		if e.Kind == configuration.KindPool && a.Field == "weights" && before != "" && a.JSON() != quote(before) {
			return []query.Assignment{{Field: "previous", List: nil, Value: &query.Literal{Text: &before}}}
		}
	}
	return nil
}

func assign[V any](all map[string]V, e query.Edit, exists bool, fresh V) (json.RawMessage, error) {
	v, known := all[e.Name]
	switch {
	case known && !exists:
		return nil, trace.AlreadyExists("%s %q exists already", e.Kind, e.Name)
	case !known && exists:
		return nil, trace.NotFound("there is no %s %q", e.Kind, e.Name)
	case !known:
		v = fresh
	}
	for _, a := range e.Set {
		if err := set(&v, a.Field, a.JSON()); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return json.Marshal(v)
}

// set gives one field, named as in JSON, a value; a dot leads into a struct.
func set(entity any, field, value string) error {
	if a, ok := entity.(*account.Account); ok && field == keyField {
		var key string
		if err := json.Unmarshal([]byte(value), &key); err != nil {
			return trace.BadParameter("%s must be text", keyField)
		}
		a.KeyHashes = append(a.KeyHashes[:len(a.KeyHashes):len(a.KeyHashes)], account.HashKey(key))
		return nil
	}
	body := value
	names := bytes.Split([]byte(field), []byte{'.'})
	for i := len(names) - 1; i >= 0; i-- {
		body = "{" + quote(string(names[i])) + ":" + body + "}"
	}
	decoder := json.NewDecoder(bytes.NewReader([]byte(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(entity); err != nil {
		return trace.BadParameter("field %s: %v", field, err)
	}
	return nil
}

// leave stops new work to a target, or lets it have some again, by a change of
// its pool.
func (d *Daemon) leave(ctx context.Context, name, target string, leaves bool) report.Report {
	pool := ""
	d.inspect(ctx, func(_ time.Time, t *tables) {
		if x, known := t.Targets.Lookup(target); known {
			pool = x.Pool
		}
	})
	p, known := d.currentOrEmpty().Pools[pool]
	if !known {
		return report.Refused(trace.NotFound("there is no target %q", target))
	}
	if slices.Contains(p.Leave, target) == leaves {
		return report.Refused(trace.AlreadyExists("target %q is so already", target))
	}
	p.Leave = slices.DeleteFunc(slices.Clone(p.Leave), func(other string) bool { return other == target })
	if leaves {
		p.Leave = append(p.Leave, target)
	}
	after, err := json.Marshal(p)
	if err != nil {
		return report.Refused(err)
	}
	return d.submit(ctx, name, []configuration.Entry{{Kind: configuration.KindPool, Name: pool, After: after}}, nil)
}
