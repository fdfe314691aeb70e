// Package deliver runs one caller's request to its end: it admits the request, has it
// placed, sends it to a target, and gives the caller the target's complete answer, a
// refusal that states whether the request ran, or a failure that leaves that open.
//
//	d := deliver.Server{Configuration: current, Place: loop.place, Send: adapter.Send, ...}
//	err := d.Serve(r.Context(), w, call) // a *refusal.Refusal, if nothing was written
//
// A request that is not repeatable is sent again only if no byte of it left this box
// or its target states that it did not run. A resumable stream continues at another
// target after the last event passed on.
package deliver

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/throughput"
)

// Call is a decoded request of a caller.
type Call struct {
	// ID identifies the caller's request attempt and is passed on unchanged.
	ID     string
	Method string
	// Path is the request target as received: escaped, with query.
	Path string
	Host string
	// Header holds the caller's end-to-end headers. HeadBytes is the size of
	// everything before the body.
	Header    http.Header
	HeadBytes int
	Body      io.Reader
	// BodyLength is the body's declared length, or -1 if the caller declares none.
	BodyLength int64
	// Key is the API key, which identifies the client account.
	Key   string
	Model string
	// Parts are the prompt's, in order; the last is unique to the request.
	Parts []Part
	// PromptTokens is the prompt's length, MaxOutputTokens the limit on generated tokens.
	PromptTokens, MaxOutputTokens int
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration
	// LastEventID is the last event that the caller received, if it resumes a stream.
	LastEventID string
	// BegunBy is the ID of the request attempt that brought the caller the first event, if it
	// resumes a stream. It is empty if the caller does not say.
	BegunBy string
	// Received is when the head was read.
	Received time.Time
	// Disconnected reports whether the caller has closed its connection, which it may
	// see before the request's context ends. Nil means that this can't be checked.
	Disconnected func() bool
	// HandedOn is set if the caller asked another box, which handed the request on to this one.
	HandedOn *HandedOn
}

// HandedOn is what another box tells of a request that it handed on.
type HandedOn struct {
	// By names the box.
	By string
	// Attempts is how many targets may have received the request before. Count is called with
	// the total at each further one.
	Attempts int
	Count    func(attempts int)
	// Software is the software version that began the stream that the request continues; nil if it
	// begins one, or if the other box does not say. Began is called with the target's before any of
	// its events is passed on.
	Software *string
	Began    func(software string)
	// Unwilling are the hashes of the targets that must get nothing now, as the other box knows.
	Unwilling []uint32
}

// Resumable reports whether the caller may have its stream continued after this call.
func (j *Job) Resumable() bool { return j.Route.Stream && j.Route.Resumable }

// TakesUp reports whether the call takes up a stream that an earlier one began.
func (j *Job) TakesUp() bool { return j.Route.Stream && j.LastEventID != "" }

// Part is a section of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Job is an admitted call.
type Job struct {
	*Call
	Route *routing.Route
	// Account is nil on open routes.
	Account *routing.Account
	// Pool serves this request.
	Pool *routing.Pool
	Body []byte
	// Until is the deadline for the final answer.
	Until time.Time

	// table is the configuration that it was admitted by.
	table *routing.Table
	// sum caches the fingerprint, partSums those of the parts.
	sum      atomic.Pointer[fingerprint.Sum]
	partSums atomic.Pointer[[]fingerprint.Sum]
}

// SharedParts are the parts of the prompt that other requests may share: all but the last.
func (j *Job) SharedParts() []Part { return j.Parts[:max(len(j.Parts)-1, 0)] }

// PartFingerprints identifies the shared parts, in order. They are computed on first use.
func (j *Job) PartFingerprints() []fingerprint.Sum {
	if sums := j.partSums.Load(); sums != nil {
		return *sums
	}
	account := ""
	if j.Account != nil {
		account = j.Account.Name
	}
	sums := make([]fingerprint.Sum, 0, len(j.Parts))
	for _, p := range j.SharedParts() {
		sums = append(sums, fingerprint.OfPart(account, j.Model, p.ID))
	}
	j.partSums.Store(&sums)
	return sums
}

// Fingerprint identifies what the request asks for. It is computed on first use, as that
// takes some microseconds and most requests never need it.
func (j *Job) Fingerprint() fingerprint.Sum {
	if sum := j.sum.Load(); sum != nil {
		return *sum
	}
	account := ""
	if j.Account != nil {
		account = j.Account.Name
	}
	sum := fingerprint.Of(account, j.Method, j.Host, j.Path, j.Body)
	j.sum.Store(&sum)
	return sum
}

