// Package charge brings what requests cost into the table service: never
// doubled, never for work that did not run, and lost only with the process.
//
// Each daemon adds up its charges and writes them in numbered batches; whoever
// has the duty applies each batch once to the accounts' rows:
//
//	l := charge.Ledger{Incarnation: id, Commit: c.Commit, Read: c.Read, ...}
//	l.Add("menu-app", usage)
//	err := l.Flush(ctx)  // on every daemon, now and then
//	n, err := l.Apply(ctx) // on the one with the duty
package charge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/stream"
	"github.com/thymewind/thymewind/table"
)

const (
	batchPrefix = "batch/"
	headPrefix  = "batch-head/"
	usagePrefix = "usage/"
)

// maxAccounts bounds the accounts in one batch, and so one transaction.
const maxAccounts = 200

// maxBatches bounds the batches that are applied in one transaction.
const maxBatches = 200

// shards is the number of rows that the accounts' totals are kept in. One row
// for each account would cost a read for each account that was active.
const shards = 64

// Sum is what an account's requests cost.
type Sum struct {
	Requests int `json:"requests"`
	// Prompt, Cached and Completion are tokens; Cached is the part of Prompt
	// that was reused or imported.
	Prompt     int `json:"prompt"`
	Cached     int `json:"cached"`
	Completion int `json:"completion"`
}

func (s Sum) plus(o Sum) Sum {
	return Sum{s.Requests + o.Requests, s.Prompt + o.Prompt, s.Cached + o.Cached, s.Completion + o.Completion}
}

// Ledger adds charges up and writes them. Set the exported fields before first
// use; it is safe for concurrent use after that.
type Ledger struct {
	// Incarnation names this run of the daemon; no other run has it.
	Incarnation string
	Commit      func(ctx context.Context, tx table.Transaction) error
	Read        func(ctx context.Context, key string) (table.Row, error)
	ListAll     func(ctx context.Context, prefix string) ([]table.Row, error)
	// MaxAccounts bounds the accounts that wait while the table service is
	// down. Charges of further accounts are counted by Lost and dropped.
	MaxAccounts int
	// Lost hears of dropped charges.
	Lost func(requests int)

	mu sync.Mutex
	// waiting is not in any batch yet.
	waiting map[string]Sum
	// flushing serializes Flush.
	flushing sync.Mutex
	// batch is numbered and may have been written; nil if there is none.
	batch *batch
	// written is the number of the last batch known to be written.
	written uint64
}

// batch is the value of a batch row.
type batch struct {
	Number uint64         `json:"number"`
	Sums   map[string]Sum `json:"sums"`
}

// batchHead is the value of a head row: the last batch that was written. It
// keeps a late copy of a batch from being written again after it was applied.
type batchHead struct {
	Last uint64 `json:"last"`
}

// Add charges an account for one request that ran to its end, by the engine's
// own figures. Call it once for each request.
func (l *Ledger) Add(account string, u stream.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == nil {
		l.waiting = make(map[string]Sum)
	}
	sum, known := l.waiting[account]
	if !known && len(l.waiting) >= l.MaxAccounts {
		l.Lost(1)
		return
	}
	l.waiting[account] = sum.plus(Sum{Requests: 1, Prompt: u.Prompt, Cached: u.Reused + u.Imported, Completion: u.Completion})
}

// Waiting counts the accounts whose charges are not written yet.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.waiting)
	if l.batch != nil {
		n += len(l.batch.Sums)
	}
	return n
}

// Flush writes what waits. A batch whose answer was lost is written again with
// the same number, which the head row lets through at most once.
func (l *Ledger) Flush(ctx context.Context) error {
	l.flushing.Lock()
	defer l.flushing.Unlock()
	for {
		b := l.take()
		if b == nil {
			return nil
		}
		if err := l.write(ctx, b); err != nil {
			return trace.Wrap(err)
		}
		l.mu.Lock()
		l.written = b.Number
		l.batch = nil
		l.mu.Unlock()
	}
}

// take returns the batch under way or makes the next one.
func (l *Ledger) take() *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.batch != nil || len(l.waiting) == 0 {
		return l.batch
	}
	l.batch = &batch{Number: l.written + 1, Sums: make(map[string]Sum)}
	for account, sum := range l.waiting {
		if len(l.batch.Sums) == maxAccounts {
			break
		}
		l.batch.Sums[account] = sum
		delete(l.waiting, account)
	}
	return l.batch
}

