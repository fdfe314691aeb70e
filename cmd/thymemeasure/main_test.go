package main

import (
	"strings"
	"testing"
)

// TestCheckRefusesUnknownNames refuses words that mean nothing.
func TestCheckRefusesUnknownNames(t *testing.T) {
	tests := []struct {
		name                        string
		words                       []string
		deployments, policy, faults string
		// says is a part of the error, empty for none.
		says string
	}{
		{"nothing", nil, "", "", "", ""},
		{"what there is", nil, "sonora,lutong-bahay", "ours", "none,list-lags", ""},
		{"a word", []string{"fleet"}, "", "", "", "no flag"},
		{"an unknown deployment", nil, "sonora,x", "", "", "lutong-bahay"},
		{"an unknown policy", nil, "", "best", "", "round-robin"},
		{"an unknown fault", nil, "", "", "all", "store-dead"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := check(tt.words, choices(tt.deployments, tt.policy, tt.faults))
			if (err != nil) != (tt.says != "") || err != nil && !strings.Contains(err.Error(), tt.says) {
				t.Errorf("got %v", err)
			}
		})
	}
}
