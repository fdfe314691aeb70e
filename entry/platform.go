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

// Platform is what the daemon needs of the platform, each a seam that package
// platform fills. All are safe for concurrent use.
type Platform struct {
	// Operator, Targets and Own wait until something changed behind a revision,
	// for at most hold. The zero revision, one that is no longer known, or one from before
	// the table service was restored reads everything, and the answer is marked whole.
	Operator func(ctx context.Context, after revision.Revision, hold time.Duration) (Operator, error)
	Targets  func(ctx context.Context, after revision.Revision, hold time.Duration) (Targets, error)
	OwnRows  func(ctx context.Context, after revision.Revision, hold time.Duration) (OwnRows, error)
	// Decode reads a configuration that another box read.
	Decode func(raw []byte) (*routing.Table, error)
	// Commit and Read change and read this system's own rows.
	Commit func(ctx context.Context, tx table.Transaction) error
	Read   func(ctx context.Context, key string) (table.Row, error)
	// ReportCanary tells the operator how far the version that a pool's software is to move to
	// has come. What was told of the same version before is never taken back.
	ReportCanary func(ctx context.Context, ask canary.Rollout, state canary.State) error
	// Send sends a caller's request to the target placed.
	Send func(ctx context.Context, s deliver.Attempt) (*deliver.Reply, error)
	// HasIdleConnection says that a connection to a target rests and can be used.
	HasIdleConnection func(at netip.AddrPort) bool
	// CacheEvents waits until a source's kept parts changed; List reads all.
	CacheEvents func(ctx context.Context, at netip.AddrPort, since uint64, hold time.Duration) (CacheEvents, error)
	ListCache   func(ctx context.Context, at netip.AddrPort) (CacheEvents, error)
	// FreeCache drops parts from a store of the epoch given, until a time on the
	// targets' clock.
	FreeCache func(ctx context.Context, at netip.AddrPort, epoch uint64, until time.Duration, parts []Part) error
	// Report asks an engine for its own state, Order tells it to load weights.
	Report func(ctx context.Context, at netip.AddrPort) (Report, error)
	Order  func(ctx context.Context, at netip.AddrPort, o rollout.Order) (notice.Signals, error)
	// Healthy asks whether this very replica says that it is well. It fails with
	// ErrReplaced if another one answers, and with ErrUnwell if it says that it is not.
	Healthy func(ctx context.Context, at netip.AddrPort, path, id string) (notice.Signals, error)
}

// ErrUnhealthy says that the very replica meant answers, and that it is not well.
var ErrUnhealthy = errors.New("the replica says that it is not well")

// ErrReplaced says that the address called belongs to another replica than the
// one meant, which is gone for good.
var ErrReplaced = errors.New("another replica has the address")

// Operator is what the operator wrote.
type Operator struct {
	// Table is nil if the configuration did not change or can't be used;
	// Unusable then says why.
	Table    *routing.Table
	Unusable error
	// Raw is the configuration as it was read.
	Raw []byte
	// Weights are the newest versions by model, as far as they changed.
	Weights map[string]int64
	// Evacuations are the failure domains whose evacuation was asked for, or taken
	// back where it is false; all that are asked for if Whole is set, otherwise as
	// far as they changed.
	Evacuations map[string]bool
	// Canaries are the versions of pools' software that are to be tried out, by pool, or
	// taken back where it is nil; all that are asked for if Whole is set, otherwise as far
	// as they changed.
	Canaries map[string]*canary.Rollout
	Snapshot bool
	// Changed is the revision of the newest change among those read, zero if there was
	// none; Known is that up to which all changes are known.
	Changed, Known revision.Revision
	// Clock is the table service's steady clock when it made the answer, or zero
	// if it did not tell.
	Clock time.Duration
	// Held says that the service held that read until there was a change.
	Held bool
	// Asked is when the read that was answered was sent; it may have been made
	// again, not held. Unset, it is when the read was asked for.
	Asked time.Time
}

// Targets is what the list of targets says.
type Targets struct {
	// Snapshot says that Listed holds all targets; otherwise only changes.
	Snapshot bool
	Listed   []fleet.Entry
	Gone     []string
	// Changed and Known are as in Operator.
	Changed, Known revision.Revision
	// Unusable says of entries that no target wrote why each can't be used, by its key.
	// It names no target, also where an earlier entry under the key did.
	Unusable map[string]error
}

// OwnRows are this system's own rows that changed, or all if Whole is set.
type OwnRows struct {
	Snapshot bool
	Rows     []table.Row
	// Known is as in Operator.
	Known revision.Revision
}

// CacheEvents is what a source says of the prompt parts that it keeps.
type CacheEvents struct {
	// Epoch changes when the source restarts and so loses everything. An engine
	// that restarts has another ID.
	Epoch uint64
	// Next is where the next call goes on.
	Next uint64
	// Gap says that changes are missing and the list has to be read.
	Gap     bool
	Changes []CacheEvent
	// Partial are parts that a list shows as not whole.
	Partial []CacheEvent
	// StartedAt is when the source's life began; zero if it does not tell.
	StartedAt time.Time
	// Clock is the time on the targets' common clock, or zero.
	Clock time.Duration
	// Signals is what the source says of itself, also beside an error.
	Signals notice.Signals
}

// CacheEvent is a part that a source keeps whole, or no longer keeps.
type CacheEvent struct {
	Cached      bool
	Scope, Part string
	Tokens      int
}

// Report is what an engine says of itself.
type Report struct {
	// Signals stands beside an error, too.
	Signals notice.Signals
	// Busy says that an order is under way.
	Busy bool
	// StartedAt is when its life began; zero if it does not tell.
	StartedAt time.Time
	// OrdersTaken counts the orders taken since the engine started.
	OrdersTaken uint64
	Versions    map[string]int64
}
