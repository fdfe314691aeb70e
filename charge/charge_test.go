package charge_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/charge"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/stream"
	"github.com/thymewind/thymewind/table"
)

type commit func(context.Context, table.Transaction) error

// Actions of a daemon.
const (
	adds = iota
	flushes
	applies
	dies
	steps
)

// play runs a generated history on three daemons and returns how many requests
// were charged, how many ran, and how many were lost when a daemon ended before
// it wrote their charges.
func play(commitOf func(*fake.Table) commit, faults, actions []int) (charged, ran, lost int) {
	rows := &fake.Table{Fault: (&fake.Script{Kinds: faults}).Draw}
	ctx := context.Background()
	incarnation := 0
	start := func() *charge.Ledger {
		incarnation++
		return &charge.Ledger{
			Incarnation: fmt.Sprint(incarnation), Commit: commitOf(rows), Read: rows.Read, ListAll: rows.ListAll,
			MaxAccounts: 100, OnLost: func(int) {},
		}
	}
	ledgers := []*charge.Ledger{start(), start(), start()}
	unwritten := make([]int, len(ledgers))
	for i, action := range actions {
		at := i % len(ledgers)
		switch action {
		case adds:
			ledgers[at].Add("a", stream.Usage{Prompt: 10, Completion: 1})
			ran++
			unwritten[at]++
		case flushes:
			if ledgers[at].Flush(ctx) == nil {
				unwritten[at] = 0
			}
		case applies:
			_, _ = ledgers[at].Apply(ctx)
		case dies:
			lost += unwritten[at]
			unwritten[at] = 0
			ledgers[at] = start()
		}
	}
	rows.Fault = nil
	for _, l := range ledgers {
		_ = l.Flush(ctx)
	}
	for range 3 {
		_, _ = ledgers[0].Apply(ctx)
	}
	sums, _ := ledgers[0].Sums(ctx)
	return sums["a"].Requests, ran, lost
}

// chargedOnce checks that every request that ran is charged exactly once, except
// that charges may be lost with their daemon.
func chargedOnce(commitOf func(*fake.Table) commit) gopter.Prop {
	return prop.ForAll(func(faults, actions []int) bool {
		charged, ran, lost := play(commitOf, faults, actions)
		return charged <= ran && charged >= ran-lost
	}, gen.SliceOfN(13, gen.IntRange(0, int(fake.NumKinds)-1)), gen.SliceOfN(60, gen.IntRange(0, steps-1)))
}

func TestChargedOnce(t *testing.T) {
	proptest.Holds(t, chargedOnce(func(t *fake.Table) commit { return t.Commit }))
}

func TestChargedOnceNeedsTheConditions(t *testing.T) {
	proptest.Violated(t, chargedOnce(func(t *fake.Table) commit { return t.Unconditional }))
}

func TestFullBufferIsCounted(t *testing.T) {
	lost := 0
	l := charge.Ledger{MaxAccounts: 2, OnLost: func(n int) { lost += n }}
	for i := range 5 {
		l.Add(fmt.Sprint(i), stream.Usage{})
	}
	if lost != 3 || l.Pending() != 2 {
		t.Errorf("lost %d, pending %d, want 3 and 2", lost, l.Pending())
	}
}

// lateCopy writes a batch whose first copy is delayed: the batch is written again
// and applied before the first copy arrives. It returns the requests charged for
// the one that ran.
func lateCopy(t *testing.T, commitOf func(*fake.Table) commit) int {
	t.Helper()
	rows := &fake.Table{Fault: func() fake.Kind { return fake.None }}
	l := &charge.Ledger{
		Incarnation: "1", Commit: commitOf(rows), Read: rows.Read, ListAll: rows.ListAll, MaxAccounts: 9, OnLost: func(int) {},
	}
	ctx := t.Context()
	l.Add("a", stream.Usage{Prompt: 10})
	// The read of the head succeeds, the write is delayed.
	calls := 0
	rows.Fault = func() fake.Kind {
		calls++
		if calls == 2 {
			return fake.Late
		}
		return fake.None
	}
	if l.Flush(ctx) == nil {
		t.Fatal("the flush succeeded, want its answer lost")
	}
	rows.Fault = nil
	if err := l.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	for range 6 { // The delayed copy arrives during one of these rounds.
		if _, err := l.Apply(ctx); err != nil {
			t.Fatal(err)
		}
		if err := rows.Commit(ctx, table.Transaction{}); err != nil {
			t.Fatal(err)
		}
	}
	sums, err := l.Sums(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return sums["a"].Requests
}

func TestLateCopyIsNotCharged(t *testing.T) {
	if got := lateCopy(t, func(t *fake.Table) commit { return t.Commit }); got != 1 {
		t.Errorf("%d requests were charged, want 1", got)
	}
}

func TestLateCopyIsNotChargedNeedsTheConditions(t *testing.T) {
	if got := lateCopy(t, func(t *fake.Table) commit { return t.Unconditional }); got == 1 {
		t.Error("without the conditions nothing was charged twice, so the test proves nothing")
	}
}
