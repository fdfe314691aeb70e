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

// maxGroup bounds the writes in one transaction.
const maxGroup = 200

// Book takes, releases and finishes claims. Writes that come while one
// transaction is in flight go together in the next. Set the exported fields
// before Run.
type Book struct {
	Commit func(ctx context.Context, tx table.Transaction) error
	Read   func(ctx context.Context, key string) (table.Row, error)
	// Nonce returns a new nonce each time.
	Nonce func() string
	Now   func() time.Time
	// Box is this box's name.
	Box string
	// Patience bounds how long one transaction and its reading back may take.
	Patience time.Duration
	// Forget is how long a claim whose insert was lost is looked for, to be
	// taken back. It is longer than any transaction can be under way.
	Forget time.Duration

	once    sync.Once
	waiting chan *write
	lost    chan *write
}

// write is one row to be written, with its answer.
type write struct {
	key    string
	expect uint64
	// claim is the row to put; nil deletes it.
	claim  *Claim
	answer chan error
	// until is when to stop looking for a lost insert.
	until time.Time
}

func (b *Book) start() {
	b.once.Do(func() {
		b.waiting = make(chan *write, maxGroup)
		b.lost = make(chan *write, 4096)
	})
}

// Run writes groups until ctx ends. It returns when the last one is written.
func (b *Book) Run(ctx context.Context) {
	b.start()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var orphans []*write
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.waiting:
			for group := []*write{first}; len(group) > 0; {
				var next []*write
				group, next = b.gather(group)
				b.group(ctx, group)
				group = next
			}
		case w := <-b.lost:
			orphans = append(orphans, w)
		case <-ticker.C:
			orphans = b.takeBack(ctx, orphans)
		}
	}
}

// Take inserts a claim. The claim it returns is the permission to dispatch.
// It fails with *Taken if the key is in use and with ErrDown if the table
// service does not answer; either way the request has not run.
func (b *Book) Take(ctx context.Context, c Claim) (Claim, error) {
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
		return b.taken(ctx, w)
	case errors.Is(err, table.ErrLost):
		return b.afterLost(ctx, w)
	}
	return Claim{}, trace.Wrap(ErrDown, "%v", err)
}

// Lookup returns the claim that stands for a key, or trace.NotFound.
func (b *Book) Lookup(ctx context.Context, account, key string) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, b.Patience)
	defer cancel()
	c, _, err := b.stored(ctx, rowKey(account, key))
	return c, trace.Wrap(err)
}

// taken finds out who has the claim.
func (b *Book) taken(ctx context.Context, w *write) (Claim, error) {
	stored, _, err := b.stored(ctx, w.key)
	if err != nil {
		return Claim{}, trace.Wrap(ErrDown, "%v", err)
	}
	if stored.Nonce == w.claim.Nonce {
		return stored, nil
	}
	return Claim{}, &Taken{By: stored}
}

// afterLost reads back an insert whose answer was lost. If it can't be seen it
// may still arrive, so it is looked for and taken back later; the permission
// is given up at once.
func (b *Book) afterLost(ctx context.Context, w *write) (Claim, error) {
	stored, _, err := b.stored(ctx, w.key)
	if err == nil && stored.Nonce == w.claim.Nonce {
		return stored, nil
	}
	if err == nil {
		return Claim{}, &Taken{By: stored}
	}
	b.abandon(w)
	return Claim{}, trace.Wrap(ErrDown, "the insert's answer was lost")
}

func (b *Book) abandon(w *write) {
	w.until = b.Now().Add(b.Forget)
	select {
	case b.lost <- w:
	default: // Too many; the key then stays taken, which is safe.
	}
}

func (b *Book) stored(ctx context.Context, key string) (Claim, uint64, error) {
	row, err := b.Read(ctx, key)
	if err != nil {
		return Claim{}, 0, trace.Wrap(err)
	}
	var c Claim
	err = json.Unmarshal(row.Value, &c)
	return c, row.Revision, trace.Wrap(err)
}

// Release takes a claim back by its exact nonce. Call it only if nothing can
// have been sent. If it fails the key stays taken and is looked after later.
func (b *Book) Release(ctx context.Context, c Claim) error {
	err := b.replace(ctx, c, nil)
	if err != nil {
		b.abandon(&write{key: rowKey(c.Account, c.Key), claim: &c})
	}
	return trace.Wrap(err)
}

// Finish stores the answer for callers that ask again.
func (b *Book) Finish(ctx context.Context, c Claim, answer Answer) error {
	done := c
	done.State = Done
	done.Answer = &answer
	return trace.Wrap(b.replace(ctx, c, &done))
}

// replace writes over the row of the claim held, or deletes it.
func (b *Book) replace(ctx context.Context, held Claim, with *Claim) error {
	key := rowKey(held.Account, held.Key)
	stored, revision, err := b.stored(ctx, key)
	if err != nil {
		return trace.Wrap(err)
	}
	if stored.Nonce != held.Nonce {
		return trace.CompareFailed("the claim is another's")
	}
	return b.submit(ctx, &write{key: key, expect: revision, claim: with, answer: make(chan error, 1)})
}

func (b *Book) submit(ctx context.Context, w *write) error {
	b.start()
	select {
	case b.waiting <- w:
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "nothing was written")
	}
	select {
	case err := <-w.answer:
		return err
	case <-ctx.Done():
		return trace.Wrap(table.ErrLost, "%v", ctx.Err())
	}
}
