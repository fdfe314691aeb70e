package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/table"
)

// control holds what a control test replaces.
type control struct {
	commit func(*fake.Table) func(context.Context, table.Transaction) error
}

var conditional = control{commit: func(t *fake.Table) func(context.Context, table.Transaction) error { return t.Commit }}

// Actions of a daemon that holds the claim.
const (
	sends = iota
	sendsLate
	diesBefore
	diesAfter
	releases
	actions
)

// history records the runs of one key.
type history struct {
	mu sync.Mutex
	// ran counts the runs on the target.
	ran int
}

// attempt makes one caller's attempt at one daemon.
func (h *history) attempt(store *claim.Store, digest string, action int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	held, err := store.Take(ctx, claim.Claim{Account: "a", Key: "k", Digest: digest, Request: "r"})
	if err != nil {
		return // Refused before anything was sent.
	}
	background := context.Background()
	switch action {
	case sends, sendsLate:
		if action == sendsLate {
			time.Sleep(45 * time.Second) // A daemon that is suspended while it holds the claim.
		}
		h.run()
		_ = store.Finish(background, held, claim.Answer{Status: 201})
	case diesAfter:
		h.run()
	case releases:
		_ = store.Release(background, held)
	}
}

func (h *history) run() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran++
}

// runs plays one generated history and returns how often the key ran.
func runs(t *testing.T, c control, daemons int, faults, steps []int) int {
	h := &history{}
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		rows := &fake.Table{Fault: (&fake.Script{Kinds: faults}).Draw}
		stores := make([]*claim.Store, daemons)
		var nonce int
		var mu sync.Mutex
		for i := range stores {
			stores[i] = &claim.Store{
				Commit: c.commit(rows), Read: rows.Read, Now: time.Now, Box: fmt.Sprint(i),
				Timeout: 2 * time.Second, OrphanTTL: 30 * time.Second,
				Nonce: func() string {
					mu.Lock()
					defer mu.Unlock()
					nonce++
					return fmt.Sprint(nonce)
				},
			}
			go stores[i].Run(ctx)
		}
		var callers sync.WaitGroup
		for i, action := range steps {
			callers.Go(func() {
				// Callers without an answer retry at any daemon.
				time.Sleep(time.Duration(i/3) * 10 * time.Second)
				h.attempt(stores[i%daemons], "same body", action%actions)
			})
		}
		callers.Wait()
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
	})
	return h.ran
}

func atMostOnce(t *testing.T, c control) gopter.Prop {
	return prop.ForAll(func(daemons int, faults, steps []int) bool {
		return runs(t, c, daemons, faults, steps) <= 1
	}, gen.IntRange(1, 4), gen.SliceOfN(9, gen.IntRange(0, int(fake.NumKinds)-1)), gen.SliceOfN(12, gen.IntRange(0, actions-1)))
}

func TestAtMostOneRun(t *testing.T) { proptest.Holds(t, atMostOnce(t, conditional)) }

func TestAtMostOneRunNeedsTheCondition(t *testing.T) {
	removed := control{commit: func(t *fake.Table) func(context.Context, table.Transaction) error { return t.Unconditional }}
	proptest.Violated(t, atMostOnce(t, removed))
}

// start returns a running Store over a fake table service.
func start(ctx context.Context, rows *fake.Table) *claim.Store {
	n := 0
	b := &claim.Store{
		Commit: rows.Commit, Read: rows.Read, Now: time.Now, Timeout: time.Second, OrphanTTL: time.Second,
		Nonce: func() string { n++; return fmt.Sprint(n) },
	}
	go b.Run(ctx)
	return b
}

// TestTakeAnswers checks the result of a second Take with the same key.
func TestTakeAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults []int
		// before is what the first holder does.
		before func(ctx context.Context, b *claim.Store, held claim.Claim) error
		// taken and down say which error the second Take returns, if any.
		taken, down bool
	}{
		{name: "running", taken: true},
		{name: "released", before: func(ctx context.Context, b *claim.Store, held claim.Claim) error {
			return b.Release(ctx, held)
		}},
		{name: "finished", taken: true, before: func(ctx context.Context, b *claim.Store, held claim.Claim) error {
			return b.Finish(ctx, held, claim.Answer{Status: 201})
		}},
		{name: "table service down", down: true, faults: []int{int(fake.Down)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				rows := &fake.Table{}
				b := start(ctx, rows)
				held, err := b.Take(ctx, claim.Claim{Account: "a", Key: "k"})
				if err != nil {
					t.Fatal(err)
				}
				if tt.before != nil {
					if err := tt.before(ctx, b, held); err != nil {
						t.Fatal(err)
					}
				}
				rows.Fault = (&fake.Script{Kinds: tt.faults}).Draw
				_, err = b.Take(ctx, claim.Claim{Account: "a", Key: "k"})
				var taken *claim.TakenError
				if errors.As(err, &taken) != tt.taken || errors.Is(err, claim.ErrDown) != tt.down {
					t.Errorf("Take = %v, want taken %v, down %v", err, tt.taken, tt.down)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestReleaseIsByNonce checks that a repeated release of a claim does not delete a
// later claim of the same key.
func TestReleaseIsByNonce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := start(ctx, &fake.Table{})
		first, _ := b.Take(ctx, claim.Claim{Account: "a", Key: "k"})
		if err := b.Release(ctx, first); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Take(ctx, claim.Claim{Account: "a", Key: "k"}); err != nil {
			t.Fatal(err)
		}
		if b.Release(ctx, first) == nil {
			t.Error("the first holder released the second one's claim")
		}
		time.Sleep(5 * time.Second)
		var taken *claim.TakenError
		if _, err := b.Take(ctx, claim.Claim{Account: "a", Key: "k"}); !errors.As(err, &taken) {
			t.Errorf("Take after a late release = %v, want the second claim to stand", err)
		}
		cancel()
		synctest.Wait()
	})
}
