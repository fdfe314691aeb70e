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
	"github.com/thymewind/thymewind/pace"
	"github.com/thymewind/thymewind/routing"
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
	// Input and Output are tokens: of the prompt, and the most that is made.
	Input, Output int
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration
	// After is the last event that the caller has, if it takes up a stream.
	After string
	// Received is when the head was read.
	Received time.Time
	// Gone says whether the caller has closed its connection, also before the
	// request's context tells; nil knows nothing.
	Gone func() bool
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

// Ask is what a place is asked for.
type Ask struct {
	Job *Job
	// Tried names targets that this request was sent to, or that could not be
	// reached, in order.
	Tried []string
}

// Place is where a request is sent and with what.
type Place struct {
	Target string
	// Born is when the target's life began that was placed on, if it told.
	Born    time.Time
	Address netip.AddrPort
	// Version is the weight version that the target must have; zero for none.
	Version int64
	// Newest is the newest version that the placing box knew, Replaced for how
	// long it took Version to be replaced; zero if Version is the newest.
	Newest   int64
	Replaced time.Duration
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
	// Unread is how many prompt tokens the target was thought to read, Tokens
	// the memory that the request takes up.
	Unread, Tokens int
	// Granted says that the target limits requests and that this one is among those that this
	// box may send.
	Granted bool
	// At is when the request was placed, Ahead how many prompt tokens of others
	// the target was thought to read before, and Moves what it fetches.
	At    time.Time
	Ahead int
	Moves []pace.Move
	// Kept, Fetched and Saved are the prompt tokens that the target was thought
	// to keep, told to fetch, and told to save.
	Kept, Fetched, Saved int
	// Rule says why this target.
	Rule string
}

// Sending is one request on its way to a target.
type Sending struct {
	Job   *Job
	Place Place
	// Left is the time that the target may take.
	Left time.Duration
	// After is the last event that was passed on, for a stream that is resumed.
	After string
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
	// Elsewhere says that another replica has the address; it did not run.
	Elsewhere
	// OtherVersion says that the target has other weights; it did not run.
	OtherVersion
)

// Reply is a target's answer whose head has come.
type Reply struct {
	Status int
	Header http.Header
	// Verdict says whether the request may have run.
	Verdict int
	// Said is what the target says of itself, if it is the one placed that answers.
	Said notice.Said
	// Version is the target's weight version, if it told.
	Version int64
	// Length is the body's in bytes, or -1.
	Length int64
	// Events says that the body is an event stream.
	Events bool
	Body   io.Reader
	Close  func()
}

// Ended tells how one sending went.
type Ended struct {
	Place Place
	Job   *Job
	// Began says that an answer's head came.
	Began bool
	// Failed says that the target broke off, was unreachable or refused.
	Failed bool
	// Unreachable says that no connection or no answer came.
	Unreachable bool
	// Cut says that the target may have run the request and that no whole answer came,
	// not by the caller's doing; Left that the caller went away before that. Answered
	// says that the whole answer came.
	Cut, Left, Answered bool
	// Refused says that the target's address refuses connections.
	Refused bool
	// Late says that the first event or a pause came later than the route's goals,
	// Whole that the stream came to its end; only then Late means anything.
	Late, Whole bool
	Verdict     int
	Version     int64
}

// Outcome is the end of a request, for the log and the counters.
type Outcome struct {
	Call *Call
	Job  *Job
	// Place is the last one.
	Place Place
	// Sent counts the targets that may have got the request.
	Sent   int
	Status int
	// Cause says in a few words why it ended so, Reason more; empty for a whole
	// answer.
	Cause, Reason string
	// First and Took are from the receipt to the first byte and to the end.
	First, Took time.Duration
	// Refused is the code of the refusal that the caller got, ComeBack when it said
	// to return.
	Refused  string
	ComeBack time.Duration
	// Left says that the caller went away, Ending how long after that was seen all
	// that was under way for it had ended.
	Left   bool
	Ending time.Duration
	// Broken says that an answer was begun and broken off.
	Broken bool
}

// Retried is one more try, for the log.
type Retried struct {
	Job   *Job
	Place Place
	Cause string
	// Resumed names the event behind which a stream goes on.
	Resumed string
}

// Server serves calls. Set the exported fields before first use; it is safe
// for concurrent use after that.
type Server struct {
	// Table is the configuration in force, or nil.
	Table func() *routing.Table
	// Fresh says that keys may be trusted: no key can have been taken away
	// for so long that it must not be used.
	Fresh func(now time.Time) bool
	// Newest says that the configuration in force can't lack what was configured for so long
	// that it must be known: what it does not have may be refused for good.
	Newest func(now time.Time) bool
	Place  func(ctx context.Context, ask Ask) (Place, error)
	Send   func(ctx context.Context, s Sending) (*Reply, error)
	// Began hears when an answer's head came, Ended how a sending ended. Each
	// sending is told to Ended exactly once.
	Began func(Place)
	Ended func(Ended)
	// Spend asks the retry budget of a pool for one more sending, Refund gives one
	// back that never left this box, and Earn notes a request for the pool.
	Spend  func(pool string) bool
	Refund func(pool string)
	Earn   func(pool string)
	// Suspect says whether a target looks dead by now, so that a request that
	// may be repeated need not wait for it any longer. Without it none is hurried.
	Suspect func(ctx context.Context, target string) bool
	// Least is the time in which no request like a job's can be expected to be
	// answered whole, if that is known. Without it none is refused for its deadline.
	Least func(now time.Time, job *Job) (time.Duration, bool)
	Now   func() time.Time
	Draw  func() uint64
	// ComeBack says when a caller should return who was refused with a code; of
	// the job, only the call and what was found of its route are set.
	ComeBack func(code string, job *Job) time.Duration
	Note     func(Outcome)
	Retried  func(Retried)

	mu sync.Mutex
	// watched are the requests that Look sees to, with how to end each.
	watched map[*run]context.CancelFunc
}
