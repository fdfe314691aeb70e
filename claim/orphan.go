package claim

import (
	"context"

	"github.com/thymewind/thymewind/table"
)

// takeBack deletes rows of abandoned claims and returns those still sought.
func (b *Book) takeBack(ctx context.Context, orphans []*write) []*write {
	ctx, cancel := context.WithTimeout(ctx, b.Patience)
	defer cancel()
	left := orphans[:0:0]
	for _, w := range orphans {
		if !b.takeBackOne(ctx, w) && b.Now().Before(w.until) {
			left = append(left, w)
		}
	}
	return left
}

// takeBackOne says whether the row is certain to be gone.
func (b *Book) takeBackOne(ctx context.Context, w *write) bool {
	stored, revision, err := b.stored(ctx, w.key)
	if err != nil || stored.Nonce != w.claim.Nonce {
		return false
	}
	err = b.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: w.key, Revision: revision}},
		Delete: []string{w.key},
	})
	return err == nil
}
