package fingerprint_test

import (
	"testing"

	"github.com/thymewind/thymewind/fingerprint"
)

// TestOf checks that each field counts, and that fields do not run into each other.
func TestOf(t *testing.T) {
	same := fingerprint.Of("cafe", "POST", "h", "/a/b", []byte("body"))
	tests := []struct {
		name string
		sum  fingerprint.Sum
		want bool
	}{
		{"the same", fingerprint.Of("cafe", "POST", "h", "/a/b", []byte("body")), true},
		{"another account", fingerprint.Of("bistro", "POST", "h", "/a/b", []byte("body")), false},
		{"another method", fingerprint.Of("cafe", "PUT", "h", "/a/b", []byte("body")), false},
		{"another host", fingerprint.Of("cafe", "POST", "g", "/a/b", []byte("body")), false},
		{"another path", fingerprint.Of("cafe", "POST", "h", "/a/c", []byte("body")), false},
		{"another body", fingerprint.Of("cafe", "POST", "h", "/a/b", []byte("bodx")), false},
		{"a byte moved from the body to the path", fingerprint.Of("cafe", "POST", "h", "/a/bb", []byte("ody")), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.sum == same; got != tt.want {
				t.Errorf("the same: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestOfPart checks that an account can't have another's part mistaken for its own.
func TestOfPart(t *testing.T) {
	same := fingerprint.OfPart("cafe", "m", "p1")
	for _, other := range []fingerprint.Sum{fingerprint.OfPart("bistro", "m", "p1"), fingerprint.OfPart("cafe", "n", "p1"), fingerprint.OfPart("cafe", "m", "p2"), fingerprint.OfPart("cafem", "", "p1")} {
		if other == same {
			t.Error("two parts have the same fingerprint")
		}
	}
	if fingerprint.OfPart("cafe", "m", "p1") != same {
		t.Error("a part has two fingerprints")
	}
}

// TestParse checks that only the result of String is valid.
func TestParse(t *testing.T) {
	sum := fingerprint.Of("cafe", "GET", "h", "/", nil)
	tests := []struct {
		text string
		want bool
	}{
		{sum.String(), true},
		{"", false},
		{sum.String()[:30], false},
		{sum.String() + "00", false},
		{"not hexadecimal digits, though 32", false},
	}
	for _, tt := range tests {
		got, ok := fingerprint.Parse(tt.text)
		if ok != tt.want || ok && got != sum {
			t.Errorf("%q: %v, %v", tt.text, got, ok)
		}
	}
}

func BenchmarkOf(b *testing.B) {
	body := make([]byte, 2400)
	for b.Loop() {
		fingerprint.Of("cafe", "POST", "shop.example", "/ask/7", body)
	}
}