// PlacementRequest is the input of a placement.
type PlacementRequest struct {
	Job *Job
	// Attempted names the targets that this request was sent to or that could not be
	// reached, in order.
	Attempted []string
	// Unreached is how many of them could not be reached.
	Unreached int
	// Boxes names the boxes that the request was handed on to.
	Boxes []string
	// Only is the target that the request has a permit for; empty if it has none yet. Denied are those
	// that had no room for it just now.
	Only   string
	Denied []string
	// Continues says that the request continues a stream, which only targets of the software version
	// that began it may do. Software is that version, or nil if the placing box has to find it out.
	Continues bool
	Software  *string
}

// Placement is the target that a request is sent to, and how.
type Placement struct {
	Target string
	// StartedAt is when the chosen incarnation of the target started; zero if the target does
	// not report it.
	StartedAt time.Time
	Address   netip.AddrPort
	// Software is the version of the target's software, not of its weights. Of a stream that another
	// box is to continue, it is the version that began it.
	Software string
	// Box names the box that serves the request instead of this one, as this one does not reach
	// the targets; Address is then that box's, and Target is empty.
	Box string
	// Unwilling are the hashes of the targets to which that box must send nothing now, as this one knows: they
	// leave, or asked for a backoff.
	Unwilling []uint32
	// Version is the weight version that the target must have; zero for none.
	Version int64
	// NewestVersion is the newest version known to the placing box. ReplacedFor is for
	// how long Version has been replaced by newer ones; zero if it is the newest.
	NewestVersion int64
	ReplacedFor   time.Duration
	// BeginBy is when the target must have begun to answer, as requests that begin
	// later must not use its weights; zero if there is no such deadline.
	BeginBy time.Time
	// Scope separates cached parts by weight version and isolated account.
	Scope string
	// Fetch and Save have one address per part, or are empty; an unset address means none.
	Fetch []netip.AddrPort
	Save  []netip.AddrPort
	// FetchUntil is when an unfinished fetch is dropped, on the targets' clock.
	FetchUntil time.Duration
	// PrefillTokens is how many prompt tokens the target is expected to prefill, Tokens
	// the memory that the request uses.
	PrefillTokens, Tokens int
	// QuotaGranted says that the target limits its request rate and that this request
	// was taken from this box's quota.
	QuotaGranted bool
	// Slots is how many requests the target's entry says that it runs at once. Alternatives are
	// targets that could take the request instead, of a pool with brittle targets.
	Slots        int
	Alternatives []Alternative
	// Permit is this box's permit for the request at the target.
	Permit Permit
	// PlacedAt is when the request was placed. PrefillBacklog is how many prompt tokens of
	// other requests the target was expected to prefill first, Transfers what it fetches.
	PlacedAt       time.Time
	PrefillBacklog int
	Transfers      []throughput.Transfer
	// EngineSlowdown is by which factor first events of the target were taken to be later than
	// predicted by the speed of its pool; zero if they were not.
	EngineSlowdown float64
	// CachedTokens, FetchedTokens and SavedTokens are the prompt tokens that the target was
	// expected to have cached, and those that it was to fetch and to save.
	CachedTokens, FetchedTokens, SavedTokens int
	// Rule names the placement rule that chose the target.
	Rule string
	// NextBest is the cheapest of the other engines with room, or empty. NextBestCost is by how
	// much more it would have cost; it is negative if the chosen engine was preferred by its rank
	// at a slightly higher cost.
	NextBest     string
	NextBestCost time.Duration
	// Waited is how long the request waited in a queue of this system for this placement. It is
	// also set if the wait ended with a refusal.
	Waited time.Duration
	// CopyTarget names the target that the run is copied to as it grows; empty for none.
	// CopyAddress is its address, CopyStartedAt the start of its incarnation.
	CopyTarget    string
	CopyAddress   netip.AddrPort
	CopyStartedAt time.Time
	// FromCopy says that the target holds the copy of a broken run, which continues from it.
	FromCopy bool
}

// Alternative is a target that a request may go to instead of the one chosen for it.
type Alternative struct {
	Target    string
	StartedAt time.Time
	Slots     int
}

