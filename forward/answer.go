package forward

import (
	"io"
	"net/http"

	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/hop"
	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/readlimit"
	"github.com/thymewind/thymewind/route"
)

// answer copies the target's answer to the caller and stores the answer to a
// not-repeatable request with its claim. If the answer breaks off, the caller's
// connection is aborted, so that a part never looks complete.
func (x *exchange) answer(w http.ResponseWriter, response *http.Response, placed route.Placement) {
	defer func() { _ = response.Body.Close() }()
	x.OnSignals(placed, engine.SignalsOf(response))
	hop.Strip(response.Header)
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderTarget, placed.Target)
	w.WriteHeader(response.StatusCode)
	copied := &tee{caller: w, flush: http.NewResponseController(w), drain: x.atMostOnce}
	_, err := io.Copy(copied, readlimit.Body(response.Body, maxAnswerBytes))
	x.OnEnded(route.AttemptResult{Placement: placed, Failed: err != nil && !copied.callerLeft})
	if err == nil && x.atMostOnce {
		x.permit.Complete(x.ctx, claim.Answer{
			Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: copied.stored, Truncated: copied.truncated,
		})
	}
	if err != nil || copied.callerLeft {
		panic(http.ErrAbortHandler)
	}
}

// tee writes to the caller without buffering and stores the answer for replay, up
// to idempotency.MaxStored bytes.
type tee struct {
	caller    http.ResponseWriter
	flush     *http.ResponseController
	stored    []byte
	truncated bool
	// drain goes on reading after the caller has left; callerLeft records that it has.
	drain, callerLeft bool
}

// Write implements io.Writer.
func (t *tee) Write(b []byte) (int, error) {
	if len(t.stored)+len(b) <= idempotency.MaxStored {
		t.stored = append(t.stored, b...)
	} else {
		t.truncated = true
	}
	if t.callerLeft {
		return len(b), nil
	}
	_, err := t.caller.Write(b)
	if err == nil {
		err = t.flush.Flush()
	}
	t.callerLeft = err != nil
	if t.callerLeft && !t.drain {
		return 0, err
	}
	return len(b), nil
}
