package claim

import (
	"context"

	"github.com/thymewind/thymewind/table"
)

// deleteOrphans deletes the rows of orphans that have appeared and returns the
// orphans to look for again.
func (b *Store) deleteOrphans(ctx context.Context, orphans []*write) []*write {
	ctx, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	left := orphans[:0:0]
	for _, w := range orphans {
		if !b.deleteOrphan(ctx, w) && b.Now().Before(w.until) {
			left = append(left, w)
		}
	}
	return left
}

// deleteOrphan reports whether the orphan's row was found and deleted.
func (b *Store) deleteOrphan(ctx context.Context, w *write) bool {
	stored, revision, err := b.readClaim(ctx, w.key)
	if err != nil || stored.Nonce != w.claim.Nonce {
		return false
	}
	err = b.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: w.key, Revision: revision}},
		Delete: []string{w.key},
	})
	return err == nil
}
