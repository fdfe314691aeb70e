package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/readlimit"
	"github.com/thymewind/thymewind/stream"
)

// HeaderStarted is "no" on answers that confirm that the run has not started and
// never will.
const HeaderStarted = "Engine-Started"

// HeaderLeaving is set on every answer of a target that takes no new work.
const HeaderLeaving = "Target-Leaving"

// HeaderLimit is the decimal number of requests per second that a target accepts from all
// entry boxes together. It holds while the target's answers to requests carry it.
const HeaderLimit = "Target-Limit"

// SignalsOf returns the signals in the headers of an answer by a target, an engine or a plain
// service.
func SignalsOf(response *http.Response) notice.Signals {
	signals := notice.Signals{Leaving: response.Header.Get(HeaderLeaving) != ""}
	if response.StatusCode == http.StatusServiceUnavailable {
		signals.Backoff = notice.ParseRetryAfter(response.Header.Get("Retry-After"))
	}
	signals.Rate, signals.Limited = notice.ParseRate(response.Header.Get(HeaderLimit))
	signals.Unlimited = !signals.Limited
	return signals
}

// Bounds in bytes.
const (
	// maxFrameBytes bounds one line of a stream, maxStreamBytes the stream.
	maxFrameBytes  = 1 << 20
	maxStreamBytes = 64 << 20
	// maxCallBytes bounds an answer to any other call.
	maxCallBytes = 8 << 20
)

// Client calls engines. Set the exported fields before first use.
type Client struct {
	// HTTP sends the calls. Its transport must not retry any.
	HTTP *http.Client
}

// ErrNotSent says that no connection was made, so nothing was sent to the engine.
var ErrNotSent = errors.New("nothing was sent to the engine")

// Frames reads the frames of one stream.
type Frames struct {
	// Signals holds the signals in the answer's headers.
	Signals notice.Signals
	// Next returns the next frame, or io.EOF after the last.
	Next func() (stream.Frame, error)
	// Close stops reading. The engine keeps the run for a while, for Resume.
	Close func() error
}

// newFrames reads frames from the lines of a body.
func newFrames(body io.ReadCloser) *Frames {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxFrameBytes)
	next := func() (stream.Frame, error) {
		var frame stream.Frame
		if !lines.Scan() {
			if err := lines.Err(); err != nil {
				return frame, trace.ConnectionProblem(err, "engine stream broke off")
			}
			return frame, io.EOF
		}
		err := json.Unmarshal(lines.Bytes(), &frame)
		return frame, trace.Wrap(err)
	}
	return &Frames{Next: next, Close: body.Close}
}

// Generate starts a run and returns its frames. It fails with *Refusal if the engine
// confirms that the run did not start, and with ErrNotSent if nothing was sent.
func (c *Client) Generate(ctx context.Context, at netip.AddrPort, run Run) (*Frames, error) {
	frames, err := c.open(ctx, at, "/v1/generate", run)
	return frames, trace.Wrap(err)
}

// Resume reads a run's frames again from a byte offset.
func (c *Client) Resume(ctx context.Context, at netip.AddrPort, request string, attempt, offset int) (*Frames, error) {
	body := struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
		Offset  int    `json:"offset"`
	}{request, attempt, offset}
	frames, err := c.open(ctx, at, "/v1/resume", body)
	return frames, trace.Wrap(err)
}

// Cancel stops a run. It returns false only if the engine knows the run and confirms
// that it has not started and will not. An engine that does not know the run answers
// 404: the run may still be in transit or may have run before a restart.
func (c *Client) Cancel(ctx context.Context, at netip.AddrPort, request string, attempt int) (started bool, err error) {
	body := struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
	}{request, attempt}
	answer := struct {
		Started bool `json:"started"`
	}{Started: true}
	err = c.call(ctx, c.endpoint(at).Post("/v1/cancel").BodyJSON(body), &answer)
	return answer.Started || err != nil, trace.Wrap(err)
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, at netip.AddrPort) (Load, error) {
	var load Load
	err := c.call(ctx, c.endpoint(at).Get("/v1/load"), &load)
	return load, trace.Wrap(err)
}

// Send sends an order. It fails with trace.CompareFailed if the engine has seen a
// higher epoch.
func (c *Client) Send(ctx context.Context, at netip.AddrPort, order Order) error {
	return trace.Wrap(c.call(ctx, c.endpoint(at).Post("/v1/orders").BodyJSON(order), nil))
}

// Export makes the engine write the cache of one run's prompt to a store box. It
// returns the pieces, all of which are written completely.
func (c *Client) Export(ctx context.Context, at netip.AddrPort, request, scope string, store netip.AddrPort) ([]kvcache.Piece, error) {
	body := struct {
		Request string         `json:"request"`
		Scope   string         `json:"scope"`
		Store   netip.AddrPort `json:"store"`
	}{request, scope, store}
	var answer struct {
		Pieces []kvcache.Piece `json:"pieces"`
	}
	err := c.call(ctx, c.endpoint(at).Post("/v1/export").BodyJSON(body), &answer)
	return answer.Pieces, trace.Wrap(err)
}

func (c *Client) endpoint(at netip.AddrPort) *sling.Sling {
	return sling.New().Doer(readlimit.Doer{HTTP: c.HTTP, MaxBody: maxCallBytes}).Base("http://" + at.String())
}

func (c *Client) open(ctx context.Context, at netip.AddrPort, path string, body any) (*Frames, error) {
	request, err := c.endpoint(at).Post(path).BodyJSON(body).Request()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request = request.WithContext(ctx)
	// Without GetBody the transport can't resend the body.
	request.GetBody = nil
	response, err := c.HTTP.Do(request)
	if err != nil && !connected.Load() {
		return nil, trace.Wrap(fmt.Errorf("%w: engine %v: %w", ErrNotSent, at, err))
	}
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no answer from engine %v", at)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, refusal(response)
	}
	frames := newFrames(readlimit.Body(response.Body, maxStreamBytes))
	frames.Signals = SignalsOf(response)
	return frames, nil
}

// refusal returns the error for an answer with a status other than 200.
func refusal(response *http.Response) error {
	reason, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	if response.Header.Get(HeaderStarted) != "no" {
		return trace.Errorf("engine answered with status %d: %s", response.StatusCode, reason)
	}
	return &Refusal{
		Status:  response.StatusCode,
		Reason:  string(reason),
		Signals: SignalsOf(response),
	}
}

func (c *Client) call(ctx context.Context, call *sling.Sling, success any) error {
	request, err := call.Request()
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := call.Do(request.WithContext(ctx), success, nil)
	if err != nil {
		return trace.ConnectionProblem(err, "no answer from engine %s", request.URL.Host)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return trace.CompareFailed("engine %s has seen a higher epoch", request.URL.Host)
	case http.StatusNotFound:
		return trace.NotFound("engine %s answered with status 404", request.URL.Host)
	}
	return trace.Errorf("engine %s answered with status %d", request.URL.Host, response.StatusCode)
}
