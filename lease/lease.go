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
//
// A table service that was restored from an older copy may have lost renewals, a change of
// holder or the row, and gives revisions out again, so that a write from before may meet its
// condition by chance. Each restore therefore begins a row of its own. Who holds the lease by
// its own clock goes on with the new row; anybody else waits the length out from when the
// restore is known.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
)

// Lease is one duty's lease as this daemon knows it. Set the exported fields
// before first use; it is safe for concurrent use after that.
type Lease struct {
	// Name names the rows in the table service. It is never empty.
	Name string
	// Holder is this box's name.
	Holder string
	// TTL is how long one renewal lasts. It is longer than Margin.
	TTL time.Duration
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
	// mine is the nonce of this daemon's last renewal; empty if it holds none. renewedAfter is
	// how many restores of the table service came before that.
	mine         string
	renewedAfter uint64
	// restores counts the restores of the table service that are known, restoredAt is since
	// when the last one is; zero if there was none, or none is told of.
	restores   uint64
	restoredAt time.Time
	// epoch grows with each change of holder, over all restores; targets refuse a lower one.
	epoch uint64
	// until is counted from before the renewal was sent, never from its answer.
	until time.Time
	// seen is the nonce of another's row, first seen at seenAt.
	seen   string
	seenAt time.Time
}

// epochsEach is how many epochs there are from one restore of the table service to the next.
// Which ones were given out before is not in the rows that it came back with, so a restore
// begins anew above all of them.
const epochsEach = 1 << 20

// row is the value of a lease's row. It is never deleted, so that the epoch
// never falls but by a restore.
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
	return l.mine == "" || !l.Now().Before(l.until.Add(-l.TTL/2))
}

// Restored notes how often the table service was restored, as told at a time, and says whether
// that is news. Whoever hears it from other reads than the lease's own waits less once it wants
// the lease.
func (l *Lease) Restored(restores uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if restores <= l.restores {
		return false
	}
	l.restores, l.restoredAt = restores, now
	return true
}

// LostUntil is until when somebody may have acted under the lease of whom a restore lost every
// trace; zero if there was no restore.
func (l *Lease) LostUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.restores == 0 {
		return time.Time{}
	}
	return l.restoredAt.Add(l.TTL)
}

// FirstEpoch is the lowest epoch that is given out since the last restore that is known.
func (l *Lease) FirstEpoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores*epochsEach + 1
}

// AcquireOrRenew renews the lease or takes it if its holder let it lapse. It returns the
// table service's error; a lease that is held then runs out by itself.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	started := l.Now()
	current, at, err := l.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if l.Restored(at.Restores, started) {
		current, at, err = l.read(ctx)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	next, ok := l.next(current, at)
	if !ok {
		return nil
	}
	return trace.Wrap(l.write(ctx, next, at, started))
}

// next returns the row to write, if this daemon may write one.
func (l *Lease) next(current row, at revision.Revision) (row, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Restores != l.restores {
		return row{}, false // Another restore came in between; the next step knows its row.
	}
	now := l.Now()
	if l.mine != "" && l.holds(now, current, at) {
		return row{Holder: l.Holder, Epoch: l.epoch, Nonce: l.Nonce(), Length: l.TTL}, true
	}
	l.mine = ""
	if !l.lapsed(now, current, at) {
		return row{}, false
	}
	epoch := max(current.Epoch, l.restores*epochsEach) + 1
	return row{Holder: l.Holder, Epoch: epoch, Nonce: l.Nonce(), Length: l.TTL}, true
}

// holds says whether nobody can have taken the lease since its last renewal: the row still
// shows that, or, if that was before a restore, it has not run out yet.
func (l *Lease) holds(now time.Time, current row, at revision.Revision) bool {
	if at.Restores != l.renewedAfter {
		return now.Before(l.until)
	}
	return current.Nonce == l.mine
}

// lapsed says whether another's lease has certainly run out: it was given back,
// or its row stood unchanged for its whole length and the margin, by this
// daemon's own clock. Nobody holds a lease without a row, but for who held it
// before a restore.
func (l *Lease) lapsed(now time.Time, current row, at revision.Revision) bool {
	if at.Number == 0 {
		return l.restores == 0 || now.Sub(l.restoredAt) >= l.TTL+l.Margin
	}
	if current.Holder == "" {
		return true
	}
	if l.seen != current.Nonce {
		l.seen, l.seenAt = current.Nonce, now
		return false
	}
	return now.Sub(l.seenAt) >= current.Length+l.Margin
}

func (l *Lease) write(ctx context.Context, next row, at revision.Revision, started time.Time) error {
	err := l.commit(ctx, next, at)
	if errors.Is(err, table.ErrLost) {
		// Applied or not: the row itself tells, by the nonce.
		stored, read, readErr := l.read(ctx)
		if readErr == nil && stored.Nonce == next.Nonce && read.Restores == at.Restores {
			err = nil
		}
	}
	if err != nil {
		return trace.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mine, l.renewedAfter, l.epoch = next.Nonce, at.Restores, next.Epoch
	l.until = started.Add(l.TTL)
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
	current, at, err := l.read(ctx)
	if err != nil || current.Nonce != mine || at.Restores != l.known() {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.commit(ctx, row{Epoch: current.Epoch, Nonce: l.Nonce()}, at))
}

// key names the row of the time between two restores.
func (l *Lease) key(restores uint64) string {
	if restores == 0 {
		return "lease/" + l.Name
	}
	return fmt.Sprintf("lease/%s/%d", l.Name, restores)
}

// known is how many restores of the table service are known.
func (l *Lease) known() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores
}

// read reads the row of the time since the last restore that is known. Where that is not the
// service's last one, the revision says so, and the row is none to go by.
func (l *Lease) read(ctx context.Context) (row, revision.Revision, error) {
	stored, err := l.Read(ctx, l.key(l.known()))
	if trace.IsNotFound(err) {
		return row{}, stored.At(), nil
	}
	if err != nil {
		return row{}, revision.Revision{}, trace.Wrap(err)
	}
	var r row
	err = json.Unmarshal(stored.Value, &r)
	return r, stored.At(), trace.Wrap(err)
}

func (l *Lease) commit(ctx context.Context, r row, at revision.Revision) error {
	value, err := json.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	return l.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: l.key(at.Restores), Revision: at.Number, Restores: at.Restores}},
		Put:    []table.Row{{Key: l.key(at.Restores), Value: value}},
	})
}
