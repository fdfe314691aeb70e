package intake

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/thymewind/thymewind/body"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/refusal"
)

// releaseTime is how long a body waits for the memory of another one that was ended for it.
const releaseTime = 20 * time.Millisecond

// Admit asks for memory for bytes of a request's body. If there is none, the request that arrives the
// most slowly and holds some is ended, and Admit asks again once that may have released it.
func (g *Gate) Admit(ctx context.Context, account *heldbytes.Account, bytes int64, priority int) bool {
	if c, ok := ctx.Value(key{}).(*conn); ok && c != nil {
		c.body.Store(account)
	}
	if account.TryAdmit(bytes, priority) {
		return true
	}
	if g.makeRoom() {
		<-time.After(releaseTime)
	}
	return account.Admit(bytes, priority)
}

// ReadBody reads a request's body whole, within a limit and a timeout. The memory of so many copies of
// it stays counted until the account is closed, which the caller does also after an error. A nil gate
// counts nothing.
func (g *Gate) ReadBody(w http.ResponseWriter, r *http.Request, limit, copies int64, timeout time.Duration) ([]byte, *heldbytes.Account, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil, nil
	}
	var account *heldbytes.Account
	admit := func(int64) bool { return true }
	if g != nil {
		account = g.Ledger.Open()
		total := int64(0)
		admit = func(bytes int64) bool {
			before := g.counted(total * copies)
			total += bytes
			return g.Admit(r.Context(), account, g.counted(total*copies)-before, 0)
		}
	}
	setReadTimeout(w, timeout)
	reader := body.Reader{From: r.Body, Length: r.ContentLength, Limit: limit, Admit: admit}
	data, err := reader.ReadAll()
	return data, account, err
}

// counted is what is counted of a body with its copies: no more than there is in all, so that one is
// admitted if nothing else is held.
func (g *Gate) counted(bytes int64) int64 {
	if g.Ledger.Limit > 0 {
		return min(bytes, g.Ledger.Limit)
	}
	return bytes
}

// Refusal is the answer to a request whose body could not be read. Nothing of it has run.
func Refusal(err error, limit int64, retryAfter time.Duration) *refusal.Refusal {
	refuse := func(status int, code, format string, args ...any) *refusal.Refusal {
		return refusal.New(refusal.DidNotRun, status, code, format, args...)
	}
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "too_large", "the body has over %d bytes", limit)
	case errors.Is(err, body.ErrNoMemory):
		return refuse(http.StatusServiceUnavailable, "held_memory", "this box has no memory for the body").WithRetryAfter(retryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "body_late", "the body did not come in time").WithRetryAfter(retryAfter)
	}
	return refuse(http.StatusBadRequest, "body_cut", "the body did not arrive whole")
}
