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
	// Received is when the head was read.
	Received time.Time
	// Disconnected reports whether the caller has closed its connection, which it may
	// see before the request's context ends. Nil means that this can't be checked.
	Disconnected func() bool
}

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

	// sum caches the fingerprint.
	sum atomic.Pointer[fingerprint.Sum]
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
}

// Placement is the target that a request is sent to, and how.
type Placement struct {
	Target string
	// StartedAt is when the chosen incarnation of the target started; zero if the target does
	// not report it.
	StartedAt time.Time
	Address   netip.AddrPort
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
	// PlacedAt is when the request was placed. PrefillBacklog is how many prompt tokens of
	// other requests the target was expected to prefill first, Transfers what it fetches.
	PlacedAt       time.Time
	PrefillBacklog int
	Transfers      []throughput.Transfer
	// CachedTokens, FetchedTokens and SavedTokens are the prompt tokens that the target was
	// expected to have cached, and those that it was to fetch and to save.
	CachedTokens, FetchedTokens, SavedTokens int
	// Rule names the placement rule that chose the target.
	Rule string
}

// Attempt is one request on its way to a target.
type Attempt struct {
	Job   *Job
	Place Placement
	// Timeout is the time that the target may take.
	Timeout time.Duration
	// LastEventID is the last event passed on, if a stream is resumed.
	LastEventID string
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
	// Late says that the first event or a gap between events exceeded the route's goals,
	// Completed that the stream ended normally. Late is valid only if Completed is set.
	Late, Completed bool
	// SlowCaller says that the caller, not the target, decided how long the answer took.
	SlowCaller bool
	Verdict    int
	Version    int64
}

// Outcome is the end of a request, for the log and the metrics.
type Outcome struct {
	Call *Call
	Job  *Job
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
	// Resumed is the ID of the event after which a stream continues.
	Resumed string
}

// Server serves calls. Set the exported fields before first use; it is safe
// for concurrent use after that.
type Server struct {
	// Configuration is the configuration in force with its proof, or nil.
	Configuration func() *routing.Proved
	// KeysFresh says that a configuration's API keys may be trusted: none can have been
	// revoked for so long that it must not be honoured any more.
	KeysFresh func(now time.Time, proved *routing.Proved) bool
	// ConfigurationFresh says that a configuration includes everything that was configured
	// long enough ago to be mandatory: what it lacks may be refused for good.
	ConfigurationFresh func(now time.Time, proved *routing.Proved) bool
	Place              func(ctx context.Context, request PlacementRequest) (Placement, error)
	Send               func(ctx context.Context, s Attempt) (*Reply, error)
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

	mu sync.Mutex
	// running are the requests that Reap checks, with the cancel function of each.
	running map[*run]context.CancelFunc
}
