package entry

import (
	"time"

	"github.com/thymewind/thymewind/routing"
)

// setProvedAt sets when the configuration in force was last proved, also to an older time.
func (f *inForce) setProvedAt(at time.Time) {
	f.change(func(held *routing.Proved) { held.At = at })
}

// provedAt returns when the configuration in force was last proved; the zero time if never.
func (d *Daemon) provedAt() time.Time {
	at, _ := d.current.ProvedAt()
	return at
}

// trustsKeys reports whether the keys of the configuration in force are trusted.
func (d *Daemon) trustsKeys(now time.Time) bool { return d.keysFresh(now, d.current.Proved()) }
