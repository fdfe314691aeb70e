// Package lease holds this daemon's exclusive right to a task, such as sending orders to
// one pool's targets, for a bounded time.
//
// A holder renews well before the end and calls Held right before each action:
//
//	l := lease.Lease{Name: "orders/menu", TTL: 6 * time.Second, Commit: c.Commit, Read: c.Read, ...}
//	err := l.AcquireOrRenew(ctx)
//	if epoch, until, ok := l.Held(); ok {
//		send(epoch, until)
//	}
//
// All times are from this process's own monotonic clock; clocks of other boxes are never
// compared.
//
// A table service that was restored from an older copy may have lost renewals, a change
// of holder or the row, and assigns revisions again, so that the condition of a write
// from before the restore may match by chance. Each restore therefore starts a new row. A
// daemon that holds the lease by its own clock continues with the new row; any other
// waits the full TTL and the margin after it learned of the restore.
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

// Lease is one lease as this daemon knows it. Set the exported fields before first use;
// it is safe for concurrent use after that.
type Lease struct {
	// Name is part of the keys of the rows in the table service. It is never empty.
	Name string
	// Holder is this box's name.
	Holder string
	// TTL is how long one renewal lasts. It is longer than Margin.
	TTL time.Duration
	// Margin is how long before the end the holder stops acting, and how long after the end
	// a successor waits. It covers the difference of two clocks' rates over one TTL.
	Margin time.Duration
	Commit func(ctx context.Context, tx table.Transaction) error
	Read   func(ctx context.Context, key string) (table.Row, error)
	// Nonce returns a new nonce each time.
	Nonce func() string
	// Now is a monotonic clock.
	Now func() time.Time

	mu sync.Mutex
	// nonce is that of this daemon's last renewal; empty if it does not hold the lease.
	// renewedAfter is how many restores of the table service preceded that renewal.
	nonce        string
	renewedAfter uint64
	// restores is the number of known restores of the table service, restoredAt is since
	// when the last one is known; zero if there was none, or none is reported.
	restores   uint64
	restoredAt time.Time
	// epoch is the fencing token. It grows with each change of holder, over all restores;
	// targets refuse a lower one.
	epoch uint64
	// until is counted from before the renewal was sent, never from its answer.
	until time.Time
	// seen is the nonce of another holder's row, first seen at seenAt.
	seen   string
	seenAt time.Time
}

// epochsPerRestore is how many epochs there are between two restores of the table
// service. The restored rows do not show which ones were used before, so a restore starts
// above all of them.
const epochsPerRestore = 1 << 20

// row is the value of a lease's row. It is never deleted, so that the epoch falls only by
// a restore.
type row struct {
	Holder string        `json:"holder"`
	Epoch  uint64        `json:"epoch"`
	Nonce  string        `json:"nonce"`
	TTL    time.Duration `json:"length_ns"`
}

// Held returns the fencing epoch, until when this daemon may act, and whether it may act
// now.
func (l *Lease) Held() (epoch uint64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until = l.until.Add(-l.Margin)
	return l.epoch, until, l.nonce != "" && l.Now().Before(until)
}

// Due reports whether AcquireOrRenew has something to do: a held lease is renewed after
// half of its TTL; any other is looked at each time.
func (l *Lease) Due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nonce == "" || !l.Now().Before(l.until.Add(-l.TTL/2))
}

// Restored records how often the table service was restored, as reported at a time, and
// reports whether that is news. A daemon that learns it from other reads than the lease's
// own waits less once it wants the lease.
func (l *Lease) Restored(restores uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if restores <= l.restores {
		return false
	}
	l.restores, l.restoredAt = restores, now
	return true
}

// LostUntil returns until when a holder whose row the restore lost may still act under the
// lease; zero if there was no restore.
func (l *Lease) LostUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.restores == 0 {
		return time.Time{}
	}
	return l.restoredAt.Add(l.TTL)
}

// FirstEpoch returns the lowest epoch that is assigned since the last known restore.
func (l *Lease) FirstEpoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores*epochsPerRestore + 1
}

// AcquireOrRenew renews the lease, or takes it if its holder let it lapse. It returns the
// table service's error; a held lease then expires unless a later call renews it.
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
		return row{}, false // There was another restore in between; the next call reads its row.
	}
	now := l.Now()
	if l.nonce != "" && l.stillMine(now, current, at) {
		return row{Holder: l.Holder, Epoch: l.epoch, Nonce: l.Nonce(), TTL: l.TTL}, true
	}
	l.nonce = ""
	if !l.lapsed(now, current, at) {
		return row{}, false
	}
	epoch := max(current.Epoch, l.restores*epochsPerRestore) + 1
	return row{Holder: l.Holder, Epoch: epoch, Nonce: l.Nonce(), TTL: l.TTL}, true
}

// stillMine reports whether nobody can have taken the lease since its last renewal: the
// row shows that, or, if that was before a restore, it has not expired yet.
func (l *Lease) stillMine(now time.Time, current row, at revision.Revision) bool {
	if at.Restores != l.renewedAfter {
		return now.Before(l.until)
	}
	return current.Nonce == l.nonce
}

// lapsed reports whether another holder's lease has certainly expired: it was released,
// or its row stayed unchanged for its TTL and the margin, by this daemon's own clock.
// Without a row nobody holds the lease, except a holder from before a restore.
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
	return now.Sub(l.seenAt) >= current.TTL+l.Margin
}

func (l *Lease) write(ctx context.Context, next row, at revision.Revision, started time.Time) error {
	err := l.commit(ctx, next, at)
	if errors.Is(err, table.ErrOutcomeUnknown) {
		// The outcome is unknown; the nonce in the row shows it.
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
	l.nonce, l.renewedAfter, l.epoch = next.Nonce, at.Restores, next.Epoch
	l.until = started.Add(l.TTL)
	return nil
}

// Release releases the lease, so that a successor need not wait.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	nonce := l.nonce
	l.nonce = ""
	l.mu.Unlock()
	if nonce == "" {
		return nil
	}
	current, at, err := l.read(ctx)
	if err != nil || current.Nonce != nonce || at.Restores != l.knownRestores() {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.commit(ctx, row{Epoch: current.Epoch, Nonce: l.Nonce()}, at))
}

// key returns the key of the row that is used after a number of restores.
func (l *Lease) key(restores uint64) string {
	if restores == 0 {
		return "lease/" + l.Name
	}
	return fmt.Sprintf("lease/%s/%d", l.Name, restores)
}

// knownRestores returns the number of known restores of the table service.
func (l *Lease) knownRestores() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restores
}

// read reads the row that is used since the last known restore. If that is not the
// service's last one, the returned revision shows it, and the row must not be used.
func (l *Lease) read(ctx context.Context) (row, revision.Revision, error) {
	stored, err := l.Read(ctx, l.key(l.knownRestores()))
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
