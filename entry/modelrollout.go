package entry

import (
	"time"

	"github.com/thymewind/thymewind/reclaim"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
	"github.com/thymewind/thymewind/versionlog"
)

// scan identifies a state of the list and of the named versions.
type scan struct {
	list          uint64
	newestVersion int64
}

// modelRollout is one model's rollout as seen by this box.
type modelRollout struct {
	// newestVersion is the newest version named, versionLog when each version was named.
	newestVersion int64
	versionLog    versionlog.Log
	// upToDateScan is the list and the version for which no engine was behind, minVersion
	// the lowest version of any engine then: engines need not be checked again until either
	// changes.
	upToDateScan scan
	minVersion   int64
	// announceRetryAt is when writing the rollout's row may be retried after a failure.
	announceRetryAt time.Time
	// ordered marks the targets with an order of this box in flight.
	ordered map[string]bool
	// orderRetryAt is when targets that did not load may be ordered again.
	orderRetryAt map[string]time.Time
	// epoch is the lease's epoch in the row last read.
	epoch uint64
	// rowAt is the latest revision of the row that this box has read, rowSeenAt when it first did.
	rowAt     revision.Revision
	rowSeenAt time.Time
	// reclaim says when parts made on older weights may be freed.
	reclaim reclaim.Tracker
	// freed is the version for which the stores were cleared of older parts.
	freed   int64
	freeing bool
	// freeAttempts counts failed attempts to clear the stores, freeRetryAt is when the next
	// one may be made.
	freeAttempts int
	freeRetryAt  time.Time
	// planned are the targets that wait until their loading is announced.
	planned []string
	// announcing says that the row is being written.
	announcing bool
}

// noteRow records the revision of the rollout's row as read at a time. The row was written before.
func (w *modelRollout) noteRow(now time.Time, row table.Row) {
	if row.At().After(w.rowAt) || w.rowSeenAt.IsZero() {
		w.rowAt, w.rowSeenAt = row.At(), now
	}
}
