package revision_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/thymewind/thymewind/revision"
)

func TestCompare(t *testing.T) {
	tests := []struct {
		name string
		a, b revision.Revision
		want int
	}{
		{"both zero", revision.Revision{}, revision.Revision{}, 0},
		{"same", revision.Revision{Restores: 2, Number: 7}, revision.Revision{Restores: 2, Number: 7}, 0},
		{"later", revision.Revision{Restores: 2, Number: 8}, revision.Revision{Restores: 2, Number: 7}, 1},
		{"earlier", revision.Revision{Number: 6}, revision.Revision{Number: 7}, -1},
		{"lower after a restore", revision.Revision{Restores: 3, Number: 1}, revision.Revision{Restores: 2, Number: 700}, 1},
		{"the same number before a restore", revision.Revision{Restores: 1, Number: 7}, revision.Revision{Restores: 2, Number: 7}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.a.Compare(tt.b); got != tt.want {
				t.Errorf("%v compared with %v: %d, want %d", tt.a, tt.b, got, tt.want)
			}
			if got := tt.a.After(tt.b); got != (tt.want > 0) {
				t.Errorf("%v after %v: %v", tt.a, tt.b, got)
			}
			if got := revision.Max(tt.a, tt.b); got.Compare(tt.a) < 0 || got.Compare(tt.b) < 0 {
				t.Errorf("%v is the later one of %v and %v", got, tt.a, tt.b)
			}
		})
	}
}

// TestEncoding checks that a revision is unchanged by encoding and that a zero one takes
// no bytes.
func TestEncoding(t *testing.T) {
	type message struct {
		Known revision.Revision `cbor:"1,keyasint,omitempty"`
	}
	sent := message{Known: revision.Revision{Restores: 2, Number: 70000}}
	wire, err := cbor.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got message
	if err := cbor.Unmarshal(wire, &got); err != nil || got != sent {
		t.Errorf("sent %v, got %v, %v", sent, got, err)
	}
	empty, err := cbor.Marshal(message{})
	if err != nil || len(empty) != 1 {
		t.Errorf("a zero revision takes %d bytes, %v", len(empty), err)
	}
}
