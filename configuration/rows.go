package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/table"
)

// The keys, and prefixes of keys, of configuration rows.
const (
	headKey       = "config-head"
	entityPrefix  = "config/"
	auditPrefix   = "audit/"
	refusedPrefix = "audit-refused/"
)

// head is the value of the head row.
type head struct {
	Revision uint64 `json:"revision"`
	Change   string `json:"change"`
}

// ErrUnknown says that a change may or may not have been accepted. The outcome can be
// read back by the change's ID once the table service answers again.
var ErrUnknown = errors.New("the outcome of the change is unknown")

// Rows stores the configuration in the table service. Set the exported fields before
// first use.
type Rows struct {
	Commit  func(ctx context.Context, tx table.Transaction) error
	Read    func(ctx context.Context, key string) (table.Row, error)
	List    func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	ListAll func(ctx context.Context, prefix string) ([]table.Row, error)
	// Wait sleeps between the attempts of a change with an unknown outcome.
	Wait func(ctx context.Context, d time.Duration) error
}

func auditKey(revision uint64) string { return fmt.Sprintf("%s%020d", auditPrefix, revision) }

// Head returns the current revision, 0 if nothing was ever configured.
func (r *Rows) Head(ctx context.Context) (uint64, error) {
	h, _, err := r.head(ctx)
	return h.Revision, trace.Wrap(err)
}

func (r *Rows) head(ctx context.Context) (head, uint64, error) {
	row, err := r.Read(ctx, headKey)
	if trace.IsNotFound(err) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, trace.Wrap(err)
	}
	var h head
	err = json.Unmarshal(row.Value, &h)
	return h, row.Revision, trace.Wrap(err)
}

// Since returns the changes accepted after a revision, oldest first, at most one page.
func (r *Rows) Since(ctx context.Context, revision uint64) ([]Change, error) {
	const page = 500
	rows, err := r.List(ctx, auditPrefix, auditKey(revision), page)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return decodeChanges(rows)
}

// Refusals returns the recorded refused changes.
func (r *Rows) Refusals(ctx context.Context) ([]Change, error) {
	rows, err := r.ListAll(ctx, refusedPrefix)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return decodeChanges(rows)
}

func decodeChanges(rows []table.Row) ([]Change, error) {
	changes := make([]Change, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &changes[i]); err != nil {
			return nil, trace.Wrap(err, "row %s", row.Key)
		}
	}
	return changes, nil
}

// Load reads the complete configuration: the head, then every entity, then the changes
// accepted in the meantime.
func (r *Rows) Load(ctx context.Context) (*Configuration, error) {
	revision, err := r.Head(ctx)
	if err != nil || revision == 0 {
		return &Configuration{}, trace.Wrap(err)
	}
	rows, err := r.ListAll(ctx, entityPrefix)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	all := Change{Revision: revision}
	for _, row := range rows {
		kind, name, _ := strings.Cut(strings.TrimPrefix(row.Key, entityPrefix), "/")
		all.Entries = append(all.Entries, Entry{Kind: kind, Name: name, After: row.Value})
	}
	base := &Configuration{Revision: revision - 1}
	loaded, err := base.Apply(all)
	if err != nil {
		return nil, trace.Wrap(err, "stored configuration of revision %d is inconsistent", revision)
	}
	return r.CatchUp(ctx, loaded)
}

// CatchUp applies all changes accepted after the given configuration.
func (r *Rows) CatchUp(ctx context.Context, c *Configuration) (*Configuration, error) {
	for {
		changes, err := r.Since(ctx, c.Revision)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(changes) == 0 {
			return c, nil
		}
		for _, change := range changes {
			if c, err = c.Apply(change); err != nil {
				return nil, trace.Wrap(err)
			}
		}
	}
}

// Submit commits a change to the revision in current. It returns the new configuration,
// trace.CompareFailed if another change came first, or ErrUnknown if the outcome could
// not be read back in time.
func (r *Rows) Submit(ctx context.Context, current *Configuration, change Change) (*Configuration, error) {
	change = current.Fill(change)
	next, err := current.Apply(change)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	h, headRevision, err := r.head(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if h.Revision != current.Revision {
		return nil, trace.CompareFailed("current revision is %d, the change is for %d", h.Revision, current.Revision)
	}
	tx, err := transaction(change, headRevision)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := r.commitUntilKnown(ctx, tx, change); err != nil {
		return nil, trace.Wrap(err)
	}
	return next, nil
}

// commitUntilKnown commits until the outcome is certain. Repeated commits are safe: the
// condition on the head row admits at most one of them.
func (r *Rows) commitUntilKnown(ctx context.Context, tx table.Transaction, change Change) error {
	const pause = 200 * time.Millisecond
	lost := false
	for {
		err := r.Commit(ctx, tx)
		if err == nil {
			return nil
		}
		lost = lost || errors.Is(err, table.ErrOutcomeUnknown)
		if !lost {
			return trace.Wrap(err)
		}
		found, winner, readErr := r.outcome(ctx, change)
		if readErr == nil && found {
			return nil
		}
		if readErr == nil && winner != "" {
			return trace.CompareFailed("revision %d was created by change %s", change.Revision, winner)
		}
		if r.Wait(ctx, pause) != nil {
			return trace.Wrap(ErrUnknown, "change %s", change.ID)
		}
	}
}

// outcome reads back which change created the revision: this one or the winner.
func (r *Rows) outcome(ctx context.Context, change Change) (mine bool, winner string, err error) {
	row, err := r.Read(ctx, auditKey(change.Revision))
	if trace.IsNotFound(err) {
		return false, "", nil
	}
	if err != nil {
		return false, "", trace.Wrap(err)
	}
	var stored Change
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return false, "", trace.Wrap(err)
	}
	return stored.ID == change.ID, stored.ID, nil
}

// Refuse stores a refused change in the audit log.
func (r *Rows) Refuse(ctx context.Context, change Change, reason string) error {
	change.Refused = reason
	value, err := json.Marshal(change)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.Commit(ctx, table.Transaction{
		Put: []table.Row{{Key: refusedPrefix + change.ID, Value: value}},
	}))
}

func transaction(change Change, headRevision uint64) (table.Transaction, error) {
	newHead, err := json.Marshal(head{Revision: change.Revision, Change: change.ID})
	if err != nil {
		return table.Transaction{}, trace.Wrap(err)
	}
	audit, err := json.Marshal(change)
	if err != nil {
		return table.Transaction{}, trace.Wrap(err)
	}
	tx := table.Transaction{
		Expect: []table.Condition{{Key: headKey, Revision: headRevision}},
		Put: []table.Row{
			{Key: headKey, Value: newHead},
			{Key: auditKey(change.Revision), Value: audit},
		},
	}
	for _, e := range change.Entries {
		key := entityPrefix + e.Kind + "/" + e.Name
		if e.After == nil {
			tx.Delete = append(tx.Delete, key)
			continue
		}
		tx.Put = append(tx.Put, table.Row{Key: key, Value: e.After})
	}
	return tx, nil
}
