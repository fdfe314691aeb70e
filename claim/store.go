package claim

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/table"
)

// maxGroup is the largest number of writes in one transaction.
const maxGroup = 200

// Store takes, releases and finishes claims. It batches writes: those that arrive
// while a transaction is in flight are committed together in the next one. Set
// the exported fields before Run.
type Store struct {
	Commit func(ctx context.Context, tx table.Transaction) error
	Read   func(ctx context.Context, key string) (table.Row, error)
	// Nonce returns a new nonce on each call.
	Nonce func() string
	Now   func() time.Time
	// Box is this box's name.
	Box string
	// Timeout bounds a transaction with the reads after a conflict, a Lookup, and
	// one pass over the orphans.
	Timeout time.Duration
	// OrphanTTL is for how long an insert with an unknown outcome is looked for, so
	// that its row is deleted. It must be longer than any transaction can be in
	// flight.
	OrphanTTL time.Duration

	once  sync.Once
	queue chan *write
	// orphans are claims whose row may exist though no request holds them.
	orphans chan *write
}

// write is one queued write of a row.
type write struct {
	key    string
	expect uint64
	// claim is the row to put; nil deletes it.
	claim  *Claim
	answer chan error
	// until is when to stop looking for an orphan.
	until time.Time
}

func (b *Store) start() {
	b.once.Do(func() {
		b.queue = make(chan *write, maxGroup)
		b.orphans = make(chan *write, 4096)
	})
}

// Run commits queued writes and deletes orphans until ctx ends. It finishes the
// group in progress before it returns.
func (b *Store) Run(ctx context.Context) {
	b.start()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var orphans []*write
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			for group := []*write{first}; len(group) > 0; {
				var next []*write
				group, next = b.collect(group)
				b.commitGroup(ctx, group)
				group = next
			}
		case w := <-b.orphans:
			orphans = append(orphans, w)
		case <-ticker.C:
			orphans = b.deleteOrphans(ctx, orphans)
		}
	}
}

// Take inserts a claim. The returned claim is the permission to dispatch. Take
// fails with *TakenError if the key is in use and with ErrDown if the table service
// does not answer. In both cases the request has not run.
func (b *Store) Take(ctx context.Context, c Claim) (Claim, error) {
	b.start()
	c.Nonce = b.Nonce()
	c.Box = b.Box
	c.At = b.Now()
	c.State = Running
	w := &write{key: rowKey(c.Account, c.Key), claim: &c, answer: make(chan error, 1)}
	err := b.submit(ctx, w)
	switch {
	case err == nil:
		return c, nil
	case trace.IsCompareFailed(err):
		return b.resolveConflict(ctx, w)
	case errors.Is(err, table.ErrOutcomeUnknown):
		return b.resolveUnknown(ctx, w)
	}
	return Claim{}, trace.Wrap(ErrDown, "%v", err)
}

// Lookup returns the stored claim of a key, or trace.NotFound.
func (b *Store) Lookup(ctx context.Context, account, key string) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	c, _, err := b.readClaim(ctx, rowKey(account, key))
	return c, trace.Wrap(err)
}

// resolveConflict returns the stored claim if it is this insert's own,
// else *TakenError.
func (b *Store) resolveConflict(ctx context.Context, w *write) (Claim, error) {
	stored, _, err := b.readClaim(ctx, w.key)
	if err != nil {
		return Claim{}, trace.Wrap(ErrDown, "%v", err)
	}
	if stored.Nonce == w.claim.Nonce {
		return stored, nil
	}
	return Claim{}, &TakenError{By: stored}
}

// resolveUnknown reads back an insert with an unknown outcome. One that is not
// visible may still arrive: Take fails at once, and the row becomes an orphan that
// is deleted when it appears.
func (b *Store) resolveUnknown(ctx context.Context, w *write) (Claim, error) {
	stored, _, err := b.readClaim(ctx, w.key)
	if err == nil && stored.Nonce == w.claim.Nonce {
		return stored, nil
	}
	if err == nil {
		return Claim{}, &TakenError{By: stored}
	}
	b.addOrphan(w)
	return Claim{}, trace.Wrap(ErrDown, "outcome of inserting row %s unknown", w.key)
}

func (b *Store) addOrphan(w *write) {
	w.until = b.Now().Add(b.OrphanTTL)
	select {
	case b.orphans <- w:
	default: // The queue is full. The key stays taken, which is safe.
	}
}

func (b *Store) readClaim(ctx context.Context, key string) (Claim, uint64, error) {
	row, err := b.Read(ctx, key)
	if err != nil {
		return Claim{}, 0, trace.Wrap(err)
	}
	var c Claim
	err = json.Unmarshal(row.Value, &c)
	return c, row.Revision, trace.Wrap(err)
}

// Release deletes a claim if its nonce still matches. Call it only if nothing can
// have been sent. If it fails, the key stays taken until the row is deleted as an
// orphan's.
func (b *Store) Release(ctx context.Context, c Claim) error {
	err := b.replace(ctx, c, nil)
	if err != nil {
		b.addOrphan(&write{key: rowKey(c.Account, c.Key), claim: &c})
	}
	return trace.Wrap(err)
}

// Finish stores the answer for callers that retry with the key.
func (b *Store) Finish(ctx context.Context, c Claim, answer Answer) error {
	done := c
	done.State = Done
	done.Answer = &answer
	return trace.Wrap(b.replace(ctx, c, &done))
}

// replace overwrites the row of a held claim, or deletes it if with is nil.
func (b *Store) replace(ctx context.Context, held Claim, with *Claim) error {
	key := rowKey(held.Account, held.Key)
	stored, revision, err := b.readClaim(ctx, key)
	if err != nil {
		return trace.Wrap(err)
	}
	if stored.Nonce != held.Nonce {
		return trace.CompareFailed("row %s holds the claim of request %s", key, stored.Request)
	}
	return b.submit(ctx, &write{key: key, expect: revision, claim: with, answer: make(chan error, 1)})
}

func (b *Store) submit(ctx context.Context, w *write) error {
	b.start()
	select {
	case b.queue <- w:
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "nothing was written")
	}
	select {
	case err := <-w.answer:
		return err
	case <-ctx.Done():
		return trace.Wrap(table.ErrOutcomeUnknown, "%v", ctx.Err())
	}
}
