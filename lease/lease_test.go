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

// safeguards are replaced one by one in the tests that show that each is needed.
type safeguards struct {
	commit func(*fake.Table) func(context.Context, table.Transaction) error
	read   func(*fake.Table) func(context.Context, string) (table.Row, error)
	// margin is the lease's.
	margin time.Duration
}

var inForce = safeguards{
	commit: func(t *fake.Table) func(context.Context, table.Transaction) error { return t.Commit },
	read:   func(t *fake.Table) func(context.Context, string) (table.Row, error) { return t.Read },
	margin: time.Second,
}

// checker detects two boxes that act under the lease at once, or under one epoch, or
// under a falling epoch.
type checker struct {
	mu     sync.Mutex
	acting map[int]uint64
	epoch  uint64
	// holders are the boxes that acted under each epoch.
	holders map[uint64]int
	wrong   bool
}

func (check *checker) observe(box int, epoch uint64, held bool) {
	check.mu.Lock()
	defer check.mu.Unlock()
	delete(check.acting, box)
	if !held {
		return
	}
	check.acting[box] = epoch
	if check.holders == nil {
		check.holders = make(map[uint64]int)
	}
	if other, known := check.holders[epoch]; known && other != box {
		check.wrong = true
	}
	check.holders[epoch] = box
	if len(check.acting) > 1 || epoch < check.epoch {
		check.wrong = true
	}
	check.epoch = max(check.epoch, epoch)
}

// oneHolder has boxes step and freeze as generated. Each box's clock runs up to 1% fast
// or slow.
func oneHolder(t *testing.T, c safeguards) gopter.Prop {
	return prop.ForAll(func(faults, freezes []int) bool {
		check := &checker{acting: make(map[int]uint64)}
		synctest.Test(t, func(*testing.T) {
			rows := &fake.Table{Fault: (&fake.Script{Kinds: faults}).Draw}
			began := time.Now()
			var boxes sync.WaitGroup
			for box := range 3 {
				rate := 1 + float64(box-1)/100
				n := 0
				l := &lease.Lease{
					Name: "orders", Holder: fmt.Sprint(box), TTL: 6 * time.Second, Margin: c.margin,
					Commit: c.commit(rows), Read: c.read(rows),
					Nonce: func() string { n++; return fmt.Sprint(box, "-", n) },
					Now:   func() time.Time { return began.Add(time.Duration(float64(time.Since(began)) * rate)) },
				}
				boxes.Go(func() { run(l, box, check, freezes) })
			}
			boxes.Wait()
		})
		return !check.wrong
	}, gen.SliceOfN(11, gen.IntRange(0, int(fake.NumKinds)-1)), gen.SliceOfN(40, gen.IntRange(0, 30)))
}

// run steps one box's lease. A freeze lies between a step and the next use of the lease;
// a frozen box does not act.
func run(l *lease.Lease, box int, check *checker, freezes []int) {
	for i, freeze := range freezes {
		if l.Due() {
			_ = l.AcquireOrRenew(context.Background())
		}
		epoch, _, held := l.Held()
		check.observe(box, epoch, held)
		time.Sleep(300 * time.Millisecond)
		epoch, _, held = l.Held()
		check.observe(box, epoch, held)
		if (i+box)%4 == 0 {
			check.observe(box, 0, false)
			time.Sleep(time.Duration(freeze) * time.Second)
		}
	}
	check.observe(box, 0, false)
}

func TestOneHolder(t *testing.T) { proptest.Holds(t, oneHolder(t, inForce)) }

func TestOneHolderNeedsTheCondition(t *testing.T) {
	removed := inForce
	removed.commit = func(t *fake.Table) func(context.Context, table.Transaction) error { return t.Unconditional }
	proptest.Violated(t, oneHolder(t, removed))
}

func TestOneHolderNeedsTheSuccessorsWait(t *testing.T) {
	removed := inForce
	removed.read = func(t *fake.Table) func(context.Context, string) (table.Row, error) {
		return func(ctx context.Context, key string) (table.Row, error) {
			row, err := t.Read(ctx, key)
			// Control: treat every lease as released.
			row.Value = []byte(`{"epoch":1,"nonce":"any"}`)
			return row, err
		}
	}
	proptest.Violated(t, oneHolder(t, removed))
}

func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &fake.Table{}
		n := 0
		box := func(name string) *lease.Lease {
			return &lease.Lease{
				Name: "charges", Holder: name, TTL: 6 * time.Second, Margin: time.Second, Commit: rows.Commit, Read: rows.Read,
				Nonce: func() string { n++; return fmt.Sprint(n) }, Now: time.Now,
			}
		}
		first, second := box("a"), box("b")
		ctx := context.Background()
		if err := first.AcquireOrRenew(ctx); err != nil {
			t.Fatal(err)
		}
		if err := second.AcquireOrRenew(ctx); err != nil {
			t.Fatal(err)
		}
		if _, _, ok := second.Held(); ok {
			t.Error("two hold the lease")
		}
		if err := first.Release(ctx); err != nil {
			t.Fatal(err)
		}
		if err := second.AcquireOrRenew(ctx); err != nil {
			t.Fatal(err)
		}
		epoch, _, ok := second.Held()
		if !ok || epoch != 2 {
			t.Errorf("after a release: epoch %d, held %v, want 2 and true at once", epoch, ok)
		}
	})
}
