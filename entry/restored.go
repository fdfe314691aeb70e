package entry

import (
	"time"

	"github.com/thymewind/thymewind/revision"
)

// The table service may be away for a moment and come back from a copy some seconds old. Only
// then does it lose what it acknowledged: the operator and the targets write theirs again, this
// system's own rows are gone unless their boxes do. docs/design/restores.md tells what each
// part of the daemon makes of that.

// restored notes that a read was answered by a table service that had been restored since the
// last one.
func (d *Daemon) restored(now time.Time, known revision.Revision) {
	if d.lease.Restored(known.Restores, now) {
		d.counts.restores.Set(float64(known.Restores))
		d.Log.Warn("the table service was restored from an older copy", "revision", known, "configuration", d.version(), "proved_ago", d.provedAgo(now))
	}
}
