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

// keyField is the pseudo-field that adds an API key to an account; only the key's
// hash is stored.
const keyField = "add_key"

// changes serves a change whose entries the client has built itself.
func (d *Daemon) changes(ctx context.Context, name string, body []byte) report.Report {
	var in struct {
		Entries    []configuration.Entry `json:"entries"`
		IfRevision *uint64               `json:"if_revision"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return report.FromError(trace.BadParameter("the body is not the JSON of a change: %v", err))
	}
	return d.submit(ctx, name, in.Entries, in.IfRevision)
}

// maxEditAttempts bounds how often an edit is rebuilt because another change was
// committed first.
const maxEditAttempts = 5

// edit serves the statements that change the configuration. The change is built
// on the latest revision. If another change is committed first, it is rebuilt on
// that one, unless the operator named the revision.
func (d *Daemon) edit(ctx context.Context, name string, s query.Statement) report.Report {
	return d.editEntity(ctx, name, revisionOf(s), func(c *configuration.Configuration) (configuration.Entry, error) {
		return entryOf(c, s)
	})
}

// editEntity changes one entity of the latest revision. With ifRevision above 0
// it changes that revision only, in one attempt.
func (d *Daemon) editEntity(ctx context.Context, name string, ifRevision uint64, build func(*configuration.Configuration) (configuration.Entry, error)) report.Report {
	for attempt := 1; ; attempt++ {
		current, err := d.latest(ctx)
		if err != nil {
			return report.FromError(err)
		}
		entry, err := build(current)
		if err != nil {
			return report.FromError(err)
		}
		revision := current.Revision
		if ifRevision > 0 {
			revision = ifRevision
		}
		answer, err := d.submitWithError(ctx, name, []configuration.Entry{entry}, &revision)
		if !trace.IsCompareFailed(err) || ifRevision > 0 || attempt == maxEditAttempts {
			return answer
		}
	}
}

// latest returns the newest revision, as read from the table service.
func (d *Daemon) latest(ctx context.Context) (*configuration.Configuration, error) {
	current := d.currentOrEmpty()
	next, err := d.readNewer(ctx, current)
	if err != nil || next == nil {
		return current, trace.Wrap(err)
	}
	return next, nil
}

// revisionOf returns the revision that a statement names with "if revision", or 0.
func revisionOf(s query.Statement) uint64 {
	switch {
	case s.Create != nil:
		return s.Create.IfRevision
	case s.Change != nil:
		return s.Change.IfRevision
	case s.Remove != nil:
		return s.Remove.IfRevision
	case s.Roll != nil:
		return s.Roll.IfRevision
	}
	return 0
}

// entryOf returns the entity as a statement changes it in a revision.
func entryOf(c *configuration.Configuration, s query.Statement) (configuration.Entry, error) {
	switch {
	case s.Create != nil:
		return applyEdit(c, *s.Create, false)
	case s.Change != nil:
		return applyEdit(c, *s.Change, true)
	case s.Remove != nil:
		return configuration.Entry{Kind: s.Remove.Kind, Name: s.Remove.Name}, nil
	case s.Roll != nil:
		weights := query.Assignment{Field: "weights", Value: &query.Literal{Text: &s.Roll.Version}}
		return applyEdit(c, query.Edit{Kind: configuration.KindPool, Name: s.Roll.Pool, Set: []query.Assignment{weights}}, true)
	}
	return configuration.Entry{}, trace.BadParameter("the statement changes nothing")
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

// submit commits a change, records the outcome and reports it.
func (d *Daemon) submit(ctx context.Context, name string, entries []configuration.Entry, expect *uint64) report.Report {
	answer, _ := d.submitWithError(ctx, name, entries, expect)
	return answer
}

// submitWithError is submit that also returns the reason of a refusal as an error.
func (d *Daemon) submitWithError(ctx context.Context, name string, entries []configuration.Entry, expect *uint64) (report.Report, error) {
	change := configuration.Change{ID: newID(), Actor: name, At: d.now().UTC(), Entries: entries}
	next, err := d.submitOnce(ctx, change, expect)
	record := decision.Record{At: d.now(), Kind: decision.Changed, Rule: "head unchanged", Inputs: entriesText(entries)}
	if err != nil {
		record.Rule, record.Result = "refused", trace.Unwrap(err).Error()
		d.records.Add(record)
		if !errors.Is(err, configuration.ErrUnknown) {
			// Best effort: the audit trail misses this refusal if the table service
			// can't store it.
			_ = d.rows.Refuse(ctx, change, record.Result)
		}
		answer := report.FromError(err)
		answer.Change = change.ID
		return answer, err
	}
	record.Result = "accepted by " + name
	d.records.Add(record)
	_ = d.send(ctx, configurationRead{configuration: next, from: "operator " + name})
	return report.Report{Revision: next.Revision, Change: change.ID}, nil
}

func (d *Daemon) submitOnce(ctx context.Context, change configuration.Change, expect *uint64) (*configuration.Configuration, error) {
	current, err := d.latest(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if expect != nil && *expect != current.Revision {
		return nil, trace.CompareFailed("the change is for revision %d, %d is in force", *expect, current.Revision)
	}
	return d.rows.Submit(ctx, current, change)
}

// applyEdit returns the entity with the assignments applied. An entity to change
// must exist, and one to create must not.
func applyEdit(c *configuration.Configuration, e query.Edit, exists bool) (configuration.Entry, error) {
	entry := configuration.Entry{Kind: e.Kind, Name: e.Name}
	var err error
	e.Set = append(e.Set, previousWeights(c, e)...)
	switch e.Kind {
	case configuration.KindAccount:
		entry.After, err = assignFields(c.Accounts, e, exists, account.Account{Name: e.Name, Weight: 1})
	case configuration.KindPool:
		entry.After, err = assignFields(c.Pools, e, exists, pool.Pool{Name: e.Name, Concurrency: 1})
	case configuration.KindModel:
		entry.After, err = assignFields(c.Models, e, exists, model.Model{Name: e.Name})
	}
	return entry, trace.Wrap(err)
}

// previousWeights returns the assignment that keeps a pool's old weight version
// as the previous one, so that targets not yet updated go on serving it.
func previousWeights(c *configuration.Configuration, e query.Edit) []query.Assignment {
	before := c.Pools[e.Name].Weights
	for _, a := range e.Set {
		if e.Kind == configuration.KindPool && a.Field == "weights" && before != "" && a.JSON() != quote(before) {
			return []query.Assignment{{Field: "previous", List: nil, Value: &query.Literal{Text: &before}}}
		}
	}
	return nil
}

func assignFields[V any](all map[string]V, e query.Edit, exists bool, fresh V) (json.RawMessage, error) {
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
		if err := setField(&v, a.Field, a.JSON()); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return json.Marshal(v)
}

// setField sets a field by its JSON name; a dot separates the names of nested
// fields.
func setField(entity any, field, value string) error {
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

// setLeaving adds a target to its pool's list of leaving targets, which get no
// new requests, or removes it from there.
func (d *Daemon) setLeaving(ctx context.Context, name, target string, leaving bool) report.Report {
	pool := ""
	d.inspect(ctx, func(_ time.Time, t *tables) {
		if x, known := t.Targets.Lookup(target); known {
			pool = x.Pool
		}
	})
	return d.editEntity(ctx, name, 0, func(c *configuration.Configuration) (configuration.Entry, error) {
		return withLeaving(c, pool, target, leaving)
	})
}

// withLeaving returns a pool whose list of leaving targets has a target added or
// removed.
func withLeaving(c *configuration.Configuration, name, target string, leaving bool) (configuration.Entry, error) {
	p, known := c.Pools[name]
	if !known {
		return configuration.Entry{}, trace.NotFound("there is no target %q", target)
	}
	if slices.Contains(p.Leaving, target) == leaving {
		return configuration.Entry{}, trace.AlreadyExists("target %q is so already", target)
	}
	p.Leaving = slices.DeleteFunc(slices.Clone(p.Leaving), func(other string) bool { return other == target })
	if leaving {
		p.Leaving = append(p.Leaving, target)
	}
	after, err := json.Marshal(p)
	return configuration.Entry{Kind: configuration.KindPool, Name: name, After: after}, trace.Wrap(err)
}
