package document

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Listener is an address that a process listens at, with the path of its setting.
type Listener struct {
	Path string
	At   netip.AddrPort
	// Optional allows the setting to be absent.
	Optional bool
}

// CheckSet adds a finding if a value is empty.
func (d *Document) CheckSet(path, value string) {
	if value == "" {
		d.Add(path, "must be set")
	}
}

// CheckOneOf adds a finding if a value is none of those allowed.
func (d *Document) CheckOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		d.Add(path, "%q is none of %s", value, strings.Join(allowed, ", "))
	}
}

// CheckWithin adds a finding if a duration is out of its bounds.
func (d *Document) CheckWithin(path string, value, lower, upper time.Duration) {
	if value < lower || value > upper {
		d.Add(path, "%v is not within %v and %v", value, lower, upper)
	}
}

// CheckListeners adds a finding for each required listener without an address, and
// for each listener with the address of an earlier one.
func (d *Document) CheckListeners(listeners ...Listener) {
	for i, l := range listeners {
		if !d.checkAddress(l) {
			continue
		}
		for _, other := range listeners[:i] {
			if other.At == l.At {
				d.Add(l.Path, "has the address of %s", other.Path)
			}
		}
	}
}

// checkAddress reports whether a listener has a usable address.
func (d *Document) checkAddress(l Listener) bool {
	if l.Optional && !l.At.IsValid() {
		return false
	}
	if !l.At.IsValid() || l.At.Port() == 0 {
		d.Add(l.Path, "must be an IP number and a port, such as 10.0.0.1:8080")
		return false
	}
	return true
}
