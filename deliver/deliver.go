// Package deliver runs one caller's request to its end: it admits it, has it
// placed, sends it, and gives the caller the target's whole answer, a true
// refusal, or a failure that promises nothing.
//
//	d := deliver.Server{Table: current, Place: loop.place, Send: adapter.Send, ...}
//	err := d.Serve(w, r.Context(), call) // a *refusal.Refusal, if nothing was written
//
// A request that may not be repeated is sent again only if no byte of it left
// this box or its target says that it did not run. A stream that may be
// resumed goes on at another target behind the last event passed on.
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
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/throughput"
)

// Call is what a caller sent, decoded.
type Call struct {
	// ID names this try of the caller's and is passed on as it is.
	ID     string
	Method string
	// Path is the request target as it came: escaped, with query.
	Path string
	Host string
	// Header holds the caller's own end-to-end headers, HeadBytes is the size of
	// all that came before the body.
	Header    http.Header
	HeadBytes int
	Body      io.Reader
	// Key shows the client account.
	Key   string
	Model string
	// Parts are the prompt's, in order; the last is the request's own.
	Parts []Part
	// PromptTokens and Output are tokens: of the prompt, and the most that is made.
	PromptTokens, MaxOutputTokens int
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration
	// LastEventID is the last event that the caller has, if it takes up a stream.
	LastEventID string
	// Received is when the head was read.
	Received time.Time
	// Disconnected says whether the caller has closed its connection, also before the
	// request's context tells; nil knows nothing.
	Disconnected func() bool
}

// Part is a piece of a prompt that other prompts may share.
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
	// Until is when the request gets its final answer at the latest.
	Until time.Time

	// sum is the fingerprint, once it was asked for.
	sum atomic.Pointer[fingerprint.Sum]
}

// Fingerprint names what the request asks for. It is worked out when it is first asked
// for, as that takes some microseconds and most requests never need it.
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

// PlacementRequest is what a place is asked for.
type PlacementRequest struct {
	Job *Job
	// Attempted names targets that this request was sent to, or that could not be
	// reached, in order.
	Attempted []string
}

// Placement is where a request is sent and with what.
type Placement struct {
	Target string
	// StartedAt is when the target's life began that was placed on, if it told.
	StartedAt time.Time
	Address   netip.AddrPort
	// Version is the weight version that the target must have; zero for none.
	Version int64
	// NewestVersion is the newest version that the placing box knew, Replaced for how
	// long it took Version to be replaced; zero if Version is the newest.
	NewestVersion int64
	ReplacedFor   time.Duration
	// BeginBy is when the target must have begun to answer, as its weights must not
	// be used for a request that begins later; zero if it may begin at any time.
	BeginBy time.Time
	// Scope separates kept parts by weight version and walled account.
	Scope string
	// Fetch and Save are per part, or empty; an unset address means none.
	Fetch []netip.AddrPort
	Save  []netip.AddrPort
	// FetchUntil is when a fetch that has not ended is thrown away, on the
	// targets' clock.
	FetchUntil time.Duration
	// PrefillTokens is how many prompt tokens the target was thought to read, Tokens
	// the memory that the request takes up.
	PrefillTokens, Tokens int
	// QuotaGranted says that the target limits requests and that this one is among those that this
	// box may send.
	QuotaGranted bool
	// PlacedAt is when the request was placed, Ahead how many prompt tokens of others
	// the target was thought to read before, and Moves what it fetches.
	PlacedAt       time.Time
	PrefillBacklog int
	Transfers      []throughput.Transfer
	// Kept, Fetched and Saved are the prompt tokens that the target was thought
	// to keep, told to fetch, and told to save.
	Kept, Fetched, Saved int
	// Rule says why this target.
	Rule string
}

// Attempt is one request on its way to a target.
type Attempt struct {
	Job   *Job
	Place Placement
	// Timeout is the time that the target may take.
	Timeout time.Duration
	// LastEventID is the last event that was passed on, for a stream that is resumed.
	LastEventID string
	// Allow is asked right before the request leaves this box; its error keeps it here.
	// Nil allows it.
	Allow func() error
}

// Verdicts on whether a target ran a request.
const (
	// MayHaveRun is what an ordinary answer means.
	MayHaveRun = iota
	// DidNotRun is the target's own promise.
	DidNotRun
	// OtherReplica says that another replica has the address; it did not run.
	OtherReplica
	// OtherVersion says that the target has other weights; it did not run.
	OtherVersion
)

