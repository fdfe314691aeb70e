// Package fake provides fakes for tests.
//
//	t := fake.Table{Fault: func() fake.Kind { return fake.AnswerLost }}
//	claims := claim.Store{Commit: t.Commit, Read: t.Read}
package fake

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/table"
)

// Kind is what goes wrong with one call.
type Kind int

// The kinds of fault.
const (
	// None lets the call through.
	None Kind = iota
	// Down refuses the call.
	Down
	// AnswerLost applies the transaction and loses the answer.
	AnswerLost
	// RequestLost loses the transaction, which is never applied.
	RequestLost
	// Late loses the answer and applies the transaction some calls later.
	Late
	// NumKinds is the number of kinds.
	NumKinds
)

// Table is the platform's table service in memory. Set Fault before first use;
// it is safe for concurrent use after that.
type Table struct {
	// Fault draws what goes wrong with the next call; nil means nothing.
	Fault func() Kind

	mu       sync.Mutex
	rows     map[string]table.Row
	revision uint64
	restores uint64
	late     []lateTransaction
}

// lateTransaction is a transaction that is applied after some more calls.
type lateTransaction struct {
	tx    table.Transaction
	calls int
}

// lateCalls is the number of calls after which a late transaction is applied.
const lateCalls = 3

// Commit applies a transaction, subject to the fault drawn.
func (t *Table) Commit(_ context.Context, tx table.Transaction) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.applyLate()
	switch t.draw() {
	case Down:
		return trace.ConnectionProblem(nil, "down")
	case AnswerLost:
		_ = t.apply(tx)
		return trace.Wrap(table.ErrOutcomeUnknown)
	case RequestLost:
		return trace.Wrap(table.ErrOutcomeUnknown)
	case Late:
		t.late = append(t.late, lateTransaction{tx, lateCalls})
		return trace.Wrap(table.ErrOutcomeUnknown)
	}
	return t.apply(tx)
}

// applyLate applies the late transactions that are due.
func (t *Table) applyLate() {
	var waiting []lateTransaction
	for _, l := range t.late {
		l.calls--
		if l.calls < 0 {
			_ = t.apply(l.tx)
			continue
		}
		waiting = append(waiting, l)
	}
	t.late = waiting
}

// Read returns one row.
func (t *Table) Read(_ context.Context, key string) (table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draw() == Down {
		return table.Row{}, trace.ConnectionProblem(nil, "down")
	}
	row, ok := t.rows[key]
	row.Restores = t.restores
	if !ok {
		return row, trace.NotFound("no row %q", key)
	}
	return row, nil
}

// Snapshot is a snapshot of a Table.
type Snapshot struct {
	rows     map[string]table.Row
	revision uint64
}

// Snapshot takes a snapshot.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Snapshot{maps.Clone(t.rows), t.revision}
}

// Restore restores the table from a snapshot, after which it assigns the same revisions
// again. Late transactions are still applied, if their conditions hold then.
func (t *Table) Restore(c Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.revision = maps.Clone(c.rows), c.revision
	t.restores++
}

// List returns rows under a prefix.
func (t *Table) List(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draw() == Down {
		return nil, trace.ConnectionProblem(nil, "down")
	}
	var rows []table.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			row := t.rows[key]
			row.Restores = t.restores
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// ListAll returns all rows under a prefix.
func (t *Table) ListAll(ctx context.Context, prefix string) ([]table.Row, error) {
	return t.List(ctx, prefix, "", int(^uint(0)>>1))
}

// Unconditional commits without the transaction's conditions, for tests that show what
// the conditions prevent.
func (t *Table) Unconditional(ctx context.Context, tx table.Transaction) error {
	tx.Expect = nil
	return t.Commit(ctx, tx)
}

func (t *Table) draw() Kind {
	if t.Fault == nil {
		return None
	}
	return t.Fault()
}

func (t *Table) apply(tx table.Transaction) error {
	for _, c := range tx.Expect {
		if t.rows[c.Key].Revision != c.Revision {
			return trace.CompareFailed("row %q", c.Key)
		}
	}
	if t.rows == nil {
		t.rows = make(map[string]table.Row)
	}
	t.revision++
	for _, row := range tx.Put {
		row.Revision = t.revision
		t.rows[row.Key] = row
	}
	for _, key := range tx.Delete {
		delete(t.rows, key)
	}
	for _, c := range tx.Expect {
		if c.Restores != t.restores {
			return trace.CompareFailed("row %q was read before the table was restored", c.Key)
		}
	}
	return nil
}
