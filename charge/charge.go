// Package charge records the accounts' usage in the table service. A request is
// charged at most once and only if it ran; charges are lost only if the process
// ends before they are written or the buffer is full.
//
// Each daemon sums its charges and writes them in numbered batches. The holder of
// the lease applies each batch once to the accounts' totals:
//
//	l := charge.Ledger{Incarnation: id, Commit: c.Commit, Read: c.Read, ...}
//	l.Add("menu-app", usage)
//	err := l.Flush(ctx)    // periodically on every daemon
//	n, err := l.Apply(ctx) // on the holder of the lease
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

// maxAccounts bounds the accounts in one batch, and so the size of the transaction that
// writes it.
const maxAccounts = 200

// maxBatches bounds the batches applied in one transaction.
const maxBatches = 200

// shards is the number of rows that hold the accounts' totals. With one row for
// each account, Apply would need a read for each active account.
const shards = 64

// Sum is an account's usage.
type Sum struct {
	Requests int `json:"requests"`
	// Prompt, Cached and Completion are tokens. Cached is the part of Prompt that
	// was reused or imported.
	Prompt     int `json:"prompt"`
	Cached     int `json:"cached"`
	Completion int `json:"completion"`
}

func (s Sum) plus(o Sum) Sum {
	return Sum{s.Requests + o.Requests, s.Prompt + o.Prompt, s.Cached + o.Cached, s.Completion + o.Completion}
}

// Ledger sums charges and writes them. Set the exported fields before first use;
// it is safe for concurrent use after that.
type Ledger struct {
	// Incarnation is unique to this run of the daemon.
	Incarnation string
	Commit      func(ctx context.Context, tx table.Transaction) error
	Read        func(ctx context.Context, key string) (table.Row, error)
	ListAll     func(ctx context.Context, prefix string) ([]table.Row, error)
	// MaxAccounts bounds the accounts with pending charges while the table service
	// is down. Charges of further accounts are dropped and reported to OnLost.
	MaxAccounts int
	// OnLost is called with the number of requests whose charges were dropped.
	OnLost func(requests int)

	mu sync.Mutex
	// pending holds the charges that are in no batch yet.
	pending map[string]Sum
	// flushing serializes Flush.
	flushing sync.Mutex
	// batch is the batch being written, which may be stored already; nil if none.
	batch *batch
	// written is the number of the last batch known to be written.
	written uint64
}

// batch is the value of a batch row.
type batch struct {
	Number uint64         `json:"number"`
	Sums   map[string]Sum `json:"sums"`
}

// batchHead is the value of a head row: the number of the last batch written. It
// prevents a delayed copy of a batch from being written after the batch was
// applied and deleted.
type batchHead struct {
	Last uint64 `json:"last"`
}

// Add charges an account for one completed request, by the engine's token counts.
// Call it once for each request.
func (l *Ledger) Add(account string, u stream.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = make(map[string]Sum)
	}
	sum, known := l.pending[account]
	if !known && len(l.pending) >= l.MaxAccounts {
		l.OnLost(1)
		return
	}
	l.pending[account] = sum.plus(Sum{Requests: 1, Prompt: u.Prompt, Cached: u.Reused + u.Imported, Completion: u.Completion})
}

// Pending returns the number of accounts with charges not known to be written. An
// account that is both in the current batch and pending counts twice.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.pending)
	if l.batch != nil {
		n += len(l.batch.Sums)
	}
	return n
}

// Flush writes the pending charges. A batch with an unknown outcome is written again
// under the same number, which the head row admits at most once.
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

// take returns the batch being written or makes the next one.
func (l *Ledger) take() *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.batch != nil || len(l.pending) == 0 {
		return l.batch
	}
	l.batch = &batch{Number: l.written + 1, Sums: make(map[string]Sum)}
	for account, sum := range l.pending {
		if len(l.batch.Sums) == maxAccounts {
			break
		}
		l.batch.Sums[account] = sum
		delete(l.pending, account)
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
		return nil // An earlier write of this batch was committed.
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

// Apply adds every written batch to the accounts' totals and returns how many were
// applied. Two daemons may run it at once, as each batch is deleted in the
// transaction that adds it.
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
		case trace.IsCompareFailed(err), errors.Is(err, table.ErrOutcomeUnknown):
			// Another daemon applied some of them, or the outcome is unknown. The next
			// call lists what is left.
		default:
			return applied, trace.Wrap(err)
		}
		rows = rows[n:]
	}
	return applied, nil
}

// applyGroup applies batches in one transaction.
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
	for key, part := range shardSums(sums) {
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

// shardSums groups sums by the row that holds their accounts' totals.
func shardSums(sums map[string]Sum) map[string]map[string]Sum {
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

// totals reads one row of accounts' totals and its revision.
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

// Sums returns the accounts' totals of all applied batches.
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
