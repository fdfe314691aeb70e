// Package lease keeps this daemon's right to a duty, such as sending orders to
// one pool's targets, for a bounded time.
//
// A holder renews well before the end and asks Held right before each act:
//
//	l := lease.Lease{Duty: "orders/menu", Length: 6 * time.Second, Commit: c.Commit, Read: c.Read, ...}
//	err := l.Step(ctx)
//	if epoch, until, ok := l.Held(); ok {
//		send(epoch, until)
//	}
//
// Time is this process's own monotonic clock throughout; clocks of other boxes
// are never compared.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/table"
)

// Lease is one duty's lease as this daemon knows it. Set the exported fields
// before first use; it is safe for concurrent use after that.
type Lease struct {
	// Duty names the row in the table service. It is never empty.
	Duty string
	// Holder is this box's name.
	Holder string
	// Length is how long one renewal lasts. It is longer than Margin.
	Length time.Duration
	// Margin is how long before the end the holder stops acting, and how long
	// behind the end a successor waits. It covers the difference of two clocks'
	// rates over one Length.
	Margin time.Duration
	Commit func(ctx context.Context, tx table.Transaction) error
	Read   func(ctx context.Context, key string) (table.Row, error)
	// Nonce returns a new nonce each time.
	Nonce func() string
	// Now is a monotonic clock.
	Now func() time.Time

	mu sync.Mutex
	// mine is the nonce of this daemon's last renewal; empty if it holds none.
	mine string
	// epoch grows with each change of holder; targets refuse a lower one.
	epoch uint64
	// until is counted from before the renewal was sent, never from its answer.
	until time.Time
	// seen is the nonce of another's row, first seen at seenAt.
	seen   string
	seenAt time.Time
}

// row is the value of a lease's row. It is never deleted, so that the epoch
// never falls.
type row struct {
	Holder string        `json:"holder"`
	Epoch  uint64        `json:"epoch"`
	Nonce  string        `json:"nonce"`
	Length time.Duration `json:"length_ns"`
}

// Held reports the fencing epoch, until when this daemon may act, and whether
// it may act now.
func (l *Lease) Held() (epoch uint64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until = l.until.Add(-l.Margin)
	return l.epoch, until, l.mine != "" && l.Now().Before(until)
}

// Due says whether Step has something to do: a lease that is held is renewed
// when half of it has passed; one that is not is looked at each time.
func (l *Lease) Due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mine == "" || !l.Now().Before(l.until.Add(-l.Length/2))
}

// Step renews the lease or takes it if its holder let it lapse. It returns the
// table service's error; a lease that is held then runs out by itself.
func (l *Lease) Step(ctx context.Context) error {
	started := l.Now()
	current, revision, err := l.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	next, ok := l.next(current, revision)
	if !ok {
		return nil
	}
	return trace.Wrap(l.write(ctx, next, revision, started))
}

// next returns the row to write, if this daemon may write one.
func (l *Lease) next(current row, revision uint64) (row, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := row{Holder: l.Holder, Epoch: current.Epoch, Nonce: l.Nonce(), Length: l.Length}
	if current.Nonce != "" && current.Nonce == l.mine {
		return next, true
	}
	l.mine = ""
	if !l.lapsed(current, revision) {
		return row{}, false
	}
	next.Epoch++
	return next, true
}

// lapsed says whether another's lease has certainly run out: it was given back,
// or its row stood unchanged for its whole length and the margin, by this
// daemon's own clock.
func (l *Lease) lapsed(current row, revision uint64) bool {
	if revision == 0 || current.Holder == "" {
		return true
	}
	now := l.Now()
	if l.seen != current.Nonce {
		l.seen, l.seenAt = current.Nonce, now
		return false
	}
	return now.Sub(l.seenAt) >= current.Length+l.Margin
}

func (l *Lease) write(ctx context.Context, next row, revision uint64, started time.Time) error {
	err := l.commit(ctx, next, revision)
	if errors.Is(err, table.ErrLost) {
		// Applied or not: the row itself tells, by the nonce.
		stored, _, readErr := l.read(ctx)
		if readErr == nil && stored.Nonce == next.Nonce {
			err = nil
		}
	}
	if err != nil {
		return trace.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mine, l.epoch = next.Nonce, next.Epoch
	l.until = started.Add(l.Length)
	return nil
}

// Release gives the lease back, so that a successor need not wait.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	mine := l.mine
	l.mine = ""
	l.mu.Unlock()
	if mine == "" {
		return nil
	}
	current, revision, err := l.read(ctx)
	if err != nil || current.Nonce != mine {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.commit(ctx, row{Epoch: current.Epoch, Nonce: l.Nonce()}, revision))
}

func (l *Lease) key() string { return "lease/" + l.Duty }

func (l *Lease) read(ctx context.Context) (row, uint64, error) {
	stored, err := l.Read(ctx, l.key())
	if trace.IsNotFound(err) {
		return row{}, 0, nil
	}
	if err != nil {
		return row{}, 0, trace.Wrap(err)
	}
	var r row
	err = json.Unmarshal(stored.Value, &r)
	return r, stored.Revision, trace.Wrap(err)
}

func (l *Lease) commit(ctx context.Context, r row, revision uint64) error {
	value, err := json.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	return l.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: l.key(), Revision: revision}},
		Put:    []table.Row{{Key: l.key(), Value: value}},
	})
}