// Permit says what a request counts as at its target, for the box that keeps the room of that.
type Permit struct {
	// Number counts this box's requests; zero for one that was not sent to a target by this box.
	Number uint64
	// Keeper is the box that gave the permit, at GivenAt; empty if the target is not brittle. Level is how
	// many requests of all boxes it counted at the target.
	Keeper  string
	GivenAt time.Time
	Level   int
	// Bears is how many requests a second the target can turn away, SaidAgo how long before one of its
	// pool had said so.
	Bears   int
	SaidAgo time.Duration
	// Asks is how many times a permit was asked for, Took how long that took.
	Asks int
	Took time.Duration
}

// Attempt is one request on its way to a target.
type Attempt struct {
	Job   *Job
	Place Placement
	// Timeout is the time that the target may take.
	Timeout time.Duration
	// LastEventID is the last event passed on, if a stream is resumed.
	LastEventID string
	// Attempts is how many targets may have received the request before.
	Attempts int
	// Software is the software version that the target must run, as the attempt continues a stream
	// that this version began; nil if it begins one.
	Software *string
	// ResumeFrom is the address of the copy from which a broken run continues, which is the
	// placed target's own; unset for a run from the start.
	ResumeFrom netip.AddrPort
	// Allow is called right before the request leaves this box; its error keeps it here.
	// Nil allows it.
	Allow func() error
}

// Verdicts on whether a target ran a request.
const (
	// MayHaveRun is implied by an ordinary answer.
	MayHaveRun = iota
	// DidNotRun is stated by the target.
	DidNotRun
	// OtherReplica says that another replica has the address; the request did not run.
	OtherReplica
	// OtherVersion says that the target has other weights; the request did not run.
	OtherVersion
)

// Reply is a target's answer of which the head has arrived.
type Reply struct {
	Status int
	Header http.Header
	// Verdict says whether the request may have run.
	Verdict int
	// Attempts returns how many targets may have received a request that another box serves, with
	// those before; nil for a target's answer. Refused is that box's refusal, and TryAnother says
	// that a third box may serve the request.
	Attempts   func() int
	Refused    *refusal.Refusal
	TryAnother bool
	// Software is the software version of the target of another box that sends the stream; nil if
	// that box does not say.
	Software *string
	// Signals are the target's own signals, set if the answer is the placed target's.
	Signals notice.Signals
	// Version is the target's weight version; zero if it does not report one.
	Version int64
	// Length is the body's length in bytes, or -1.
	Length int64
	// Events says that the body is an event stream.
	Events bool
	Body   io.Reader
	Close  func()
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	Place Placement
	Job   *Job
	// Began says that the answer's head arrived.
	Began bool
	// Failed says that the target cut its answer off, was unreachable or refused.
	Failed bool
	// Unreachable says that there was no connection or no answer.
	Unreachable bool
	// CutOff says that the target may have run the request and that no complete answer
	// arrived, not because of the caller. CallerLeft says that the caller disconnected
	// before that. Answered says that the complete answer arrived.
	CutOff, CallerLeft, Answered bool
	// ConnectionRefused says that the target's address refuses connections.
	ConnectionRefused bool
	// Late says that the first event or a gap between events exceeded the route's goals, not
	// counting the time for which the request waited for its placement; Completed that the
	// stream ended normally. Late is valid only if Completed is set.
	Late, Completed bool
	// SlowCaller says that the caller, not the target, decided how long the answer took.
	SlowCaller bool
	Verdict    int
	Version    int64
	// Events says that the target sent at least one event.
	Events bool
	// FirstAfter is the time from the placement to a stream's first event; zero if there was none,
	// or if it came from an earlier target.
	FirstAfter time.Duration
}

// Outcome is the end of a request, for the log and the metrics.
type Outcome struct {
	Call *Call
	// Job is nil if the request was refused before it was admitted. Route, Account and Pool are
	// what was found for it by then, or nil.
	Job     *Job
	Route   *routing.Route
	Account *routing.Account
	Pool    *routing.Pool
	// Place is the last placement.
	Place Placement
	// Attempts counts the targets that may have received the request.
	Attempts int
	Status   int
	// Cause is a short reason for the end, Reason a longer one; both are empty for a
	// complete answer.
	Cause, Reason string
	// FirstByte and Took are the times from receipt to the first byte and to the end.
	FirstByte, Took time.Duration
	// Waited is how long the request waited in queues of this system, over all placements.
	Waited time.Duration
	// Events counts the events of a stream that were new to the caller, Pause is the longest gap
	// between two of them, and Resumed is how often another target continued the stream.
	Events  int
	Pause   time.Duration
	Resumed int
	// BeganOn is the software version of the target that sent the first event of the answer; empty if
	// none came or it is not known. OtherSoftware counts the targets of other versions that
	// continued the stream.
	BeganOn       string
	OtherSoftware int
	// HasGoal says that the answer is complete and that its route has a goal for it; one for gaps
	// applies only to answers with events. LateBy is then what made it late first, or empty if it
	// was in time.
	HasGoal bool
	LateBy  string
	// RefusalCode is the code of the refusal that the caller got, RetryAfter its
	// Retry-After.
	RefusalCode string
	RetryAfter  time.Duration
	// CallerLeft says that the caller disconnected, Teardown how long after that was
	// noticed everything in flight for it had ended.
	CallerLeft bool
	Teardown   time.Duration
	// Aborted says that an answer was begun and cut off.
	Aborted bool
}

