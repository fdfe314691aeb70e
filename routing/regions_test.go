package routing_test

import (
	"testing"

	"github.com/thymewind/thymewind/routing"
)

// TestAllowedRegions checks the regions allowed by the limits of a route and an account.
func TestAllowedRegions(t *testing.T) {
	tests := []struct {
		name           string
		route, account routing.Regions
		limited        bool
		allowed        string
	}{
		{"no limit", nil, nil, false, "abx"},
		{"the route's limit", routing.Regions{"a", "b"}, nil, true, "ab"},
		{"the account's limit", nil, routing.Regions{"b"}, true, "b"},
		{"both", routing.Regions{"a", "b"}, routing.Regions{"b", "x"}, true, "b"},
		{"nothing in common", routing.Regions{"a"}, routing.Regions{"b"}, true, ""},
		{"an empty list", routing.Regions{}, nil, true, ""},
		{"an unknown region", routing.Regions{"nowhere"}, nil, true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := routing.AllowedRegions(&routing.Route{Regions: tt.route}, &routing.Account{Regions: tt.account})
			allowed := ""
			for _, region := range []string{"a", "b", "x", ""} {
				if got.Allow(region) {
					allowed += region
				}
			}
			if got.Limited() != tt.limited || allowed != tt.allowed {
				t.Errorf("limited %v, allows %q", got.Limited(), allowed)
			}
		})
	}
	if routing.AllowedRegions(&routing.Route{Regions: routing.Regions{"a"}}, nil).Allow("b") {
		t.Error("the limit of an open route does not apply")
	}
}
