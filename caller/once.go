package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/forward"
	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/relay"
	"github.com/thymewind/thymewind/stream"
)

// errReplayed says that the caller is given the answer of an earlier run.
var errReplayed = errors.New("answered by an earlier run")

// stored is a complete answer as stored for a caller that retries.
type stored struct {
	Text string       `json:"text"`
	End  stream.Frame `json:"end"`
}

// notRepeatable reports whether the caller marked the request as not repeatable.
func (c *call) notRepeatable() bool { return c.r.Header.Get(forward.HeaderNotRepeatable) != "" }

// runOnce runs a request marked not repeatable at most once for its account and key.
func (c *call) runOnce(ctx context.Context, a ask, request relay.Request, out *completionWriter) error {
	key := c.r.Header.Get(forward.HeaderKey)
	if key == "" {
		return badRequest("key_missing", "a request marked not repeatable needs an %s header", forward.HeaderKey)
	}
	p := c.Permits.NewPermit(idempotency.Request{
		ID: c.id, Account: c.account.Name, Pool: request.Pool, Key: key, Digest: idempotency.Digest(a.body, c.r.URL.Path),
	})
	earlier, err := p.Previous(ctx)
	if err != nil {
		return err
	}
	if earlier != nil {
		return out.replay(earlier)
	}
	request.Once = true
	request.Acquire = func(ctx context.Context) error {
		if earlier, err = p.Acquire(ctx); err == nil && earlier != nil {
			err = errReplayed
		}
		return err
	}
	request.Abandon = p.Abandon
	end, err := c.Run(ctx, request)
	if errors.Is(err, errReplayed) {
		return out.replay(earlier)
	}
	if err != nil {
		return out.abort(err)
	}
	out.store(ctx, p, end)
	out.finish(end)
	return nil
}

// store stores a complete answer, before the caller learns that it is complete.
func (a *completionWriter) store(ctx context.Context, p *idempotency.Permit, end stream.Frame) {
	body, err := json.Marshal(stored{a.text.String(), end})
	if err != nil {
		return
	}
	answer := claim.Answer{Status: http.StatusOK, Body: body}
	if len(body) > idempotency.MaxStored {
		answer.Body, answer.Truncated = nil, true
	}
	p.Complete(ctx, answer)
}

// replay sends the caller the answer of an earlier run, in the requested format.
func (a *completionWriter) replay(earlier *claim.Answer) error {
	var s stored
	if err := json.Unmarshal(earlier.Body, &s); err != nil {
		return trace.Wrap(err)
	}
	a.w.Header().Set(forward.HeaderReplayed, "true")
	if err := a.write(s.Text, len(s.Text)); err != nil {
		return nil // The caller has left.
	}
	a.finish(s.End)
	return nil
}