// Retry is one more attempt, for the log.
type Retry struct {
	Job   *Job
	Place Placement
	Cause string
	// BeganOn is the software version that began the stream; empty if no event came.
	BeganOn string
	// Resumed is the ID of the event after which a stream continues.
	Resumed string
	// Copy says that the run continues from its copy at Place's CopyTarget.
	Copy bool
}

// Server serves calls. Set the exported fields before first use; it is safe
// for concurrent use after that.
type Server struct {
	// Configuration is the configuration in force with its proof, or nil.
	Configuration func() *routing.Proved
	// Current says that requests may still be handled by a configuration, as no later one has been
	// known for too long. If nil, they always may.
	Current func(now time.Time, proved *routing.Proved) bool
	// KeysFresh says that a configuration's API keys may be trusted: none can have been
	// revoked for so long that it must not be honoured any more.
	KeysFresh func(now time.Time, proved *routing.Proved) bool
	// ConfigurationFresh says that a configuration includes everything that was configured
	// long enough ago to be mandatory: what it lacks may be refused for good.
	ConfigurationFresh func(now time.Time, proved *routing.Proved) bool
	Place              func(ctx context.Context, request PlacementRequest) (Placement, error)
	Send               func(ctx context.Context, s Attempt) (*Reply, error)
	// PlaceCopy places a broken run at the target that holds its copy, or says why that is not
	// possible. If nil, no run continues from a copy.
	PlaceCopy func(ctx context.Context, job *Job, broken Placement) (Placement, error)
	// FirstEvent is called when the first event of a target's answer came; may be nil.
	FirstEvent func(job *Job)
	// Continued is called before the first event of a stream that can be resumed, or of one that
	// was, is passed on, with the software version that began it; may be nil.
	Continued func(job *Job, software string)
	// Began is called when an answer's head arrived, Ended when an attempt ended:
	// exactly once for each attempt.
	Began func(Placement)
	Ended func(AttemptResult)
	// Spend takes one attempt from a pool's retry budget, Refund returns one that never
	// left this box, and Earn deposits for a request to the pool.
	Spend  func(pool string) bool
	Refund func(pool string)
	Earn   func(pool string)
	// Suspect says whether a target looks dead, so that a repeatable request need not
	// wait for it any longer. If nil, no attempt is aborted for that.
	Suspect func(ctx context.Context, target string) bool
	// MinAnswerTime is the time under which no request like a job's can be expected to
	// be answered, if known. If nil, none is refused for a short deadline.
	MinAnswerTime func(now time.Time, job *Job) (time.Duration, bool)
	Now           func() time.Time
	Random        func() uint64
	// RetryAfter is the Retry-After of a refusal code; of the job, only the call and
	// what was resolved of its route are set.
	RetryAfter    func(code string, job *Job) time.Duration
	RecordOutcome func(Outcome)
	Retried       func(Retry)
	// Held counts the bytes held for callers; nil counts none and refuses nothing.
	Held *heldbytes.Ledger
	// MemoryRefused is called when a request with a body of this many bytes is refused for
	// want of memory; may be nil.
	MemoryRefused func(job *Job, bytes int64)
	// Admit asks for memory for bytes of a caller's body, for an account of Held; nil asks the account
	// itself.
	Admit func(ctx context.Context, account *heldbytes.Account, bytes int64, priority int) bool

	// stop is set once a planned stop has begun.
	stop atomic.Pointer[Stop]

	mu sync.Mutex
	// running are the requests that Reap checks, with the cancel function of each.
	running map[*run]context.CancelFunc
}
