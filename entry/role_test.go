package entry

import "testing"

// TestRoleKnownWhole guards against a watcher that sees that the box knows its role before it
// sees that this is a spoke: it would read from the table service what a hub sends.
func TestRoleKnownWhole(t *testing.T) {
	d := largeFleet("box-05")
	for range 20000 {
		d.roleSince.Store(nil)
		d.spoke.Store(false)
		started, whole := make(chan bool), make(chan bool)
		go func() {
			close(started)
			known := false
			for !known { // A yield would miss the moment.
				known = d.roleSince.Load() != nil
			}
			whole <- d.spoke.Load()
		}()
		<-started
		d.updateRole(start, &d.tables)
		if !<-whole {
			t.Fatal("the role was known, but not that it is a spoke's")
		}
	}
}
