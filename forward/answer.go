package forward

import (
	"io"
	"net/http"

	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/hop"
	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/route"
)

// answer passes the target's answer to the caller and stores it with a claim.
// If it breaks off, so does the caller's connection: a part never looks whole.
func (x *exchange) answer(w http.ResponseWriter, response *http.Response, placed route.Placed) {
	defer func() { _ = response.Body.Close() }()
	x.Said(placed, engine.Said(response))
	hop.Strip(response.Header)
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderTarget, placed.Target)
	w.WriteHeader(response.StatusCode)
	copied := &tee{to: w, flush: http.NewResponseController(w), persist: x.once}
	_, err := io.Copy(copied, response.Body)
	x.Ended(route.Ended{Placed: placed, Failed: err != nil && !copied.gone})
	if err == nil && x.once {
		x.permit.Complete(x.ctx, claim.Answer{
			Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: copied.kept, Cut: copied.over,
		})
	}
	if err != nil || copied.gone {
		panic(http.ErrAbortHandler)
	}
}

// tee writes to the caller at once and keeps the beginning.
type tee struct {
	to    http.ResponseWriter
	flush *http.ResponseController
	kept  []byte
	over  bool
	// persist reads on when the caller has left, which gone tells.
	persist, gone bool
}

// Write implements io.Writer.
func (t *tee) Write(b []byte) (int, error) {
	if len(t.kept)+len(b) <= idempotency.MaxStored {
		t.kept = append(t.kept, b...)
	} else {
		t.over = true
	}
	if t.gone {
		return len(b), nil
	}
	_, err := t.to.Write(b)
	if err == nil {
		err = t.flush.Flush()
	}
	t.gone = err != nil
	if t.gone && !t.persist {
		return 0, err
	}
	return len(b), nil
}
