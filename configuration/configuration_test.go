package configuration_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/table"
)

type commit func(context.Context, table.Transaction) error

// input is one operation on the configuration; weight is zero for a read.
type input struct{ revision, weight int }

// output is the result of an operation; an unknown one may or may not have been applied.
type output struct {
	accepted, unknown bool
	revision, weight  int
}

// state is the configuration in the model.
type state struct{ revision, weight int }

// register is the model: a change is accepted only for the current revision, and a read
// returns the last accepted change.
var register = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, in, out any) (bool, any) {
		now, i, o := s.(state), in.(input), out.(output)
		switch {
		case i.weight == 0:
			return o.revision == now.revision && o.weight == now.weight, now
		case o.accepted:
			return now.revision == i.revision, state{now.revision + 1, i.weight}
		case o.unknown && now.revision == i.revision:
			return true, state{now.revision + 1, i.weight}
		}
		return true, now
	},
}

func change(weight int) configuration.Change {
	after, _ := json.Marshal(account.Account{Name: "a", Weight: weight})
	return configuration.Change{
		ID: fmt.Sprint(weight), Entries: []configuration.Entry{{Kind: configuration.KindAccount, Name: "a", After: after}},
	}
}

// linear lets operators race through a lossy table service and checks that the history
// is linearizable.
func linear(t *testing.T, commitOf func(*fake.Table) commit) gopter.Prop {
	return prop.ForAll(func(faults []int) bool {
		var events []porcupine.Operation
		synctest.Test(t, func(*testing.T) {
			rows := &fake.Table{Fault: (&fake.Script{Kinds: faults}).Draw}
			r := configuration.Rows{Commit: commitOf(rows), Read: rows.Read, List: rows.List, ListAll: rows.ListAll, Wait: pause}
			began := time.Now()
			var mu sync.Mutex
			var operators sync.WaitGroup
			for client := range 3 {
				operators.Go(func() {
					for turn := range 4 {
						op := operate(r, client, turn, began)
						mu.Lock()
						events = append(events, op...)
						mu.Unlock()
					}
				})
			}
			operators.Wait()
			rows.Fault = nil
			call := time.Since(began)
			if c, err := r.Load(context.Background()); err == nil {
				events = append(events, porcupine.Operation{
					ClientId: 9, Call: int64(call), Return: int64(call) + 1, Input: input{},
					Output: output{revision: int(c.Revision), weight: c.Accounts["a"].Weight},
				})
			}
		})
		return porcupine.CheckOperations(register, events)
	}, gen.SliceOfN(17, gen.IntRange(0, int(fake.NumKinds)-1)))
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// operate reads the configuration and submits one change to it.
func operate(r configuration.Rows, client, turn int, began time.Time) []porcupine.Operation {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	time.Sleep(time.Duration(client) * time.Millisecond)
	current, err := r.Load(ctx)
	if err != nil {
		return nil
	}
	time.Sleep(10 * time.Millisecond)
	weight := 10*client + turn + 1
	call := time.Since(began)
	_, err = r.Submit(ctx, current, change(weight))
	out := output{accepted: err == nil, unknown: errors.Is(err, configuration.ErrUnknown)}
	ended := time.Since(began)
	if out.unknown {
		ended = time.Hour
	}
	return []porcupine.Operation{{
		ClientId: client + 10*turn, Call: int64(call), Return: int64(ended),
		Input: input{int(current.Revision), weight}, Output: out,
	}}
}

func TestAcceptedNeverReverts(t *testing.T) {
	proptest.Holds(t, linear(t, func(t *fake.Table) commit { return t.Commit }))
}

func TestAcceptedNeverRevertsNeedsTheCondition(t *testing.T) {
	proptest.Violated(t, linear(t, func(t *fake.Table) commit { return t.Unconditional }))
}

// TestSnapshotAndDeltas checks a load during which a change is accepted.
func TestSnapshotAndDeltas(t *testing.T) {
	rows := &fake.Table{}
	r := configuration.Rows{Commit: rows.Commit, Read: rows.Read, List: rows.List, Wait: pause}
	current := &configuration.Configuration{}
	ctx := context.Background()
	submit := func(weight int) {
		next, err := r.Submit(ctx, current, change(weight))
		if err != nil {
			t.Fatal(err)
		}
		current = next
	}
	submit(1)
	r.ListAll = func(ctx context.Context, prefix string) ([]table.Row, error) {
		all, err := rows.ListAll(ctx, prefix)
		submit(2) // Between the snapshot and the deltas.
		return all, err
	}
	loaded, err := r.Load(ctx)
	if err != nil || loaded.Revision != 2 || loaded.Accounts["a"].Weight != 2 {
		t.Errorf("loaded %+v, %v, want revision 2", loaded, err)
	}
}

func TestApplyFindings(t *testing.T) {
	entry := func(kind, name, after string) configuration.Entry {
		return configuration.Entry{Kind: kind, Name: name, After: json.RawMessage(after)}
	}
	tests := []struct {
		name    string
		entries []configuration.Entry
		want    []string
	}{
		{"bad account", []configuration.Entry{entry("account", "a", `{"name":"a","weight":0,"concurrency":-1}`)}, []string{"weight", "limits"}},
		{"another name", []configuration.Entry{entry("account", "a", `{"name":"b","weight":1}`)}, []string{`named "b"`}},
		{"unknown kind", []configuration.Entry{entry("zone", "z", `{}`)}, []string{"unknown kind"}},
		{"model without pool", []configuration.Entry{entry("model", "m", `{"name":"m","pool":"p"}`)}, []string{"no pool"}},
		{"pool", []configuration.Entry{entry("pool", "p", `{"name":"p","kind":"model"}`)}, []string{"weights", "piece_bytes", "concurrency"}},
		{"remove what is not there", []configuration.Entry{{Kind: "account", Name: "x"}}, []string{"none to remove"}},
		{"not JSON of the kind", []configuration.Entry{entry("account", "a", `[]`)}, []string{"account a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := (&configuration.Configuration{}).Apply(configuration.Change{Revision: 1, Entries: tt.entries})
			if err == nil {
				t.Fatal("accepted")
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q lacks %q", err, want)
				}
			}
		})
	}
}