func (l *Ledger) write(ctx context.Context, b *batch) error {
	headKey := headPrefix + l.Incarnation
	head, revision, err := readHead(ctx, l.Read, headKey)
	if err != nil {
		return trace.Wrap(err)
	}
	if head.Last >= b.Number {
		return nil // An earlier try was applied after all.
	}
	value, err := json.Marshal(b)
	if err != nil {
		return trace.Wrap(err)
	}
	newHead, err := json.Marshal(batchHead{Last: b.Number})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: headKey, Revision: revision}},
		Put: []table.Row{
			{Key: headKey, Value: newHead},
			{Key: fmt.Sprintf("%s%s/%d", batchPrefix, l.Incarnation, b.Number), Value: value},
		},
	}))
}

func readHead(ctx context.Context, read func(context.Context, string) (table.Row, error), key string) (batchHead, uint64, error) {
	var head batchHead
	row, err := read(ctx, key)
	if trace.IsNotFound(err) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, trace.Wrap(err)
	}
	err = json.Unmarshal(row.Value, &head)
	return head, row.Revision, trace.Wrap(err)
}

// Apply adds every written batch to the accounts' rows and returns how many
// were applied. Two daemons may do so at once: each batch is deleted in the
// same transaction that adds it.
func (l *Ledger) Apply(ctx context.Context) (int, error) {
	rows, err := l.ListAll(ctx, batchPrefix)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	applied := 0
	for len(rows) > 0 {
		n := min(len(rows), maxBatches)
		err := l.applyGroup(ctx, rows[:n])
		switch {
		case err == nil:
			applied += n
		case trace.IsCompareFailed(err), errors.Is(err, table.ErrLost):
			// Another applied some, or the next round reads whether this did.
		default:
			return applied, trace.Wrap(err)
		}
		rows = rows[n:]
	}
	return applied, nil
}

// applyGroup applies some batches in one transaction.
func (l *Ledger) applyGroup(ctx context.Context, rows []table.Row) error {
	var tx table.Transaction
	sums := make(map[string]Sum)
	for _, row := range rows {
		var b batch
		if err := json.Unmarshal(row.Value, &b); err != nil {
			return trace.Wrap(err, "row %s", row.Key)
		}
		for account, sum := range b.Sums {
			sums[account] = sums[account].plus(sum)
		}
		tx.Expect = append(tx.Expect, table.Condition{Key: row.Key, Revision: row.Revision})
		tx.Delete = append(tx.Delete, row.Key)
	}
	for key, part := range sharded(sums) {
		totals, revision, err := l.totals(ctx, key)
		if err != nil {
			return trace.Wrap(err)
		}
		for account, sum := range part {
			totals[account] = totals[account].plus(sum)
		}
		value, err := json.Marshal(totals)
		if err != nil {
			return trace.Wrap(err)
		}
		tx.Expect = append(tx.Expect, table.Condition{Key: key, Revision: revision})
		tx.Put = append(tx.Put, table.Row{Key: key, Value: value})
	}
	return trace.Wrap(l.Commit(ctx, tx))
}

// sharded divides sums by the row that their accounts' totals are kept in.
func sharded(sums map[string]Sum) map[string]map[string]Sum {
	rows := make(map[string]map[string]Sum)
	for account, sum := range sums {
		key := fmt.Sprintf("%s%02d", usagePrefix, xxhash.Sum64String(account)%shards)
		if rows[key] == nil {
			rows[key] = make(map[string]Sum)
		}
		rows[key][account] = sum
	}
	return rows
}

// totals reads one row of accounts' totals.
func (l *Ledger) totals(ctx context.Context, key string) (map[string]Sum, uint64, error) {
	totals := make(map[string]Sum)
	row, err := l.Read(ctx, key)
	if trace.IsNotFound(err) {
		return totals, 0, nil
	}
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	err = json.Unmarshal(row.Value, &totals)
	return totals, row.Revision, trace.Wrap(err)
}

// Sums returns the accounts' totals as applied so far.
func (l *Ledger) Sums(ctx context.Context) (map[string]Sum, error) {
	rows, err := l.ListAll(ctx, usagePrefix)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sums := make(map[string]Sum)
	for _, row := range rows {
		var part map[string]Sum
		if err := json.Unmarshal(row.Value, &part); err != nil {
			return nil, trace.Wrap(err, "row %s", row.Key)
		}
		maps.Copy(sums, part)
	}
	return sums, nil
}
