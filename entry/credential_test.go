package entry

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
)

// TestCredentialAfterLostAnswer guards against a box that generates another credential for the
// boxes after a restore lost the one that it wrote, as it had not read that, or not received the
// answer to its write. Boxes that read the first one could not call the others any more.
func TestCredentialAfterLostAnswer(t *testing.T) {
	tests := []struct {
		name string
		// answers are the answers to the writes: nil means that it is known to be written.
		answers []error
	}{
		{"written, not read before the restore", []error{nil, nil}},
		{"the answer is lost", []error{errors.New("no answer"), nil}},
		{"two answers are lost", []error{errors.New("no answer"), errors.New("no answer"), nil}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.credential.Store(nil)
			var written []string
			d.Platform.Commit = func(_ context.Context, tx table.Transaction) error {
				answer := tt.answers[len(written)]
				written = append(written, string(tx.Put[0].Value))
				return answer
			}
			for range tt.answers {
				if err := d.createCredential(t.Context()); err != nil {
					t.Log(err)
				}
			}
			if len(slices.Compact(written)) != 1 {
				t.Errorf("different credentials were written: %v", written)
			}
			effects := d.rewriteCredential(1)
			if len(effects) != 1 || string(effects[0].(rewrite).tx.Put[0].Value) != written[0] {
				t.Errorf("after a restore %v is written, want %s", effects, written[0])
			}
		})
	}
}

// TestRowsOfEmptyService guards against a box that does not write its row again after a restore,
// as its first read found a table service to which nothing was written yet.
func TestRowsOfEmptyService(t *testing.T) {
	d := newDaemon("b1")
	d.update(start, ownRead{OwnRows{Snapshot: true}, false})
	effects := d.update(start, ownRead{OwnRows{Snapshot: true, Known: revision.Revision{Restores: 1}}, false})
	for _, e := range effects {
		if e, ok := e.(rewrite); ok && e.tx.Put[0].Key == d.ownRow().Key {
			return
		}
	}
	t.Errorf("the box's row is not written again: %v", effects)
}
