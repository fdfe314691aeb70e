package main

import (
	"strings"
	"testing"
)

// TestCheckRefusesUnknownNames checks that arguments and unknown names are refused, with the
// known names.
func TestCheckRefusesUnknownNames(t *testing.T) {
	tests := []struct {
		name                        string
		arguments                   []string
		deployments, policy, faults string
		// want is a part of the error, empty for none.
		want string
	}{
		{"nothing", nil, "", "", "", ""},
		{"known names", nil, "sonora,lutong-bahay", "ours", "none,list-lags", ""},
		{"an argument", []string{"fleet"}, "", "", "", "no flag"},
		{"an unknown deployment", nil, "sonora,x", "", "", "lutong-bahay"},
		{"an unknown policy", nil, "", "best", "", "round-robin"},
		{"an unknown fault", nil, "", "", "all", "store-dead"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := check(tt.arguments, choices(tt.deployments, tt.policy, tt.faults))
			if (err != nil) != (tt.want != "") || err != nil && !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v", err)
			}
		})
	}
}
