package readlimit

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestReadAll(t *testing.T) {
	tests := []struct {
		name          string
		bytes         int
		limit, budget int64
		want          error
	}{
		{"no bounds", 5000, 0, 0, nil},
		{"as long as the limit", 5000, 5000, 0, nil},
		{"longer than the limit", 5001, 5000, 0, ErrOverlong},
		{"all of the budget", 5000, 0, 5000, nil},
		{"more than the budget", 5001, 0, 5000, ErrBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := Budget{Bytes: tt.budget}
			got, err := b.ReadAll(strings.NewReader(strings.Repeat("x", tt.bytes)), tt.limit)
			if !errors.Is(err, tt.want) || err == nil && len(got) != tt.bytes {
				t.Errorf("%d bytes, %v; want %v", len(got), err, tt.want)
			}
			if b.Taken() != 0 {
				t.Errorf("%d bytes are still taken", b.Taken())
			}
		})
	}
}

// TestSharedBudget checks that answers that are read at the same time share the budget, and that one
// that fails returns its share.
func TestSharedBudget(t *testing.T) {
	b := Budget{Bytes: 100}
	held, release := io.Pipe()
	first := make(chan error)
	go func() {
		_, err := b.ReadAll(held, 0)
		first <- err
	}()
	if _, err := io.WriteString(release, strings.Repeat("x", 80)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(release, "x"); err != nil { // By now the first 80 are taken.
		t.Fatal(err)
	}
	if _, err := b.ReadAll(strings.NewReader(strings.Repeat("x", 30)), 0); !errors.Is(err, ErrBudget) {
		t.Errorf("the second one: %v", err)
	}
	if _, err := b.ReadAll(strings.NewReader("x"), 0); err != nil {
		t.Errorf("a short one: %v", err)
	}
	_ = release.Close()
	if err := <-first; err != nil {
		t.Errorf("the first one: %v", err)
	}
}
