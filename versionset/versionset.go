// Package versionset keeps which versions of a pool's software may have begun streams. The set is
// agreed on: a box begins streams on a further version only once the table service has the version in
// the pool's row. A fresh read of a row with one version therefore proves what began any stream of the
// pool, whoever served it and whatever that box has forgotten:
//
//	var set versionset.Set
//	set.Read(now, row.Versions)
//	if next, changes := set.Due(now, listed); changes { ... } // write it, if the row is still as read
//	if version, sole := set.Sole(); sole { ... }
//
// A version leaves the set once no target of it was listed for longer than any stream lasts.
package versionset

import (
	"maps"
	"slices"
	"time"
)

// Retention is how long a version stays in a set after it was last listed: longer than callers take
// streams up, and than a box that is cut off from the list uses targets that were removed from it.
const Retention = 6 * time.Minute

// Set is one pool's. The zero value is empty; it is not safe for concurrent use.
type Set struct {
	versions []string
	// listed is when each version was last listed within Retention, or when this box learned of it.
	listed map[string]time.Time
}

// Read takes over a row.
func (s *Set) Read(now time.Time, versions []string) {
	s.versions = slices.Clone(versions)
	if s.listed == nil {
		s.listed = make(map[string]time.Time)
	}
	for _, version := range versions {
		if _, known := s.listed[version]; !known {
			s.listed[version] = now
		}
	}
}

// Versions returns the row's versions. The caller must not change them.
func (s *Set) Versions() []string { return s.versions }

// May reports whether a version may begin streams: the row has it, or has none yet.
func (s *Set) May(version string) bool {
	return len(s.versions) == 0 || slices.Contains(s.versions, version)
}

// Sole returns the version of a row that has no other.
func (s *Set) Sole() (string, bool) {
	if len(s.versions) != 1 {
		return "", false
	}
	return s.versions[0], true
}

// Due returns what the row should be, by the versions that the list has, and whether that differs
// from what it is. It must be called regularly.
func (s *Set) Due(now time.Time, listed []string) (versions []string, changes bool) {
	if s.listed == nil {
		s.listed = make(map[string]time.Time)
	}
	for _, version := range listed {
		s.listed[version] = now
	}
	maps.DeleteFunc(s.listed, func(_ string, at time.Time) bool { return now.Sub(at) >= Retention })
	versions = slices.Sorted(maps.Keys(s.listed))
	return versions, !slices.Equal(versions, s.versions)
}

// Grows reports whether versions has one that the row lacks.
func (s *Set) Grows(versions []string) bool {
	return slices.ContainsFunc(versions, func(version string) bool { return !slices.Contains(s.versions, version) })
}
