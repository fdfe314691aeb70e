package hop_test

import (
	"maps"
	"net/http"
	"slices"
	"testing"

	"github.com/thymewind/thymewind/hop"
)

func TestStrip(t *testing.T) {
	tests := []struct {
		name string
		in   http.Header
		want []string
	}{
		{"end-to-end headers stay", http.Header{"Content-Type": {"a"}, "Keep-Alive": {"timeout=5"}}, []string{"Content-Type"}},
		{"listed headers are removed", http.Header{"Connection": {"close, X-Mine", "x-other"}, "X-Mine": {"1"}, "X-Other": {"2"}, "X-Kept": {"3"}}, []string{"X-Kept"}},
		{"no headers", http.Header{}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hop.Strip(tt.in)
			if got := slices.Sorted(maps.Keys(tt.in)); !slices.Equal(got, tt.want) {
				t.Errorf("left %v, want %v", got, tt.want)
			}
		})
	}
}
