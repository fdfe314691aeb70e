package table

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/readlimit"
)

// maxAnswerBytes bounds an answer, in bytes.
const maxAnswerBytes = 16 << 20

// Client calls the table service. Set the exported fields before first use; it is
// safe for concurrent use after that.
type Client struct {
	// Base is the service's URL without a trailing slash.
	Base string
	// HTTP sends the calls. Its transport must not retry any.
	HTTP *http.Client
}

// Commit applies a transaction. It fails with trace.CompareFailed when a
// condition does not hold, with ErrOutcomeUnknown when the outcome is unknown, and with
// trace.ConnectionProblem or trace.LimitExceeded when nothing was applied.
func (c *Client) Commit(ctx context.Context, tx Transaction) error {
	var conflict struct {
		Key string `json:"key"`
	}
	request, err := sling.New().Base(c.Base).Post("/v1/transactions").BodyJSON(tx).Request()
	if err != nil {
		return trace.Wrap(err)
	}
	status, sent, err := c.do(ctx, request, nil, &conflict)
	switch {
	case err != nil && !sent:
		return trace.ConnectionProblem(err, "table service unreachable")
	case err != nil:
		return trace.Wrap(ErrOutcomeUnknown, "%v", err)
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return trace.CompareFailed("row %q has changed", conflict.Key)
	case status == http.StatusTooManyRequests:
		return trace.LimitExceeded("table service limits writes for now")
	case status == http.StatusServiceUnavailable:
		return trace.ConnectionProblem(nil, "table service unavailable")
	case status == http.StatusBadRequest:
		return trace.BadParameter("table service rejects the transaction as malformed")
	}
	return trace.Wrap(ErrOutcomeUnknown, "status %d", status)
}

// Read returns one row. It fails with trace.NotFound when there is none.
func (c *Client) Read(ctx context.Context, key string) (Row, error) {
	rows, err := c.list(ctx, listQuery{Key: key})
	if err != nil {
		return Row{}, trace.Wrap(err)
	}
	if len(rows) == 0 {
		return Row{}, trace.NotFound("no row %q", key)
	}
	return rows[0], nil
}

// List returns up to limit rows whose keys start with prefix and sort after the key
// after, in key order.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := c.list(ctx, listQuery{Prefix: prefix, After: after, Limit: limit})
	return rows, trace.Wrap(err)
}

// ListAll returns every row under prefix, page by page. Rows written during the call
// may or may not be included.
func (c *Client) ListAll(ctx context.Context, prefix string) ([]Row, error) {
	const page = 1000
	var all []Row
	after := ""
	for {
		rows, err := c.List(ctx, prefix, after, page)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, rows...)
		if len(rows) < page {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// listQuery is the query string of a read.
type listQuery struct {
	Key    string `url:"key,omitempty"`
	Prefix string `url:"prefix,omitempty"`
	After  string `url:"after,omitempty"`
	Limit  int    `url:"limit,omitempty"`
}

func (c *Client) list(ctx context.Context, query listQuery) ([]Row, error) {
	request, err := sling.New().Base(c.Base).Get("/v1/rows").QueryStruct(query).Request()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var answer struct {
		Rows []Row `json:"rows"`
	}
	status, _, err := c.do(ctx, request, &answer, nil)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "reading from the table service failed")
	}
	if status == http.StatusTooManyRequests {
		return nil, trace.LimitExceeded("table service limits reads for now")
	}
	if status != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "reading from the table service failed: status %d", status)
	}
	return answer.Rows, nil
}

// do sends a request and reports whether any of it may have been sent.
func (c *Client) do(ctx context.Context, request *http.Request, success, failure any) (status int, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request = request.WithContext(ctx)
	// Without GetBody the transport can't resend the body.
	request.GetBody = nil
	if request.Body != nil {
		request.Body = io.NopCloser(request.Body)
	}
	response, err := sling.New().Doer(readlimit.Doer{HTTP: c.HTTP, MaxBody: maxAnswerBytes}).Do(request, success, failure)
	if response == nil {
		return 0, connected.Load(), err
	}
	// A proxy on the way refuses with texts of its own, of which the status suffices.
	if err != nil && (response.StatusCode < http.StatusMultipleChoices || strings.Contains(response.Header.Get("Content-Type"), "json")) {
		return 0, true, err
	}
	return response.StatusCode, true, nil
}
