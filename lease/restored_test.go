package lease_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/lease"
	"github.com/thymewind/thymewind/table"
)

// oneHolderRestored is oneHolder while the table is restored from copies some seconds
// old, in which renewals, another holder or the lease's row may be missing.
func oneHolderRestored(t *testing.T, read func(*fake.Table) func(context.Context, string) (table.Row, error)) gopter.Prop {
	return prop.ForAll(func(faults, freezes, ages []int) bool {
		check := &checker{acting: make(map[int]uint64)}
		synctest.Test(t, func(*testing.T) {
			rows := &fake.Table{Fault: (&fake.Script{Kinds: faults}).Draw}
			began := time.Now()
			var boxes sync.WaitGroup
			for box := range 3 {
				rate := 1 + float64(box-1)/100
				n := 0
				l := &lease.Lease{
					Name: "orders", Holder: fmt.Sprint(box), TTL: 6 * time.Second, Margin: time.Second,
					Commit: rows.Commit, Read: read(rows),
					Nonce: func() string { n++; return fmt.Sprint(box, "-", n) },
					Now:   func() time.Time { return began.Add(time.Duration(float64(time.Since(began)) * rate)) },
				}
				boxes.Go(func() { run(l, box, check, freezes) })
			}
			boxes.Go(func() { restore(rows, ages) })
			boxes.Wait()
		})
		return !check.wrong
	}, gen.SliceOfN(11, gen.IntRange(0, int(fake.NumKinds)-1)), gen.SliceOfN(40, gen.IntRange(0, 30)), gen.SliceOfN(6, gen.IntRange(0, 9)))
}

// restore restores a table from copies of the given ages, in seconds, one after another.
func restore(rows *fake.Table, ages []int) {
	first := rows.Snapshot()
	for i, age := range ages {
		time.Sleep(time.Duration(3+7*i%11) * time.Second)
		copied := rows.Snapshot()
		if i == 0 {
			copied = first
		}
		time.Sleep(time.Duration(age)*time.Second + 150*time.Millisecond)
		rows.Restore(copied)
	}
}

// TestOneHolderRestored guards against two holders, or a fencing token assigned twice,
// when a restored table service has lost renewals of the lease or its row.
func TestOneHolderRestored(t *testing.T) {
	proptest.Holds(t, oneHolderRestored(t, func(t *fake.Table) func(context.Context, string) (table.Row, error) { return t.Read }))
}

func TestOneHolderRestoredNeedsTheCount(t *testing.T) {
	proptest.Violated(t, oneHolderRestored(t, func(t *fake.Table) func(context.Context, string) (table.Row, error) {
		return func(ctx context.Context, key string) (table.Row, error) {
			row, err := t.Read(ctx, key)
			row.Restores = 0
			return row, err
		}
	}))
}
