package claim

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/table"
)

// collect adds queued writes to a group, at most one for each row, and returns the
// writes that must wait for the next group.
func (b *Store) collect(first []*write) (group, next []*write) {
	rows := make(map[string]bool)
	add := func(w *write) {
		if rows[w.key] {
			next = append(next, w)
			return
		}
		rows[w.key] = true
		group = append(group, w)
	}
	for _, w := range first {
		add(w)
	}
	for len(group)+len(next) < maxGroup {
		select {
		case w := <-b.queue:
			add(w)
		default:
			return group, next
		}
	}
	return group, next
}

// commitGroup commits the writes in one transaction. A write that conflicts gets the
// error, and the others are committed without it.
func (b *Store) commitGroup(ctx context.Context, group []*write) {
	ctx, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	for len(group) > 0 {
		err := b.Commit(ctx, transactionOf(group))
		if !trace.IsCompareFailed(err) {
			for _, w := range group {
				w.answer <- err
			}
			return
		}
		left := group[:0:0]
		for _, w := range group {
			if b.conditionHolds(ctx, w) {
				left = append(left, w)
			} else {
				w.answer <- err
			}
		}
		if len(left) == len(group) {
			// The conflict is not visible any more. Fail rather than retry without end.
			for _, w := range left {
				w.answer <- trace.LimitExceeded("transaction with row %s conflicted, but every condition holds on re-read", w.key)
			}
			return
		}
		group = left
	}
}

// conditionHolds reports whether a write's condition still holds.
func (b *Store) conditionHolds(ctx context.Context, w *write) bool {
	row, err := b.Read(ctx, w.key)
	if trace.IsNotFound(err) {
		return w.expect == 0
	}
	return err == nil && row.Revision == w.expect
}

func transactionOf(group []*write) table.Transaction {
	var tx table.Transaction
	for _, w := range group {
		tx.Expect = append(tx.Expect, table.Condition{Key: w.key, Revision: w.expect})
		if w.claim == nil {
			tx.Delete = append(tx.Delete, w.key)
			continue
		}
		value, err := json.Marshal(w.claim)
		if err != nil {
			continue
		}
		tx.Put = append(tx.Put, table.Row{Key: w.key, Value: value})
	}
	return tx
}
