package prefix_test

import (
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/prefix"
)

type scope func(account, version string) prefix.Key

// keysIsolated checks that different pairs of account and version share no key, and
// that equal prefixes of one pair share all keys.
func keysIsolated(s scope) gopter.Prop {
	return prop.ForAll(func(a, b, v, w, text, tail string) bool {
		prompt := []byte(text + "the same menu for everybody, long enough for a few pieces")
		one := prefix.Chain(s(a, v), prompt, 16)
		two := prefix.Chain(s(b, w), prompt, 16)
		if a == b && v == w {
			return slices.Equal(one, two)
		}
		for _, key := range one {
			if slices.Contains(two, key) {
				return false
			}
		}
		longer := prefix.Chain(s(a, v), append(prompt, tail...), 16)
		return slices.Equal(one, longer[:len(one)])
	}, gen.OneConstOf("a", "b", "ab", "menu"), gen.OneConstOf("a", "b", "ab", "menu"),
		gen.OneConstOf("bc", "c", "v1", "v2"), gen.OneConstOf("bc", "c", "v1", "v2"), gen.AlphaString(), gen.AlphaString())
}

func TestKeysIsolated(t *testing.T) { proptest.Holds(t, keysIsolated(prefix.Scope)) }

func TestKeysIsolatedNeedsTheAccount(t *testing.T) {
	proptest.Violated(t, keysIsolated(func(_, version string) prefix.Key { return prefix.Scope("", version) }))
}

func TestKeysIsolatedNeedsTheVersion(t *testing.T) {
	proptest.Violated(t, keysIsolated(func(account, _ string) prefix.Key { return prefix.Scope(account, "") }))
}

func TestHome(t *testing.T) {
	s := prefix.Scope("a", "v")
	tests := []struct {
		name  string
		a, b  string
		equal bool
	}{
		{"same first piece", "0123456789abcdef and one", "0123456789abcdef and two", true},
		{"different first piece", "0123456789abcdef", "0123456789abcdeX", false},
		{"short and equal", "short", "short", true},
		{"short and different", "short", "shorT", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := prefix.Home(s, []byte(tt.a), 16) == prefix.Home(s, []byte(tt.b), 16); got != tt.equal {
				t.Errorf("equal homes: %v, want %v", got, tt.equal)
			}
		})
	}
}
