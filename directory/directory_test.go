package directory_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/directory"
)

func TestLeadingParts(t *testing.T) {
	start := time.Unix(0, 0)
	keys := []directory.Key{directory.KeyOf("m@1", "a"), directory.KeyOf("m@1", "b"), directory.KeyOf("m@1", "c")}
	tests := []struct {
		name   string
		change func(d *directory.Directory)
		want   int
		whole  bool
	}{
		{"reported", func(*directory.Directory) {}, 2, true},
		{"another scope is another part", func(d *directory.Directory) { d.Add("e", directory.KeyOf("m@2", "c"), 5) }, 2, true},
		{"dropped first part", func(d *directory.Directory) { d.Remove("e", keys[0]) }, 0, false},
		{"expected parts count as leading, not as held", func(d *directory.Directory) { d.Expect("e", keys[2], 30, start.Add(time.Second)) }, 3, true},
		{"expectation expired", func(d *directory.Directory) { d.Expect("e", keys[2], 30, start) }, 2, true},
		{"new epoch", func(d *directory.Directory) { d.Connected("e", 8) }, 0, false},
		{"disconnected", func(d *directory.Directory) { d.Disconnected("e") }, 0, false},
		{"disconnected and connected again", func(d *directory.Directory) { d.Disconnected("e"); d.Connected("e", 7) }, 2, true},
		{"gone", func(d *directory.Directory) { d.Forget("e") }, 0, false},
		{"reported again after a clear", func(d *directory.Directory) { d.Clear("e"); d.Add("e", keys[0], 5) }, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := directory.New()
			d.Connected("e", 7)
			d.Add("e", keys[0], 10)
			d.Add("e", keys[1], 20)
			tt.change(d)
			if got := d.LeadingParts("e", keys, start); got != tt.want {
				t.Errorf("LeadingParts = %d, want %d", got, tt.want)
			}
			if got := d.Has("e", keys[0]); got != tt.whole {
				t.Errorf("Has = %v, want %v", got, tt.whole)
			}
			if d.Has("e", keys[2]) {
				t.Error("an expected part counts as held")
			}
		})
	}
}

func TestTokens(t *testing.T) {
	d := directory.New()
	d.Connected("s", 1)
	d.Add("s", 1, 10)
	d.Add("s", 1, 12)
	d.Add("s", 2, 5)
	d.Remove("s", 2)
	d.Remove("s", 3)
	if got := d.Tokens("s"); got != 16 {
		t.Errorf("Tokens = %d, want one block", got)
	}
	start := time.Unix(0, 0)
	d.Expect("s", 5, 40, start.Add(time.Second))
	d.Expect("s", 6, 16, start.Add(time.Minute))
	if got := d.Tokens("s"); got != 16+48+16 {
		t.Errorf("Tokens = %d with expected parts", got)
	}
	d.Expire(start.Add(2 * time.Second))
	d.Add("s", 6, 17)
	if got := d.Tokens("s"); got != 16+32 {
		t.Errorf("Tokens = %d after one was reported and one expired", got)
	}
	d.Clear("s")
	if got := d.Tokens("s"); got != 0 {
		t.Errorf("Tokens = %d after a clear", got)
	}
	if got := d.Tokens("unknown"); got != 0 {
		t.Errorf("Tokens of an unknown source = %d", got)
	}
}

func TestIsConnected(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *directory.Directory)
		want   bool
	}{
		{"never", func(*directory.Directory) {}, false},
		{"only expected", func(d *directory.Directory) { d.Expect("e", 1, 5, time.Unix(9, 0)) }, false},
		{"connected", func(d *directory.Directory) { d.Connected("e", 0) }, true},
		{"disconnected", func(d *directory.Directory) { d.Connected("e", 0); d.Disconnected("e") }, false},
		{"gone", func(d *directory.Directory) { d.Connected("e", 0); d.Forget("e") }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := directory.New()
			tt.change(d)
			if got := d.IsConnected("e"); got != tt.want {
				t.Errorf("IsConnected = %v, want %v", got, tt.want)
			}
		})
	}
}
