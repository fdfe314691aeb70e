package routing

import (
	"slices"
	"strings"
)

// Regions are the regions in which requests may be run, cached and stored. Nil allows all,
// an empty list none.
type Regions []string

// Limited says that not all regions are allowed.
func (r Regions) Limited() bool { return r != nil }

// Allow says whether a region is allowed. An unknown one, the empty string, is allowed only
// if all are.
func (r Regions) Allow(region string) bool {
	return !r.Limited() || region != "" && slices.Contains(r, region)
}

// Intersect returns the regions that both limits allow.
func (r Regions) Intersect(other Regions) Regions {
	if !r.Limited() {
		return other
	}
	if !other.Limited() {
		return r
	}
	both := Regions{}
	for _, region := range r {
		if other.Allow(region) {
			both = append(both, region)
		}
	}
	return both
}

// String lists the regions in sorted order.
func (r Regions) String() string {
	list := slices.Clone(r)
	slices.Sort(list)
	return strings.Join(slices.Compact(list), ",")
}

// AllowedRegions returns where a request of an account on a route may be run, cached and
// stored. The account is nil on open routes.
func AllowedRegions(r *Route, a *Account) Regions {
	if a == nil {
		return r.Regions
	}
	return r.Regions.Intersect(a.Regions)
}
