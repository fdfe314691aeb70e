package entry

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/canary"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/rollout"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/table"
)

// Platform is the daemon's interface to the platform, implemented by package platform. All
// functions are safe for concurrent use.
type Platform struct {
	// Operator, Targets and OwnRows wait until something changed after a revision, for at
	// most hold. They read everything, and mark the answer as a snapshot, for the zero
	// revision, one that is no longer known, or one from before a restore of the table
	// service.
	Operator func(ctx context.Context, after revision.Revision, hold time.Duration) (Operator, error)
	Targets  func(ctx context.Context, after revision.Revision, hold time.Duration) (Targets, error)
	OwnRows  func(ctx context.Context, after revision.Revision, hold time.Duration) (OwnRows, error)
	// Decode decodes a configuration that another box read.
	Decode func(raw []byte) (*routing.Table, error)
	// Commit and Read change and read this system's own rows.
	Commit func(ctx context.Context, tx table.Transaction) error
	Read   func(ctx context.Context, key string) (table.Row, error)
	// ReportCanary reports the progress of a canary version of a pool's software to the
	// operator. What was reported of the same version before is never taken back.
	ReportCanary func(ctx context.Context, spec canary.Rollout, state canary.State) error
	// Send sends a caller's request to the target placed.
	Send func(ctx context.Context, s deliver.Attempt) (*deliver.Reply, error)
	// HasIdleConnection says that there is a usable idle connection to a target.
	HasIdleConnection func(at netip.AddrPort) bool
	// CacheEvents waits until a source's cached parts changed; ListCache reads all.
	CacheEvents func(ctx context.Context, at netip.AddrPort, since uint64, hold time.Duration) (CacheEvents, error)
	ListCache   func(ctx context.Context, at netip.AddrPort) (CacheEvents, error)
	// FreeCache frees parts of a store in the given epoch, until a time on the targets'
	// clock.
	FreeCache func(ctx context.Context, at netip.AddrPort, epoch uint64, until time.Duration, parts []Part) error
	// Report reads an engine's report of its own state, Order orders it to load weights.
	Report func(ctx context.Context, at netip.AddrPort) (Report, error)
	Order  func(ctx context.Context, at netip.AddrPort, o rollout.Order) (notice.Signals, error)
	// Healthy probes whether the given replica is healthy. It fails with ErrReplaced if
	// another one answers, and with ErrUnhealthy if the replica says that it is not.
	Healthy func(ctx context.Context, at netip.AddrPort, path, id string) (notice.Signals, error)
}

// ErrUnhealthy says that the intended replica answered and reports that it is not healthy.
var ErrUnhealthy = errors.New("the replica reports that it is unhealthy")

// ErrRejected says that a target answered a call and did not do what it asked for.
var ErrRejected = errors.New("the target rejected the call")

// ErrReplaced says that the address belongs to another replica than the intended one, which
// is gone for good.
var ErrReplaced = errors.New("another replica has the address")

// Operator is what the operator wrote.
type Operator struct {
	// Table is nil if the configuration did not change or can't be used; Unusable then
	// says why.
	Table    *routing.Table
	Unusable error
	// Raw is the configuration as it was read.
	Raw []byte
	// Weights are the newest versions by model, as far as they changed.
	Weights map[string]int64
	// Evacuations are the failure domains whose evacuation was requested, or false where
	// that was taken back; all of them if Snapshot is set, otherwise those that changed.
	Evacuations map[string]bool
	// Canaries are the canary versions requested, by pool, or nil where one was taken back;
	// all of them if Snapshot is set, otherwise those that changed.
	Canaries map[string]*canary.Rollout
	Snapshot bool
	// Changed is the revision of the newest change among those read, zero if there was
	// none; Known is the revision up to which all changes are known.
	Changed, Known revision.Revision
	// Clock is the table service's steady clock when it made the answer, or zero if it did
	// not report it.
	Clock time.Duration
	// Held says that the service held the read until there was a change.
	Held bool
	// RequestedAt is when the read that was answered was sent. That can be later than the caller's
	// request for it, as a read may be repeated without a hold. If unset, the time of the
	// caller's request counts.
	RequestedAt time.Time
}

// Targets is the content of the list of targets.
type Targets struct {
	// Snapshot says that Listed holds all targets; otherwise only changes.
	Snapshot bool
	Listed   []fleet.Entry
	Removed  []string
	// Changed and Known are as in Operator.
	Changed, Known revision.Revision
	// Unusable holds, by key, why entries that no target wrote can't be used. Such an entry
	// names no target, even if an earlier entry under the key did.
	Unusable map[string]error
}

// OwnRows are this system's own rows that changed, or all if Snapshot is set.
type OwnRows struct {
	Snapshot bool
	Rows     []table.Row
	// Known is as in Operator.
	Known revision.Revision
}

// CacheEvents is what a source reports of its cached prompt parts.
type CacheEvents struct {
	// Epoch changes when the source restarts and so loses everything. An engine that
	// restarts has another ID.
	Epoch uint64
	// Next is the position for the next call.
	Next uint64
	// Gap says that changes are missing and the list has to be read.
	Gap     bool
	Changes []CacheEvent
	// Partial are the parts that a list shows as incomplete.
	Partial []CacheEvent
	// StartedAt is when the source's incarnation started; zero if it does not report it.
	StartedAt time.Time
	// Clock is the time on the targets' common clock, or zero.
	Clock time.Duration
	// Signals are the source's own signals, such as that it is leaving; they are also set
	// along with an error.
	Signals notice.Signals
}

// CacheEvent is a part that a source has complete, or no longer has.
type CacheEvent struct {
	Cached      bool
	Scope, Part string
	Tokens      int
}

// Report is what an engine reports of itself.
type Report struct {
	// Signals are also set along with an error.
	Signals notice.Signals
	// Busy says that an order is being carried out.
	Busy bool
	// StartedAt is when its incarnation started; zero if it does not report it.
	StartedAt time.Time
	// OrdersTaken counts the orders taken since the engine started.
	OrdersTaken uint64
	Versions    map[string]int64
}