// Reply is a target's answer whose head has come.
type Reply struct {
	Status int
	Header http.Header
	// Verdict says whether the request may have run.
	Verdict int
	// Signals is what the target says of itself, if it is the one placed that answers.
	Signals notice.Signals
	// Version is the target's weight version, if it told.
	Version int64
	// Length is the body's in bytes, or -1.
	Length int64
	// Events says that the body is an event stream.
	Events bool
	Body   io.Reader
	Close  func()
}

// AttemptResult tells how one sending went.
type AttemptResult struct {
	Place Placement
	Job   *Job
	// Began says that an answer's head came.
	Began bool
	// Failed says that the target broke off, was unreachable or refused.
	Failed bool
	// Unreachable says that no connection or no answer came.
	Unreachable bool
	// CutOff says that the target may have run the request and that no whole answer came,
	// not by the caller's doing; Left that the caller went away before that. Answered
	// says that the whole answer came.
	CutOff, CallerLeft, Answered bool
	// ConnectionRefused says that the target's address refuses connections.
	ConnectionRefused bool
	// Late says that the first event or a pause came later than the route's goals,
	// Whole that the stream came to its end; only then Late means anything.
	Late, Completed bool
	Verdict         int
	Version         int64
}

// Outcome is the end of a request, for the log and the counters.
type Outcome struct {
	Call *Call
	Job  *Job
	// Place is the last one.
	Place Placement
	// Attempts counts the targets that may have got the request.
	Attempts int
	Status   int
	// Cause says in a few words why it ended so, Reason more; empty for a whole
	// answer.
	Cause, Reason string
	// FirstByte and Took are from the receipt to the first byte and to the end.
	FirstByte, Took time.Duration
	// RefusalCode is the code of the refusal that the caller got, ComeBack when it said
	// to return.
	RefusalCode string
	RetryAfter  time.Duration
	// CallerLeft says that the caller went away, Ending how long after that was seen all
	// that was under way for it had ended.
	CallerLeft bool
	Teardown   time.Duration
	// Aborted says that an answer was begun and broken off.
	Aborted bool
}

// Retry is one more try, for the log.
type Retry struct {
	Job   *Job
	Place Placement
	Cause string
	// Resumed names the event behind which a stream goes on.
	Resumed string
}

// Server serves calls. Set the exported fields before first use; it is safe
// for concurrent use after that.
type Server struct {
	// Table is the configuration in force, or nil.
	Table func() *routing.Table
	// KeysFresh says that keys may be trusted: no key can have been taken away
	// for so long that it must not be used.
	KeysFresh func(now time.Time) bool
	// ConfigurationFresh says that the configuration in force can't lack what was configured for so long
	// that it must be known: what it does not have may be refused for good.
	ConfigurationFresh func(now time.Time) bool
	Place              func(ctx context.Context, ask PlacementRequest) (Placement, error)
	Send               func(ctx context.Context, s Attempt) (*Reply, error)
	// Began hears when an answer's head came, Ended how a sending ended. Each
	// sending is told to Ended exactly once.
	Began func(Placement)
	Ended func(AttemptResult)
	// Spend asks the retry budget of a pool for one more sending, Refund gives one
	// back that never left this box, and Earn notes a request for the pool.
	Spend  func(pool string) bool
	Refund func(pool string)
	Earn   func(pool string)
	// Suspect says whether a target looks dead by now, so that a request that
	// may be repeated need not wait for it any longer. Without it none is hurried.
	Suspect func(ctx context.Context, target string) bool
	// MinAnswerTime is the time in which no request like a job's can be expected to be
	// answered whole, if that is known. Without it none is refused for its deadline.
	MinAnswerTime func(now time.Time, job *Job) (time.Duration, bool)
	Now           func() time.Time
	Random        func() uint64
	// RetryAfter says when a caller should return who was refused with a code; of
	// the job, only the call and what was found of its route are set.
	RetryAfter    func(code string, job *Job) time.Duration
	RecordOutcome func(Outcome)
	Retried       func(Retry)

	mu sync.Mutex
	// running are the requests that Look sees to, with how to end each.
	running map[*run]context.CancelFunc
}
