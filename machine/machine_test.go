package machine

import "testing"

// TestLower guards against a limit of a control group that is passed over, or taken for one where
// there is none.
func TestLower(t *testing.T) {
	tests := []struct {
		name   string
		memory int64
		limit  string
		want   int64
	}{
		{"no limit", 1 << 30, "max\n", 1 << 30},
		{"lower", 1 << 30, "1048576\n", 1 << 20},
		{"higher", 1 << 30, "9223372036854771712\n", 1 << 30},
		{"unknown machine", 0, "1048576\n", 1 << 20},
		{"nothing", 1 << 30, "", 1 << 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := lower(tt.memory, tt.limit); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestLimits guards against a machine that is unknown.
func TestLimits(t *testing.T) {
	if memory, descriptors := Limits(); memory < 64<<20 || descriptors < 64 {
		t.Errorf("%d bytes, %d descriptors", memory, descriptors)
	}
}
